package dataplane_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

var _ = Describe("A replica that lacks the named weights", func() {
	const deadline = 10 * time.Second

	// Guards against requests that a node sends by an old view after it was suspended.
	It("gets no request after the deadline, even if no newer view was built", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.replicas[0].Outdated, f.replicas[0].WeightsDeadline = true, deadline
		f.publish()
		f.clock.Store(int64(deadline))
		Expect(f.generate().problem.Kind).To(Equal(caller.KindNoBackend))
		Expect(backend.requests()).To(BeEmpty())
	})

	It("gets requests until then", func() {
		backend := newReplica(respondWith("ok"))
		f := newFixture(backend.address())
		f.replicas[0].Outdated, f.replicas[0].WeightsDeadline = true, deadline
		f.publish()
		f.clock.Store(int64(deadline - time.Millisecond))
		Expect(f.generate().problem.Kind).To(BeEmpty())
		Expect(backend.requests()).To(HaveLen(1))
	})
})
