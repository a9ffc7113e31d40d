package dataplane_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Load", func() {
	It("counts an attempt for its destination while it runs", func() {
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
		inFlight := func() map[bool]int {
			sums := map[bool]int{}
			for _, load := range f.server.Load() {
				Expect(load.Name).NotTo(BeEmpty())
				sums[load.WebService] += load.InFlight
			}
			return sums
		}
		Expect(inFlight()).To(HaveKeyWithValue(false, 0))
		ended := make(chan error, 1)
		go func() { ended <- f.server.Start() }()
		<-f.server.Listening()
		responded := make(chan error, 1)
		go func() {
			response, err := post(f.server.Address())
			if err == nil {
				err = response.Body.Close()
			}
			responded <- err
		}()
		<-arrived
		Expect(inFlight()).To(HaveKeyWithValue(false, 1))
		Expect(f.server.Stats()).To(ContainElement(HaveField("FirstAttempts", uint64(1))))
		Expect(f.server.IndexStats().Reported).To(BeZero())
		close(proceed)
		Expect(<-responded).To(Succeed())
		f.server.Stop()
		Expect(<-ended).To(Succeed())
		Expect(f.server.Load()).NotTo(ContainElement(HaveField("InFlight", BeNumerically(">", 0))))
	})
})
