package proxybench_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/proxybench"
)

var _ = Describe("Measure", func() {
	It("gets whole answers through every target, and compares them", func() {
		settings := proxybench.DefaultSettings()
		settings.Rounds, settings.Connections = 2, 4
		settings.SaturationTime, settings.HalfLoadTime = 20*time.Millisecond, 20*time.Millisecond
		report, err := proxybench.Measure(context.Background(), settings)
		Expect(err).NotTo(HaveOccurred())
		names := []proxybench.TargetName{proxybench.TargetDirect, proxybench.TargetForwarder, proxybench.TargetNode}
		Expect(report.Targets).To(HaveLen(len(names)))
		for position, result := range report.Targets {
			Expect(result.Target).To(Equal(names[position]))
			Expect(result.RequestsPerSecond).To(BeNumerically(">", 0))
			Expect(result.ProcessorMicroseconds).To(BeNumerically(">", 0))
			Expect(result.HalfLoadP99MS).To(BeNumerically(">=", result.HalfLoadP50MS))
		}
		Expect(report.Summary.ThroughputRatio).To(BeNumerically(">", 0))
	})

	It("ends early when it is told to", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := proxybench.Measure(ctx, proxybench.DefaultSettings())
		Expect(err).To(MatchError(context.Canceled))
	})

	It("refuses settings that measure nothing", func() {
		_, err := proxybench.Measure(context.Background(), proxybench.Settings{})
		Expect(err).To(MatchError(ContainSubstring("at least one replica")))
	})
})
