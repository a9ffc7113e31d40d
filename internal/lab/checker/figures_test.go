package checker_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

var _ = Describe("the figures", func() {
	It("computes quantiles of durations", func() {
		durations := []time.Duration{4 * second, second, 3 * second, 2 * second}
		Expect(checker.Quantile(durations, 0.5)).To(Equal(2 * second))
		Expect(checker.Quantile(durations, 0.99)).To(Equal(4 * second))
		Expect(checker.Quantile(nil, 0.5)).To(BeZero())
	})

	It("counts each order once, from its first sending", func() {
		records := healthyRecords()
		Expect(checker.AcknowledgedChanges(records)).To(Equal(6))
		Expect(checker.AcknowledgementTimes(records)).To(HaveEach(100 * millisecond))
	})

	It("measures the spread of a configuration to every node that ran throughout", func() {
		records := healthyRecords()
		// Six changes on two nodes; one node ended within ServedBound of the fourth acknowledgement.
		Expect(checker.ConfigurationSpread(records)).To(HaveLen(11))
		Expect(checker.ConfigurationSpread(records)).To(HaveEach(500 * millisecond))
	})

	It("measures reuse and retries over executions that ran", func() {
		records := healthyRecords()
		Expect(checker.ReusedTokenRatio(records)).To(Equal(0.5))
		Expect(checker.WorstRetryRatio(records)).To(BeZero())
	})
})
