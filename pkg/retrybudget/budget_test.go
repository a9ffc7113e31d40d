package retrybudget_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/retrybudget"
)

// addFirstAttempts adds a number of first attempts to a budget.
func addFirstAttempts(budget *retrybudget.Budget, now time.Duration, count int) {
	for range count {
		budget.First(now)
	}
}

var _ = Describe("Budget", func() {
	It("permits no retry without enough first attempts", func() {
		budget := retrybudget.New(retrybudget.Options{})
		Expect(budget.TryRetry(0)).To(BeFalse())
		addFirstAttempts(budget, 0, 4)
		Expect(budget.TryRetry(0)).To(BeFalse())
		addFirstAttempts(budget, 0, 1)
		Expect(budget.TryRetry(0)).To(BeTrue())
		Expect(budget.TryRetry(0)).To(BeFalse())
	})

	It("drops first attempts that leave the window", func() {
		budget := retrybudget.New(retrybudget.Options{Window: 10 * time.Second})
		addFirstAttempts(budget, 0, 100)
		Expect(budget.TryRetry(9 * time.Second)).To(BeTrue())
		Expect(budget.TryRetry(10 * time.Second)).To(BeFalse())
	})

	DescribeTable("never permits more retries than its ratio of all first attempts", func(seed uint64) {
		random := rand.New(rand.NewPCG(seed, seed))
		budget := retrybudget.New(retrybudget.Options{})
		now := time.Duration(0)
		total, retries := 0, 0
		for range 20000 {
			now += time.Duration(random.IntN(400)) * time.Millisecond
			if random.IntN(30) == 0 {
				now += time.Duration(random.IntN(30)) * time.Second
			}
			if random.IntN(2) == 0 {
				budget.First(now)
				total++
			} else if budget.TryRetry(now) {
				retries++
			}
			Expect(float64(retries)).To(BeNumerically("<=", retrybudget.DefaultRatio*float64(total)))
		}
		Expect(retries).To(BeNumerically(">", total/20))
	}, Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)))
})
