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
	// defaultSeeds is what seedsSetting in the environment replaces in long runs.
	defaultSeeds = 300
	seedsSetting = "MEMBERSHIP_SEEDS"
	fleetSeeds   = 20
)

func seeds() uint64 {
	text, set := os.LookupEnv(seedsSetting)
	if !set {
		return defaultSeeds
	}
	return lo.Must(strconv.ParseUint(text, 10, 64))
}

var _ = Describe("random runs", func() {
	It("never counts a serving member as certainly fenced", func() {
		for seed := range seeds() {
			w := randomFleet(seed)
			w.disturb(20 * time.Second)
			Expect(w.violations).To(BeEmpty(), "seed %d", seed)
			w.calm()
			w.runUntil(w.now + 8*time.Second)
			Expect(w.violations).To(BeEmpty(), "seed %d", seed)
			w.expectAllServing(fmt.Sprintf("seed %d", seed))
			Expect(w.tables()).To(Equal(1), "seed %d: all hold one table", seed)
		}
	})

	It("would report clocks that differ by more than the margin", func() {
		reported := 0
		for seed := range uint64(50) {
			w := randomFleet(seed)
			for _, name := range w.names {
				w.nodes[name].rate = 0.5 + w.random.Float64()
			}
			w.disturb(20 * time.Second)
			reported += len(w.violations)
		}
		Expect(reported).To(BeNumerically(">", 0))
	})

	DescribeTable("17 nodes of which some are lost at once: certainty everywhere in time",
		func(monitorCount int, longestGap time.Duration, victims func(w *network) []string) {
			for seed := range uint64(fleetSeeds) {
				w := newNetwork(seed)
				w.config.MonitorCount = monitorCount
				w.startFleet(17, 4)
				w.runUntil(4 * time.Second)
				w.expectAllServing("before")
				lost := victims(w)
				for _, name := range lost {
					w.kill(name)
				}
				gap := w.longestGap(1700 * time.Millisecond)
				Expect(gap).To(BeNumerically("<=", longestGap), "seed %d", seed)
				w.expectCertain(lost, seed)
				w.expectAllServing(fmt.Sprintf("seed %d", seed))
				Expect(w.violations).To(BeEmpty())
			}
		},
		Entry("one", 3, time.Duration(0), randomVictims(1)),
		Entry("two", 3, 300*time.Millisecond, randomVictims(2)),
		Entry("two, with five monitors", 5, time.Duration(0), randomVictims(2)),
		Entry("a zone", 3, time.Duration(0), zoneVictims),
	)
})

func fleetOf(seed uint64, count, zones int) *network {
	w := newNetwork(seed)
	w.startFleet(count, zones)
	return w
}

func (w *network) startFleet(count, zones int) {
	for i := range count {
		w.add(fmt.Sprintf("n%02d", i), fmt.Sprintf("z%d", i%zones))
	}
	for _, name := range w.names {
		w.start(name, w.names[:min(3, count)]...)
	}
}

func randomVictims(count int) func(w *network) []string {
	return func(w *network) []string {
		places := w.random.Perm(len(w.names))[:count]
		return lo.Map(places, func(at, _ int) string { return w.names[at] })
	}
}

func zoneVictims(w *network) []string {
	return lo.Filter(w.names, func(name string, _ int) bool { return w.nodes[name].zone == "z1" })
}

// longestGap runs for a while and returns for how long some running node was
// fenced in one go.
func (w *network) longestGap(duration time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	gaps := map[string]time.Duration{}
	longest := time.Duration(0)
	for until := w.now + duration; w.now < until; {
		w.runUntil(w.now + step)
		for _, name := range w.names {
			gaps[name] += step
			if w.nodes[name].machine == nil || w.serves(name) {
				gaps[name] = 0
			}
			longest = max(longest, gaps[name])
		}
	}
	return longest
}

func (w *network) expectCertain(lost []string, seed uint64) {
	for _, pair := range lo.CrossJoin2(lo.Without(w.names, lost...), lost) {
		machine, dead := w.nodes[pair.A].machine, member.ID(pair.B)
		Expect(machine.CertainlyFenced(dead)).To(BeTrue(), "seed %d: %s of %s", seed, pair.A, dead)
		Expect(machine.Alive(dead)).To(BeFalse())
	}
}

func randomFleet(seed uint64) *network {
	w := newNetwork(seed)
	w.clocksGoBack = seed%5 == 4
	w.startFleet(3+int(seed%6), 3)
	for _, name := range w.names {
		w.nodes[name].rate = 0.96 + 0.08*w.random.Float64()
	}
	w.runUntil(3 * time.Second)
	w.loss = []float64{0, 0.02, 0.2}[seed%3]
	w.duplicates = []float64{0, 0.1}[seed%2]
	w.jitter = []time.Duration{time.Millisecond, 80 * time.Millisecond, 700 * time.Millisecond}[seed/3%3]
	return w
}

// disturb lets faults come for a while.
func (w *network) disturb(duration time.Duration) {
	until := w.now + duration
	for w.now < until {
		w.runUntil(w.now + time.Duration(w.random.IntN(900))*time.Millisecond)
		w.fault(w.names[w.random.IntN(len(w.names))], w.names[w.random.IntN(len(w.names))])
	}
}

func (w *network) fault(name, other string) {
	n := w.nodes[name]
	switch w.random.IntN(12) {
	case 0:
		w.kill(name)
	case 1, 2:
		if n.machine == nil || n.left {
			w.start(name, w.names[:3]...)
		}
	case 3:
		w.start(name, w.names[:3]...)
	case 4:
		n.frozen = n.machine != nil
	case 5, 6:
		n.frozen = false
	case 7, 8:
		w.isolate(name, w.random.IntN(2) == 0)
	case 9:
		w.cut[oneWay{name, other}] = true
	case 10:
		clear(w.cut)
	case 11:
		if n.runs() && w.random.IntN(4) == 0 {
			w.leave(name)
		}
	}
}

// calm ends all faults and starts what doesn't run.
func (w *network) calm() {
	clear(w.cut)
	w.loss, w.duplicates, w.jitter = 0, 0, time.Millisecond
	for _, name := range w.names {
		n := w.nodes[name]
		n.frozen = false
		if n.machine == nil || n.left {
			w.start(name, w.names[:3]...)
		}
	}
}

func (w *network) expectAllServing(context string) {
	for _, n := range w.all {
		Expect(n.machine == nil || n.serves(w)).To(BeTrue(), "%s: %s", context, n.id)
	}
}
