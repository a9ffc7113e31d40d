package dataplane_test

import (
	"context"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
)

// post sends a request to a started server.
func post(address string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/any/path", strings.NewReader(defaultBody))
	Expect(err).NotTo(HaveOccurred())
	request.Host = poolHost
	request.Header.Set("Authorization", "Bearer "+courtKey)
	return (&http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}).Do(request)
}

var _ = Describe("Server", func() {
	It("finishes running requests before it stops, and accepts no new ones", func() {
		arrived, proceed := make(chan struct{}), make(chan struct{})
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			if strings.HasSuffix(request.URL.Path, "events") {
				<-request.Context().Done()
				return
			}
			close(arrived)
			<-proceed
			respondWith("late")(writer, request)
		})
		f := newFixture(backend.address())
		ended := make(chan error, 1)
		go func() { ended <- f.server.Start() }()
		<-f.server.Listening()
		address := f.server.Address()
		responded := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			response, err := post(address)
			Expect(err).NotTo(HaveOccurred())
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			responded <- string(body)
		}()
		<-arrived

		expired, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(f.server.Drain(expired)).NotTo(Succeed(), "a request is running")
		_, err := post(address)
		Expect(err).To(HaveOccurred(), "no new connection is accepted")

		close(proceed)
		Expect(<-responded).To(Equal("late"))
		Expect(f.server.Drain(context.Background())).To(Succeed())
		Expect(<-ended).NotTo(HaveOccurred())
	})

	It("reports why it cannot listen", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture()
		server, err := dataplane.New(dataplane.Options{
			Source: f.source, Clock: clockAtZero, Address: backend.address(),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Start()).To(MatchError(ContainSubstring("address already in use")))
	})

	DescribeTable("reports which option is missing or invalid", func(options dataplane.Options, remedy string) {
		_, err := dataplane.New(options)
		Expect(err).To(MatchError(ContainSubstring(remedy)))
	},
		Entry("source", dataplane.Options{}, "Options.Source"),
		Entry("clock", dataplane.Options{Source: &source{}}, "Options.Clock"),
		Entry("address", dataplane.Options{Source: &source{}, Clock: clockAtZero}, "Options.Address"),
		Entry("port", dataplane.Options{Source: &source{}, Clock: clockAtZero, Address: "here"}, "host:port"),
	)
})
