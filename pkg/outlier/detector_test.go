package outlier_test

import (
	"fmt"
	"math"
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

func members(count int) []outlier.Member {
	var all []outlier.Member
	for number := range count {
		all = append(all, outlier.Member{Address: fmt.Sprint("replica-", number), Instance: "i-1"})
	}
	return all
}

func detectorOf(options outlier.Options, replicas int) *outlier.Detector {
	d := outlier.New(options)
	d.SetPools(map[string][]outlier.Member{pool: members(replicas)})
	return d
}

func detector(replicas int) *outlier.Detector {
	return detectorOf(outlier.Options{}, replicas)
}

func repeat(d *outlier.Detector, now time.Duration, address string, outcome outlier.Outcome, times int) {
	for range times {
		d.Observe(now, address, outcome)
	}
}

// ejected counts the ejected replicas of the pool.
func ejected(d *outlier.Detector, now time.Duration) int {
	return d.Stats(now, pool).Ejected
}

// probeDue returns the first time, beginning with from, at which a probe of the ejected
// replica-0 is due.
func probeDue(d *outlier.Detector, from time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	for now := from; now < from+time.Minute; now += step {
		if d.Verdict(now, "replica-0", true) == outlier.Healthy {
			return now
		}
	}
	Fail("no probe of replica-0 was due within a minute")
	return 0
}

var _ = Describe("Detector", func() {
	DescribeTable("ejects a replica that fails a fraction of its requests", func(outcome outlier.Outcome, times int) {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Succeeded, times-1)
		repeat(d, 0, "replica-0", outcome, times-1)
		Expect(ejected(d, 0)).To(BeZero())
		repeat(d, 0, "replica-0", outcome, 1)
		Expect(ejected(d, 0)).To(Equal(1))
		Expect(d.Stats(0, pool).Ejections).To(Equal(uint64(1)))
	},
		Entry("errors", outlier.Errored, 2),
		Entry("resets", outlier.Reset, 2),
		Entry("overdue responses", outlier.Overdue, 2),
		Entry("failures to connect", outlier.Unreached, 2),
		Entry("refusals", outlier.Refused, 2),
	)

	It("ejects a replica whose responses are always slow", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Slow, 3)
		Expect(ejected(d, 0)).To(BeZero())
		repeat(d, 0, "replica-0", outlier.Slow, 1)
		Expect(ejected(d, 0)).To(Equal(1))
	})

	It("does not eject a replica that fails a fifth of its requests", func() {
		d := detector(6)
		for range 50 {
			repeat(d, 0, "replica-0", outlier.Succeeded, 4)
			repeat(d, 0, "replica-0", outlier.Errored, 1)
			Expect(d.Verdict(0, "replica-0", false)).To(Equal(outlier.Healthy))
		}
	})

	It("ejects a busy replica after few failures", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Succeeded, 1000)
		repeat(d, 0, "replica-0", outlier.Errored, 3)
		Expect(d.Verdict(0, "replica-0", false)).To(Equal(outlier.Ejected))
	})

	It("does not eject a replica whose first failure is many half-lives old", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Errored, 1)
		repeat(d, 30*time.Second, "replica-0", outlier.Errored, 1)
		Expect(d.Verdict(30*time.Second, "replica-0", false)).To(Equal(outlier.Healthy))
	})

	It("does not eject replicas when all replicas of the pool fail alike", func() {
		d := detector(7)
		for range 10 {
			for _, member := range members(7) {
				repeat(d, 0, member.Address, outlier.Refused, 1)
			}
		}
		Expect(ejected(d, 0)).To(BeZero())
	})

	It("never ejects more than the permitted fraction of a pool", func() {
		d := detector(7)
		for _, member := range members(7) {
			repeat(d, 0, member.Address, outlier.Errored, 1)
			repeat(d, 0, member.Address, outlier.Succeeded, 1)
		}
		for _, member := range members(7)[:5] {
			repeat(d, 0, member.Address, outlier.Errored, 1)
		}
		Expect(ejected(d, 0)).To(BeNumerically("<=", 3))
		alone := detector(1)
		repeat(alone, 0, "replica-0", outlier.Errored, 10)
		Expect(ejected(alone, 0)).To(BeZero())
	})

	It("probes with single requests, and readmits a replica after several successes in a row", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Errored, 2)
		Expect(d.Verdict(outlier.DefaultEjection-1, "replica-0", true)).To(Equal(outlier.Ejected))
		now := probeDue(d, outlier.DefaultEjection)
		Expect(d.Verdict(now, "replica-0", false)).To(Equal(outlier.Ejected), "a request that is not a probe is not sent to the replica")
		for range outlier.DefaultProbes {
			Expect(ejected(d, now)).To(Equal(1))
			Expect(d.Verdict(now, "replica-0", true)).To(Equal(outlier.Healthy))
			d.ProbeSent(now, "replica-0")
			Expect(d.Verdict(now, "replica-0", true)).To(Equal(outlier.Ejected), "only one probe at a time")
			now += 100 * time.Millisecond
			d.Observe(now, "replica-0", outlier.Succeeded)
		}
		Expect(ejected(d, now)).To(BeZero())
		Expect(d.Verdict(now, "replica-0", false)).To(Equal(outlier.Healthy))
	})

	It("restarts the count of successful probes after a failed probe", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Errored, 2)
		now := time.Duration(0)
		for _, outcome := range []outlier.Outcome{outlier.Succeeded, outlier.Succeeded, outlier.Errored, outlier.Succeeded, outlier.Succeeded} {
			now = probeDue(d, now)
			d.ProbeSent(now, "replica-0")
			d.Observe(now, "replica-0", outcome)
			Expect(ejected(d, now)).To(Equal(1))
		}
	})

	It("doubles the time to the next probe after each failed probe, up to a bound", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Errored, 2)
		now := probeDue(d, 0)
		for _, minimum := range []time.Duration{2, 4, 8, 8} {
			d.ProbeSent(now, "replica-0")
			d.Observe(now, "replica-0", outlier.Errored)
			due := probeDue(d, now)
			Expect(due - now).To(And(
				BeNumerically(">=", minimum*time.Second), BeNumerically("<=", minimum*time.Second*3/2+time.Second/10)))
			now = due
		}
	})

	It("ejects a replica that fails repeatedly for longer each time", func() {
		d := detector(6)
		now, last := time.Duration(0), time.Duration(0)
		for range 3 {
			started := now
			repeat(d, now, "replica-0", outlier.Errored, 2)
			now = probeDue(d, now)
			Expect(now - started).To(BeNumerically(">", last))
			last = now - started
			for range outlier.DefaultProbes {
				d.ProbeSent(now, "replica-0")
				d.Observe(now, "replica-0", outlier.Succeeded)
			}
			Expect(ejected(d, now)).To(BeZero())
		}
		By("ejecting it for the initial time again after a minute without failures")
		now += time.Minute
		repeat(d, now, "replica-0", outlier.Errored, 2)
		Expect(probeDue(d, now) - now).To(BeNumerically("<=", 2*outlier.DefaultEjection))
	})

	It("admits another probe when the first one never ends", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Errored, 2)
		now := probeDue(d, 0)
		d.ProbeSent(now, "replica-0")
		Expect(d.Verdict(now+outlier.DefaultEjection-1, "replica-0", true)).To(Equal(outlier.Ejected))
		Expect(d.Verdict(now+outlier.DefaultEjection, "replica-0", true)).To(Equal(outlier.Healthy))
	})

	It("drops the statistics of replicas that leave or have a new incarnation", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Errored, 2)
		repeat(d, 0, "replica-1", outlier.Errored, 2)
		Expect(ejected(d, 0)).To(Equal(2))
		staying := members(6)
		staying[0].Instance = "i-2"
		d.SetPools(map[string][]outlier.Member{pool: staying})
		Expect(ejected(d, 0)).To(Equal(1))
		Expect(d.Verdict(0, "replica-0", false)).To(Equal(outlier.Healthy))
		d.SetPools(map[string][]outlier.Member{pool: staying[2:]})
		Expect(ejected(d, 0)).To(BeZero())
		Expect(d.Stats(0, pool).Ejections).To(Equal(uint64(2)), "the pool's counters are kept")
	})

	It("ejects a replica of several pools only if all of them permit it", func() {
		d := outlier.New(outlier.Options{})
		d.SetPools(map[string][]outlier.Member{"one": members(4), "two": members(1)})
		repeat(d, 0, "replica-0", outlier.Errored, 5)
		Expect(d.Verdict(0, "replica-0", false)).To(Equal(outlier.Healthy), "the second pool would have no replica left")
		repeat(d, 0, "replica-2", outlier.Succeeded, 9)
		repeat(d, 0, "replica-1", outlier.Errored, 5)
		Expect(d.Verdict(0, "replica-1", false)).To(Equal(outlier.Ejected))
	})

	It("calls Changed when a replica is ejected and readmitted", func() {
		var changes []string
		d := detectorOf(outlier.Options{Probes: 1, Changed: func(address string, out bool) {
			changes = append(changes, fmt.Sprint(address, " ", out))
		}}, 6)
		repeat(d, 0, "replica-0", outlier.Errored, 2)
		now := probeDue(d, 0)
		d.ProbeSent(now, "replica-0")
		d.Observe(now, "replica-0", outlier.Succeeded)
		Expect(changes).To(Equal([]string{"replica-0 true", "replica-0 false"}))
	})

	It("counts the outcomes that the node has observed", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Succeeded, 3)
		repeat(d, 0, "replica-1", outlier.Errored, 1)
		Expect(d.Stats(0, pool).Outcomes).To(Equal(map[outlier.Outcome]uint64{outlier.Succeeded: 3, outlier.Errored: 1}))
		Expect(d.Stats(0, "other").Outcomes).To(BeEmpty())
		Expect([]string{outlier.Unreached.String(), outlier.Outcome(99).String()}).To(Equal([]string{"unreached", "unknown"}))
	})
})

