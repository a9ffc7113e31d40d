package bench_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/bench"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
)

var _ = Describe("Comparison with the oracle", func() {
	late := func(settings *bench.Settings) {
		settings.Feed.Delay = 2 * time.Second
		settings.Feed.LossRatio = 0.05
		settings.Machine.ReportDelay = 2 * time.Second
		settings.ReportLossRatio = 0.05
	}

	DescribeTable("shows little lost by what reports are like, and every baseline beaten",
		func(mix workload.Mix, worsen func(*bench.Settings), leastReused float64) {
			settings := bench.DefaultSettings(mix, 11)
			worsen(&settings)
			results := compare(settings)
			aware := results[bench.PolicyKV]
			Expect(aware.ReusedOfOracle).To(BeNumerically(">=", leastReused))
			Expect(aware.TTFTMeanMS).To(BeNumerically("<=", 0.5*results[bench.PolicyLeastLoaded].TTFTMeanMS))
			for _, baseline := range []bench.PolicyName{bench.PolicyLeastLoaded, bench.PolicyRoundRobin, bench.PolicyRandom} {
				Expect(aware.TTFTP95MS).To(BeNumerically("<", results[baseline].TTFTP95MS), string(baseline))
			}
		},
		Entry("hivatal", workload.HivatalMix(), func(*bench.Settings) {}, 0.9),
		Entry("lakeshore", workload.LakeshoreMix(), func(*bench.Settings) {}, 0.9),
		Entry("hivatal, late and lossy", workload.HivatalMix(), late, 0.8),
		Entry("lakeshore, late and lossy", workload.LakeshoreMix(), late, 0.8))

	It("is not fed by the reports that others get", func() {
		settings := bench.DefaultSettings(workload.LakeshoreMix(), 3)
		settings.Duration = 3 * time.Minute
		undisturbed := compare(settings)
		late(&settings)
		worse := compare(settings)
		Expect(worse[bench.PolicyOracle]).To(Equal(undisturbed[bench.PolicyOracle]))
		Expect(worse[bench.PolicyKV]).NotTo(Equal(undisturbed[bench.PolicyKV]))
	})

	It("shows what a router without any reports loses", func() {
		settings := bench.DefaultSettings(workload.LakeshoreMix(), 3)
		settings.Feed.LossRatio = 1
		settings.Feed.Delay = time.Hour
		settings.Router.PredictionLag = -time.Second
		settings.Router.Index.PredictionTTL = time.Nanosecond
		Expect(compare(settings)[bench.PolicyKV].ReusedOfOracle).To(BeNumerically("<", 0.8))
	})

	It("asks for one reset at a time, however late it comes", func() {
		settings := bench.DefaultSettings(workload.LakeshoreMix(), 3)
		late(&settings)
		perReplica := compare(settings)[bench.PolicyKV].Resyncs / settings.Replicas
		longestPossible := settings.Feed.Delay + settings.ResyncDelay
		Expect(perReplica).To(And(BeNumerically(">", 1), BeNumerically("<", int(settings.Duration/longestPossible)/4)))
	})

	It("refuses a ratio of lost reports above 1", func() {
		settings := bench.DefaultSettings(workload.LakeshoreMix(), 3)
		settings.ReportLossRatio = 1.5
		_, err := bench.Compare(settings)
		Expect(err).To(MatchError(ContainSubstring("ReportLossRatio")))
	})
})
