package membership_test

import (
	"fmt"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// defaultSeeds is the number of seeds unless the environment variable seedsSetting
	// gives another one, as for long runs.
	defaultSeeds = 300
	seedsSetting = "MEMBERSHIP_SEEDS"
	// fleetSeeds is the number of seeds of the tests with 17 nodes.
	fleetSeeds = 20
)

func seedCount() uint64 {
	text, set := os.LookupEnv(seedsSetting)
	if !set {
		return defaultSeeds
	}
	return lo.Must(strconv.ParseUint(text, 10, 64))
}

var _ = Describe("random faults", func() {
	It("never lets any node consider a serving member certainly fenced, and ends with all nodes serving and equal tables", func() {
		for seed := range seedCount() {
			net := randomFleet(seed)
			net.injectFaults(20 * time.Second)
			Expect(net.violations).To(BeEmpty(), "seed %d", seed)
			net.endFaults()
			net.runUntil(net.now + 8*time.Second)
			Expect(net.violations).To(BeEmpty(), "seed %d", seed)
			net.expectAllServing(fmt.Sprintf("seed %d", seed))
			Expect(net.distinctTables()).To(Equal(1), "seed %d: number of distinct tables after the faults", seed)
		}
	})

	It("detects violations if clocks differ in rate by more than the margin allows", func() {
		reported := 0
		for seed := range uint64(50) {
			net := randomFleet(seed)
			for _, name := range net.names {
				net.nodes[name].rate = 0.5 + net.random.Float64()
			}
			net.injectFaults(20 * time.Second)
			reported += len(net.violations)
		}
		Expect(reported).To(BeNumerically(">", 0))
	})

	DescribeTable("makes lost members certainly fenced on all other nodes within 1.7 s when some of 17 nodes are lost at once",
		func(monitorCount int, maxOutage time.Duration, victims func(net *network) []string) {
			for seed := range uint64(fleetSeeds) {
				net := newNetwork(seed)
				net.config.MonitorCount = monitorCount
				net.startFleet(17, 4)
				net.runUntil(4 * time.Second)
				net.expectAllServing("before the loss")
				lost := victims(net)
				for _, name := range lost {
					net.kill(name)
				}
				outage := net.longestOutage(1700 * time.Millisecond)
				Expect(outage).To(BeNumerically("<=", maxOutage), "seed %d", seed)
				net.expectCertainlyFenced(lost, seed)
				net.expectAllServing(fmt.Sprintf("seed %d", seed))
				Expect(net.violations).To(BeEmpty())
			}
		},
		Entry("one node, no outage of others", 3, time.Duration(0), randomVictims(1)),
		Entry("two nodes, outages of others of at most 300 ms", 3, 300*time.Millisecond, randomVictims(2)),
		Entry("two nodes, with five monitors, no outage of others", 5, time.Duration(0), randomVictims(2)),
		Entry("all nodes of one zone, no outage of others", 3, time.Duration(0), zoneVictims),
	)
})

func fleetOf(seed uint64, count, zones int) *network {
	net := newNetwork(seed)
	net.startFleet(count, zones)
	return net
}

func (net *network) startFleet(count, zones int) {
	for i := range count {
		net.add(fmt.Sprintf("n%02d", i), fmt.Sprintf("z%d", i%zones))
	}
	for _, name := range net.names {
		net.start(name, net.names[:min(3, count)]...)
	}
}

func randomVictims(count int) func(net *network) []string {
	return func(net *network) []string {
		indexes := net.random.Perm(len(net.names))[:count]
		return lo.Map(indexes, func(at, _ int) string { return net.names[at] })
	}
}

func zoneVictims(net *network) []string {
	return lo.Filter(net.names, func(name string, _ int) bool { return net.nodes[name].zone == "z1" })
}

// longestOutage runs the network for the given duration and returns the longest uninterrupted
// time for which a running node was fenced.
func (net *network) longestOutage(duration time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	outages := map[string]time.Duration{}
	longest := time.Duration(0)
	for until := net.now + duration; net.now < until; {
		net.runUntil(net.now + step)
		for _, name := range net.names {
			outages[name] += step
			if net.nodes[name].machine == nil || net.serves(name) {
				outages[name] = 0
			}
			longest = max(longest, outages[name])
		}
	}
	return longest
}

func (net *network) expectCertainlyFenced(lost []string, seed uint64) {
	for _, pair := range lo.CrossJoin2(lo.Without(net.names, lost...), lost) {
		machine, dead := net.nodes[pair.A].machine, member.ID(pair.B)
		Expect(machine.CertainlyFenced(dead)).To(BeTrue(), "seed %d: %s considers %s certainly fenced", seed, pair.A, dead)
		Expect(machine.Alive(dead)).To(BeFalse())
	}
}

func randomFleet(seed uint64) *network {
	net := newNetwork(seed)
	net.incarnationsMayDecrease = seed%5 == 4
	net.startFleet(3+int(seed%6), 3)
	for _, name := range net.names {
		net.nodes[name].rate = 0.96 + 0.08*net.random.Float64()
	}
	net.runUntil(3 * time.Second)
	net.loss = []float64{0, 0.02, 0.2}[seed%3]
	net.duplicates = []float64{0, 0.1}[seed%2]
	net.jitter = []time.Duration{time.Millisecond, 80 * time.Millisecond, 700 * time.Millisecond}[seed/3%3]
	return net
}

// injectFaults injects random faults at random intervals for the given duration.
func (net *network) injectFaults(duration time.Duration) {
	until := net.now + duration
	for net.now < until {
		net.runUntil(net.now + time.Duration(net.random.IntN(900))*time.Millisecond)
		net.injectFault(net.names[net.random.IntN(len(net.names))], net.names[net.random.IntN(len(net.names))])
	}
}

func (net *network) injectFault(name, other string) {
	n := net.nodes[name]
	switch net.random.IntN(12) {
	case 0:
		net.kill(name)
	case 1, 2:
		if n.machine == nil || n.left {
			net.start(name, net.names[:3]...)
		}
	case 3:
		net.start(name, net.names[:3]...)
	case 4:
		n.frozen = n.machine != nil
	case 5, 6:
		n.frozen = false
	case 7, 8:
		net.isolate(name, net.random.IntN(2) == 0)
	case 9:
		net.blocked[link{name, other}] = true
	case 10:
		clear(net.blocked)
	case 11:
		if n.isRunning() && net.random.IntN(4) == 0 {
			net.leave(name)
		}
	}
}

// endFaults ends all faults and starts a process on each node that is stopped or has left.
func (net *network) endFaults() {
	clear(net.blocked)
	net.loss, net.duplicates, net.jitter = 0, 0, time.Millisecond
	for _, name := range net.names {
		n := net.nodes[name]
		n.frozen = false
		if n.machine == nil || n.left {
			net.start(name, net.names[:3]...)
		}
	}
}

func (net *network) expectAllServing(context string) {
	for _, n := range net.all {
		Expect(n.machine == nil || n.serves(net)).To(BeTrue(), "%s: %s", context, n.id)
	}
}
