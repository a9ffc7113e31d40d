package rollout

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The pace of a roll-out", func() {
	It("measures the time out of service and the time of the load separately", func() {
		measured := &pace{withoutDrain: true, outDurations: map[int]time.Duration{}, loadDurations: map[int]time.Duration{}}
		Expect(measured.expectedLoad(3)).To(Equal(replicaRolloutTimeWithoutDrain))
		measured.measure(3, 6*time.Second, 1600*time.Millisecond)
		Expect(measured.expectedOut(3)).To(Equal(6 * time.Second))
		Expect(measured.expectedLoad(3)).To(Equal(1600 * time.Millisecond))
		Expect(measured.expectedLoad(7)).To(Equal(1600 * time.Millisecond))
	})
})
