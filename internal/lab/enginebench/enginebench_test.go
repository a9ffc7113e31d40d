package enginebench_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/enginebench"
)

func TestEngineBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "enginebench")
}

// run plays a short day of a fleet.
func run(profile enginebench.Profile, policy enginebench.Policy, load float64) *enginebench.Result {
	return enginebench.Run(enginebench.Settings{
		Profile: profile, Policy: policy, Seed: 1, Load: load, Duration: 15 * time.Second,
		EventLoss: 0.005, ShareEvery: 30 * time.Millisecond,
	})
}

var _ = Describe("Engine bench", func() {
	It("gives the same result for the same seed", func() {
		profile := enginebench.Profiles()[1]
		Expect(run(profile, enginebench.Router, 1).Credit).To(Equal(run(profile, enginebench.Router, 1).Credit))
	})

	It("keeps the router well above the simple policies, on calm days and under load", func() {
		for _, profile := range enginebench.Profiles() {
			for _, load := range []float64{1, 2.5} {
				router := run(profile, enginebench.Router, load)
				simple := run(profile, enginebench.LeastStore, load)
				Expect(1-router.Credit).To(BeNumerically("<", 0.75*(1-simple.Credit)), "%s at %v", profile.Name, load)
				Expect(router.Worst).To(BeNumerically(">", simple.Worst), "%s at %v", profile.Name, load)
			}
		}
	})
})
