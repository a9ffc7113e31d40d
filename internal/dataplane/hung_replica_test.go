package dataplane_test

import (
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

var _ = Describe("A replica that accepts requests and never responds", func() {
	// hangingReplica is a replica that hangs while hung is set.
	type hangingReplica struct {
		*fakeReplica
		mutex sync.Mutex
		hung  bool
	}
	newHanging := func() *hangingReplica {
		backend := &hangingReplica{}
		backend.fakeReplica = newReplica(func(writer http.ResponseWriter, request *http.Request) {
			backend.mutex.Lock()
			hung := backend.hung
			backend.mutex.Unlock()
			if hung {
				<-request.Context().Done()
				return
			}
			respondWith("ok")(writer, request)
		})
		return backend
	}
	setHung := func(backend *hangingReplica, hung bool) {
		backend.mutex.Lock()
		defer backend.mutex.Unlock()
		backend.hung = hung
	}
	expectTimeout := func(f *fixture) {
		Expect(f.generate(header{"Deadline-Ms", "30"}).problem.Kind).To(Equal(caller.KindDeadlineExceeded))
	}

	It("is avoided after several consecutive missed deadlines", func() {
		first, second := newHanging(), newHanging()
		f := newFixture(first.address(), second.address())
		Expect(f.generate().status).To(Equal(http.StatusOK))
		// The router assumes that the replica which ran the first request has cached the
		// prompt, and sends the next requests to that replica.
		preferred, other := first, second
		if len(second.requests()) > 0 {
			preferred, other = second, first
		}
		setHung(preferred, true)
		for range 3 {
			expectTimeout(f)
		}
		Expect(preferred.requests()).To(HaveLen(4))
		Expect(f.generate().status).To(Equal(http.StatusOK))
		Expect(other.requests()).To(HaveLen(1))
	})

	It("is not avoided if it responds between missed deadlines", func() {
		only, spare := newHanging(), newHanging()
		f := newFixture(only.address(), spare.address())
		Expect(f.generate().status).To(Equal(http.StatusOK))
		preferred, other := only, spare
		if len(spare.requests()) > 0 {
			preferred, other = spare, only
		}
		for range 3 {
			setHung(preferred, true)
			expectTimeout(f)
			expectTimeout(f)
			setHung(preferred, false)
			Expect(f.generate().status).To(Equal(http.StatusOK))
		}
		Expect(other.requests()).To(BeEmpty())
	})
})
