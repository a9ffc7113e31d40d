package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/platform"
)

// newClient returns a client of a test platform that script implements.
func newClient(script http.HandlerFunc) *platform.Client {
	server := httptest.NewServer(script)
	DeferCleanup(server.Close)
	sender := outbound.New(outbound.Options{Name: "test"})
	DeferCleanup(sender.CloseIdle)
	return platform.NewClient(sender, server.Listener.Addr().String())
}

// respondWith returns a handler that responds to every request with text.
func respondWith(text string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, text) }
}

var _ = Describe("Client", func() {
	It("fetches the list", func() {
		list, err := newClient(respondWith(`{"services":[{"name":"court","replicas":[{"address":"a:1","zone":"z","state":"draining"}]}]}`)).
			Fetch(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Services).To(Equal([]platform.Service{
			{Name: "court", Replicas: []platform.Replica{{Address: "a:1", Zone: "z", State: platform.StateDraining}}},
		}))
	})

	DescribeTable("rejects a list", func(text string) {
		_, err := newClient(respondWith(text)).Fetch(context.Background())
		Expect(err).To(BeAssignableToTypeOf(&platform.EndpointsError{}))
	},
		Entry("that is not JSON", `{`),
		Entry("without services", `{}`),
		Entry("with a service without a name", `{"services":[{}]}`),
		Entry("with a replica without an address", `{"services":[{"name":"a","replicas":[{"state":"running"}]}]}`),
		Entry("with an unknown state", `{"services":[{"name":"a","replicas":[{"address":"a:1","state":"gone"}]}]}`),
	)

	It("polls again after a failure, and stops when its context ends", func() {
		fails := true
		client := newClient(func(writer http.ResponseWriter, request *http.Request) {
			if fails {
				fails = false
				writer.WriteHeader(http.StatusInternalServerError)
				return
			}
			respondWith(`{"services":[]}`)(writer, request)
		})
		ctx, cancel := context.WithCancel(context.Background())
		var outcomes []error
		client.Poll(ctx, 300*time.Millisecond, func(_ *platform.Endpoints, err error) {
			outcomes = append(outcomes, err)
			if len(outcomes) == 2 {
				cancel()
			}
		})
		Expect(outcomes[0]).To(HaveOccurred())
		Expect(outcomes[1]).NotTo(HaveOccurred())
	})
})
