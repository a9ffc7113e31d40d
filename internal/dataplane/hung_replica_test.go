package dataplane_test

import (
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

var _ = Describe("A replica that accepts requests and never responds", func() {
	// hangs is a replica that hangs while hung is set.
	type hangs struct {
		*replicaStandIn
		mutex sync.Mutex
		hung  bool
	}
	newHanging := func() *hangs {
		stand := &hangs{}
		stand.replicaStandIn = newReplica(func(writer http.ResponseWriter, request *http.Request) {
			stand.mutex.Lock()
			hung := stand.hung
			stand.mutex.Unlock()
			if hung {
				<-request.Context().Done()
				return
			}
			respondWith("ok")(writer, request)
		})
		return stand
	}
	hang := func(stand *hangs, hung bool) {
		stand.mutex.Lock()
		defer stand.mutex.Unlock()
		stand.hung = hung
	}
	expire := func(f *fixture) {
		Expect(f.generate(header{"Deadline-Ms", "30"}).problem.Kind).To(Equal(caller.KindDeadlineExceeded))
	}

	It("is avoided after some deadlines in a row", func() {
		first, second := newHanging(), newHanging()
		f := newFixture(first.address(), second.address())
		Expect(f.generate().status).To(Equal(http.StatusOK))
		// The prompt is kept where it was answered, so that the requests that
		// follow go there.
		kept, other := first, second
		if len(second.requests()) > 0 {
			kept, other = second, first
		}
		hang(kept, true)
		for range 3 {
			expire(f)
		}
		Expect(kept.requests()).To(HaveLen(4))
		Expect(f.generate().status).To(Equal(http.StatusOK))
		Expect(other.requests()).To(HaveLen(1))
	})

	It("is not avoided for deadlines between which it responded", func() {
		only, spare := newHanging(), newHanging()
		f := newFixture(only.address(), spare.address())
		Expect(f.generate().status).To(Equal(http.StatusOK))
		kept, other := only, spare
		if len(spare.requests()) > 0 {
			kept, other = spare, only
		}
		for range 3 {
			hang(kept, true)
			expire(f)
			expire(f)
			hang(kept, false)
			Expect(f.generate().status).To(Equal(http.StatusOK))
		}
		Expect(other.requests()).To(BeEmpty())
	})
})