var _ = Describe("Suspicion", func() {
	It("lasts longer each time in a row, until a request succeeds", func() {
		d := detector(6)
		now := time.Duration(0)
		for _, seconds := range []time.Duration{1, 2, 4, 8, 8} {
			d.Suspect(now, "replica-0")
			Expect(d.Verdict(now+seconds*time.Second-1, "replica-0", true)).To(Equal(outlier.Suspected))
			now += seconds * time.Second
			Expect(d.Verdict(now, "replica-0", true)).To(Equal(outlier.Healthy))
		}
		d.Observe(now, "replica-0", outlier.Succeeded)
		d.Suspect(now, "replica-0")
		Expect(d.Verdict(now+time.Second, "replica-0", true)).To(Equal(outlier.Healthy))
	})

	DescribeTable("starts at once only after a broken connection", func(outcome outlier.Outcome, expected outlier.Verdict) {
		d := detector(6)
		d.Observe(0, "replica-0", outcome)
		Expect(d.Verdict(0, "replica-0", true)).To(Equal(expected))
	},
		Entry("a reset", outlier.Reset, outlier.Suspected),
		Entry("a failure to connect", outlier.Unreached, outlier.Suspected),
		Entry("an error", outlier.Errored, outlier.Healthy),
		Entry("a refusal", outlier.Refused, outlier.Healthy),
		Entry("an overdue response", outlier.Overdue, outlier.Healthy),
	)

	It("starts after three missed deadlines in a row", func() {
		d := detector(6)
		missDeadlines := func(times int) {
			for range times {
				d.RecordMissedDeadline(0, "replica-0")
			}
		}
		missDeadlines(2)
		d.Observe(0, "replica-0", outlier.Refused)
		missDeadlines(2)
		d.RecordResponse("replica-0")
		missDeadlines(2)
		Expect(d.Verdict(0, "replica-0", true)).To(Equal(outlier.Healthy))
		missDeadlines(1)
		Expect(d.Verdict(0, "replica-0", true)).To(Equal(outlier.Suspected))
	})

	It("ends when the replica sends data, which also makes a probe due", func() {
		d := detector(6)
		repeat(d, 0, "replica-0", outlier.Unreached, 2)
		Expect(ejected(d, 0)).To(Equal(1))
		Expect(d.Stats(0, pool).Suspected).To(Equal(1))
		Expect(d.Verdict(0, "replica-0", true)).To(Equal(outlier.Suspected))
		d.RecordAlive(0, "replica-0")
		Expect(d.Verdict(0, "replica-0", true)).To(Equal(outlier.Healthy))
		Expect(d.Verdict(0, "replica-0", false)).To(Equal(outlier.Ejected))
	})
})

