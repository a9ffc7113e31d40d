package retrybudget_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/retrybudget"
)

const (
	fleetWindow = 10 * time.Second
	fleetSlack  = 56.0
	// membershipDelay is the delay after which a node knows that another has joined or left.
	membershipDelay = 2 * time.Second
)

// member is one node of a fleet whose nodes join and leave.
type member struct {
	budget   *retrybudget.Budget
	joinedAt time.Duration
	leavesAt time.Duration
}

// testFleet records the first attempts and retries of all nodes in a sliding window.
type testFleet struct {
	now                           time.Duration
	members                       []*member
	firstAttemptTimes, retryTimes []time.Duration
}

// knownNodes counts the nodes that a node knows to be live: those that were live a
// membershipDelay ago.
func (f *testFleet) knownNodes() int {
	count := 0
	seenAt := f.now - membershipDelay
	for _, one := range f.members {
		if one.joinedAt <= seenAt && one.leavesAt > seenAt {
			count++
		}
	}
	return count
}

func (f *testFleet) join(until time.Duration) {
	f.members = append(f.members, &member{
		joinedAt: f.now,
		leavesAt: until,
		budget: retrybudget.New(retrybudget.Options{
			Window: fleetWindow, Slack: fleetSlack, StartedAt: f.now, SlackFraction: retrybudget.FleetSlackFraction(f.knownNodes, 0),
		}),
	})
}

func (f *testFleet) live() []*member {
	var live []*member
	for _, one := range f.members {
		if one.joinedAt <= f.now && one.leavesAt > f.now {
			live = append(live, one)
		}
	}
	return live
}

func (f *testFleet) dropExpired(times []time.Duration, windows time.Duration) []time.Duration {
	for len(times) > 0 && times[0] <= f.now-windows*fleetWindow {
		times = times[1:]
	}
	return times
}

// maxFirstAttempts returns the number of first attempts in the window that ends now, in the
// window before it, or in the window half a length earlier, whichever has the most.
func (f *testFleet) maxFirstAttempts() float64 {
	maximum := 0
	for _, end := range []time.Duration{f.now, f.now - fleetWindow/2, f.now - fleetWindow} {
		count := 0
		for _, at := range f.firstAttemptTimes {
			if at > end-fleetWindow && at <= end {
				count++
			}
		}
		maximum = max(maximum, count)
	}
	return float64(maximum)
}

var _ = Describe("Budget of a fleet", func() {
	DescribeTable("permits no more retries than ratio and slack in any window while nodes join and leave", func(seed uint64, nodes int) {
		random := rand.New(rand.NewPCG(seed, 5))
		fleet := &testFleet{}
		for range nodes {
			fleet.join(time.Duration(20+random.IntN(200)) * time.Second)
		}
		maximum := 0
		for fleet.now < 3*time.Minute {
			fleet.now += time.Duration(random.IntN(8)) * time.Millisecond
			if random.IntN(4000) == 0 {
				fleet.join(fleet.now + time.Duration(1+random.IntN(100))*time.Second)
			}
			live := fleet.live()
			if len(live) == 0 {
				fleet.join(fleet.now + time.Minute)
				continue
			}
			node := live[random.IntN(len(live))]
			if random.IntN(3) == 0 {
				node.budget.First(fleet.now)
				fleet.firstAttemptTimes = append(fleet.firstAttemptTimes, fleet.now)
			} else if node.budget.TryRetry(fleet.now) {
				fleet.retryTimes = append(fleet.retryTimes, fleet.now)
			}
			fleet.firstAttemptTimes, fleet.retryTimes = fleet.dropExpired(fleet.firstAttemptTimes, 2), fleet.dropExpired(fleet.retryTimes, 1)
			permitted := retrybudget.DefaultRatio * fleet.maxFirstAttempts()
			Expect(float64(len(fleet.retryTimes))).To(BeNumerically("<=", permitted+fleetSlack))
			maximum = max(maximum, len(fleet.retryTimes)-int(permitted))
		}
		Expect(maximum).To(BeNumerically(">", fleetSlack/4))
	},
		Entry("9 nodes", uint64(1), 9),
		Entry("8 nodes, with another seed", uint64(2), 8),
		Entry("72 nodes", uint64(3), 72),
		Entry("one node", uint64(4), 1))

	It("uses no slack until the node has been running for a window", func() {
		budget := retrybudget.New(retrybudget.Options{
			Slack: 10, StartedAt: 5 * time.Second, SlackFraction: func(time.Duration) float64 { return 1 },
		})
		Expect(budget.TryRetry(14 * time.Second)).To(BeFalse())
		Expect(budget.TryRetry(15 * time.Second)).To(BeTrue())
	})

	It("uses all slack without SlackFraction", func() {
		budget := retrybudget.New(retrybudget.Options{Slack: 2})
		Expect(budget.TryRetry(0)).To(BeTrue())
		Expect(budget.TryRetry(0)).To(BeTrue())
		Expect(budget.TryRetry(0)).To(BeFalse())
	})

	It("applies a larger fraction only a window after the increase", func() {
		fraction := 0.1
		budget := retrybudget.New(retrybudget.Options{Slack: 10, SlackFraction: func(time.Duration) float64 { return fraction }})
		Expect(budget.TryRetry(20 * time.Second)).To(BeTrue())
		Expect(budget.TryRetry(20 * time.Second)).To(BeFalse())
		fraction = 1
		Expect(budget.TryRetry(21 * time.Second)).To(BeFalse())
		Expect(budget.TryRetry(30 * time.Second)).To(BeTrue())
		Expect(budget.TryRetry(30*time.Second + 1)).To(BeFalse())
		Expect(budget.TryRetry(31 * time.Second)).To(BeTrue())
	})
})
