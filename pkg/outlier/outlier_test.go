package outlier_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
)

func TestOutlier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outlier")
}

const pool = "pool"

func addresses(count int) []string {
	var names []string
	for number := range count {
		names = append(names, fmt.Sprint("replica-", number))
	}
	return names
}

func detector(replicas int) *outlier.Detector {
	d := outlier.New(outlier.Options{})
	d.SetPool(pool, addresses(replicas))
	return d
}

func repeat(d *outlier.Detector, now time.Duration, address string, outcome outlier.Outcome, times int) {
	for range times {
		d.Observe(now, pool, address, outcome)
	}
}

var _ = Describe("Detector", func() {
	It("ejects a replica that fails, and not one that fails now and then", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Succeeded, 10)
		repeat(d, 0, "replica-0", outlier.Reset, 3)
		Expect(d.Avoid(0, "replica-0")).To(BeFalse())
		repeat(d, 0, "replica-1", outlier.Reset, 2)
		Expect(d.Avoid(0, "replica-1")).To(BeFalse())
		repeat(d, 0, "replica-1", outlier.Reset, 1)
		Expect(d.Avoid(0, "replica-1")).To(BeTrue())
		Expect(d.Ejected(pool)).To(Equal(1))
	})

	It("does not take a refusal for a fault", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Refused, 100)
		Expect(d.Avoid(0, "replica-0")).To(BeFalse())
	})

	It("takes first tokens that are always slow for a fault", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.SlowFirstToken, 3)
		Expect(d.Avoid(0, "replica-0")).To(BeTrue())
	})

	It("forgets what is long past", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Reset, 2)
		repeat(d, 30*time.Second, "replica-0", outlier.Reset, 2)
		Expect(d.Avoid(30*time.Second, "replica-0")).To(BeFalse())
	})

	It("never ejects more than a third of a pool", func() {
		d := detector(7)
		for _, address := range addresses(7) {
			repeat(d, 0, address, outlier.Reset, 10)
		}
		Expect(d.Ejected(pool)).To(Equal(2))
	})

	It("probes with single requests, and readmits a replica that answers", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Reset, 3)
		Expect(d.Avoid(999*time.Millisecond, "replica-0")).To(BeTrue())
		Expect(d.Avoid(time.Second, "replica-0")).To(BeFalse())
		d.ProbeSent(time.Second, "replica-0")
		Expect(d.Avoid(time.Second, "replica-0")).To(BeTrue())
		now := time.Second
		for probes := 0; d.Ejected(pool) > 0; probes++ {
			Expect(probes).To(BeNumerically("<", 4))
			now += 100 * time.Millisecond
			d.Observe(now, pool, "replica-0", outlier.Succeeded)
			Expect(d.Avoid(now, "replica-0")).To(BeFalse())
		}
	})

	It("waits twice as long after each probe that fails", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Reset, 3)
		now := time.Second
		for _, wait := range []time.Duration{2, 4, 8, 16, 16} {
			d.ProbeSent(now, "replica-0")
			d.Observe(now, pool, "replica-0", outlier.TimedOut)
			Expect(d.Avoid(now+wait*time.Second-1, "replica-0")).To(BeTrue())
			now += wait * time.Second
			Expect(d.Avoid(now, "replica-0")).To(BeFalse())
		}
	})

	It("lets another probe go when the first never ends", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Reset, 3)
		d.ProbeSent(time.Second, "replica-0")
		Expect(d.Avoid(2*time.Second-1, "replica-0")).To(BeTrue())
		Expect(d.Avoid(2*time.Second, "replica-0")).To(BeFalse())
	})

	It("forgets replicas that leave the pool", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Reset, 3)
		d.SetPool(pool, addresses(6)[1:])
		Expect(d.Ejected(pool)).To(BeZero())
		Expect(d.Avoid(0, "replica-0")).To(BeFalse())
	})
})
