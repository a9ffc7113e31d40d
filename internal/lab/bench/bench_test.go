package bench_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/bench"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
)

func compare(settings bench.Settings) map[bench.PolicyName]bench.Result {
	results, err := bench.Compare(settings)
	Expect(err).NotTo(HaveOccurred())
	named := map[bench.PolicyName]bench.Result{}
	for _, result := range results {
		named[result.Policy] = result
	}
	return named
}

var _ = Describe("Compare", func() {
	It("gives the same results for the same seed", func() {
		settings := bench.DefaultSettings(workload.HivatalMix(), 2)
		settings.Duration = 2 * time.Minute
		Expect(compare(settings)).To(Equal(compare(settings)))
	})

	It("serves every request under every policy, over the same prompts", func() {
		settings := bench.DefaultSettings(workload.LakeshoreMix(), 1)
		settings.Duration = 2 * time.Minute
		results := compare(settings)
		Expect(results).To(HaveLen(5))
		prompts := func(result bench.Result) float64 {
			return float64(result.PrefillTokens) / (1 - result.ReusedTokenRatio)
		}
		reference := results[bench.PolicyRandom]
		for _, result := range results {
			Expect(result.Requests).To(Equal(reference.Requests))
			Expect(prompts(result)).To(BeNumerically("~", prompts(reference), 1))
		}
	})

	DescribeTable("needs far less prefill, and far less time to the first token, with prefix-aware placing", func(seed uint64) {
		results := compare(bench.DefaultSettings(workload.HivatalMix(), seed))
		aware, unaware := results[bench.PolicyKV], results[bench.PolicyLeastLoaded]
		Expect(aware.TTFTMeanMS).To(BeNumerically("<=", 0.6*unaware.TTFTMeanMS))
		Expect(float64(aware.PrefillTokens)).To(BeNumerically("<=", 0.5*float64(unaware.PrefillTokens)))
		Expect(unaware.PrefillUtilization).To(And(BeNumerically(">", 0.4), BeNumerically("<", 0.85)))
	},
		Entry("seed 1", uint64(1)),
		Entry("seed 20", uint64(20)))

	It("loses its advantage when replicas cannot cache what they computed", func() {
		settings := bench.DefaultSettings(workload.HivatalMix(), 1)
		settings.Duration = 3 * time.Minute
		settings.Machine.CapacityTokens = 2000
		results := compare(settings)
		Expect(results[bench.PolicyKV].ReusedTokenRatio).To(BeNumerically("<", 0.1))
	})

	It("replays a given trace to the same figures as its comparison", func() {
		settings := bench.DefaultSettings(workload.HivatalMix(), 2)
		settings.Duration = 2 * time.Minute
		generator, err := workload.New(settings.Mix, workload.Options{Seed: 2, Duration: settings.Duration, WebRate: -1})
		Expect(err).NotTo(HaveOccurred())
		var trace []workload.Request
		for request, more := generator.Next(); more; request, more = generator.Next() {
			trace = append(trace, request)
		}
		outcomes, err := bench.Replay(settings, bench.PolicyKV, trace)
		Expect(err).NotTo(HaveOccurred())
		var first time.Duration
		var reused, prompts uint64
		for position, outcome := range outcomes {
			Expect(outcome.Finished).To(BeNumerically(">=", outcome.FirstToken))
			first += outcome.FirstToken
			reused += outcome.ReusedTokens
			prompts += trace[position].PromptTokens()
		}
		result := compare(settings)[bench.PolicyKV]
		Expect(outcomes).To(HaveLen(result.Requests))
		Expect(first.Seconds() * 1000 / float64(len(outcomes))).To(BeNumerically("~", result.TTFTMeanMS, 0.01))
		Expect(float64(reused) / float64(prompts)).To(BeNumerically("~", result.ReusedTokenRatio, 1e-6))
	})

	It("refuses settings that cannot run", func() {
		settings := bench.DefaultSettings(workload.HivatalMix(), 1)
		settings.Machine = emulator.Config{}
		_, err := bench.Compare(settings)
		Expect(err).To(HaveOccurred())
	})
})