// fleet contains the detectors of nodes in two zones that exchange all reports.
type fleet struct {
	sameZone, otherZone []*outlier.Detector
}

func newFleet(perZone int) *fleet {
	const replicas = 18
	f := &fleet{}
	for number := range perZone {
		f.sameZone = append(f.sameZone, detectorOf(outlier.Options{Node: fmt.Sprint("near-", number)}, replicas))
		f.otherZone = append(f.otherZone, detectorOf(outlier.Options{Node: fmt.Sprint("far-", number)}, replicas))
	}
	return f
}

// exchangeReports sends the reports of every node to every other one.
func (f *fleet) exchangeReports(now time.Duration) (reported int) {
	zones := [][]*outlier.Detector{f.sameZone, f.otherZone}
	for zone, senders := range zones {
		for number, from := range senders {
			reports := from.TakeReports(now)
			reported += len(reports)
			for otherZone, receivers := range zones {
				for _, to := range receivers {
					if to == from {
						continue
					}
					for _, report := range reports {
						to.ApplyReport(now, fmt.Sprint(zone, number), zone == otherZone, report)
					}
				}
			}
		}
	}
	return reported
}

var _ = Describe("Nodes that each observe little traffic", func() {
	It("eject a replica by reports that none of them could eject alone", func() {
		f := newFleet(4)
		for _, node := range f.sameZone[:2] {
			node.Observe(0, "replica-0", outlier.Errored)
		}
		f.exchangeReports(0)
		for _, node := range f.sameZone {
			Expect(ejected(node, 0)).To(Equal(1))
		}
		By("ejecting it in the other zone, which has observed no outcomes of its own")
		for _, node := range f.otherZone {
			Expect(ejected(node, 0)).To(Equal(1))
		}
	})

	It("report nothing while no request fails", func() {
		f := newFleet(4)
		for _, node := range f.sameZone {
			repeat(node, 0, "replica-0", outlier.Succeeded, 50)
		}
		Expect(f.exchangeReports(0)).To(BeZero())
	})

	It("report successes once there are failures, so that rare failures eject no replica", func() {
		f := newFleet(4)
		for _, node := range f.sameZone {
			repeat(node, 0, "replica-0", outlier.Succeeded, 3)
		}
		for second := range 30 * time.Second / time.Second {
			now := second * time.Second
			f.sameZone[second%4].Observe(now, "replica-0", outlier.Errored)
			f.exchangeReports(now)
			for _, node := range f.sameZone {
				node.Observe(now, "replica-0", outlier.Succeeded)
			}
			f.exchangeReports(now + time.Second/2)
			for _, node := range f.sameZone {
				Expect(ejected(node, now)).To(BeZero())
			}
		}
	})

	It("do not eject replicas by reports of a single node, which may be partitioned", func() {
		f := newFleet(4)
		for _, member := range members(18) {
			repeat(f.sameZone[0], 0, member.Address, outlier.Unreached, 3)
		}
		f.exchangeReports(0)
		for _, node := range append(f.sameZone[1:], f.otherZone...) {
			Expect(ejected(node, 0)).To(BeZero())
		}
	})

	// failInSameZone records failures of a replica by the nodes of one zone in turn, and
	// successes by the nodes of the other zone.
	failInSameZone := func(f *fleet, rounds int) {
		for round := range rounds {
			now := time.Duration(round) * time.Second
			f.sameZone[round%len(f.sameZone)].Observe(now, "replica-0", outlier.Errored)
			f.exchangeReports(now)
			for _, node := range f.otherZone {
				node.Observe(now, "replica-0", outlier.Succeeded)
			}
			f.exchangeReports(now + time.Second/2)
		}
	}

	It("eject a replica that fails in one zone only in that zone", func() {
		f := newFleet(4)
		failInSameZone(f, 8)
		for _, node := range f.sameZone {
			Expect(ejected(node, 0)).To(Equal(1))
		}
		for _, node := range f.otherZone {
			Expect(ejected(node, 0)).To(BeZero())
		}
	})

	It("report the outcomes of their probes, failed or not", func() {
		f := newFleet(2)
		for _, node := range f.sameZone {
			repeat(node, 0, "replica-0", outlier.Errored, 2)
		}
		f.exchangeReports(0)
		now := 2 * outlier.DefaultEjection
		f.sameZone[0].ProbeSent(now, "replica-0")
		f.sameZone[0].Observe(now, "replica-0", outlier.Errored)
		f.exchangeReports(now)
		Expect(f.sameZone[1].Verdict(now, "replica-0", true)).To(Equal(outlier.Ejected), "the probe of the second node is postponed")
		for range outlier.DefaultProbes {
			now += 8 * outlier.DefaultEjection
			f.sameZone[0].ProbeSent(now, "replica-0")
			f.sameZone[0].Observe(now, "replica-0", outlier.Succeeded)
			f.exchangeReports(now)
		}
		Expect(ejected(f.sameZone[1], now)).To(BeZero())
	})

	It("probe at different times", func() {
		f := newFleet(8)
		due := map[time.Duration]int{}
		for _, node := range f.sameZone {
			repeat(node, 0, "replica-0", outlier.Errored, 2)
			due[probeDue(node, 0)]++
		}
		Expect(len(due)).To(BeNumerically(">", 4))
	})

	DescribeTable("ignore invalid reports", func(report outlier.Report) {
		d := detector(6)
		for _, node := range []string{"a", "b", "c"} {
			d.ApplyReport(0, node, true, report)
		}
		Expect(ejected(d, 0)).To(BeZero())
	},
		Entry("more failures than outcomes", outlier.Report{Address: "replica-0", Failures: 9, Total: 1}),
		Entry("a weight above the maximum", outlier.Report{Address: "replica-0", Failures: 1e9, Total: 1e9}),
		Entry("negative weights", outlier.Report{Address: "replica-0", Failures: -1, Total: -1}),
		Entry("weights that are not numbers", outlier.Report{Address: "replica-0", Failures: math.NaN(), Total: math.NaN()}),
		Entry("a replica that is not listed", outlier.Report{Address: "other", Failures: 9, Total: 9}),
	)
})
