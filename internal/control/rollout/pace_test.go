package rollout

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The pace of a roll-out", func() {
	It("tells the time that replicas are out from what their loads take", func() {
		learnt := &pace{withoutDrain: true, outDurations: map[int]time.Duration{}, loadDurations: map[int]time.Duration{}}
		Expect(learnt.expectedLoad(3)).To(Equal(replicaRolloutTimeWithoutDrain))
		learnt.measure(3, 6*time.Second, 1600*time.Millisecond)
		Expect(learnt.expectedOut(3)).To(Equal(6 * time.Second))
		Expect(learnt.expectedLoad(3)).To(Equal(1600 * time.Millisecond))
		Expect(learnt.expectedLoad(7)).To(Equal(1600 * time.Millisecond))
	})
})
