package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// faultInjector draws and starts the faults of a run, and owns what other parts of
// the simulation have to know of the active ones.
type faultInjector struct {
	world *simulation
	// delayedCommandFaults counts the active faults that delay commands.
	delayedCommandFaults int
	// majorityLost is set from the loss of a majority of the disks until the
	// replica groups have been formed again, majorityLostAt when it began.
	majorityLost   bool
	majorityLostAt time.Duration
	// freezeNextCommand suspends the next node that is about to send a command.
	freezeNextCommand bool
}

// faultKind is one way to disturb what surrounds the control machines. A fault
// must end by itself before the recovery phase.
type faultKind struct {
	name string
	// weight is how often the kind is drawn, relative to others.
	weight int
	start  func(*faultInjector)
}

// faultKinds are all kinds that are drawn by default.
var faultKinds = []faultKind{
	{"crash", 4, (*faultInjector).crashNode},
	{"crash-many", 3, (*faultInjector).crashMany},
	{"rolling-restart", 2, (*faultInjector).rollingRestart},
	{"disk-lost", 2, (*faultInjector).loseDisk},
	{"disk-lost-twice", 3, (*faultInjector).loseDiskTwice},
	{"disk-lost-after-ack", 3, (*faultInjector).loseDiskAfterAck},
	{"disks-lost-in-power-cut", 3, (*faultInjector).loseDisksAsPowerFails},
	{"majority-disk-loss", 3, (*faultInjector).loseMajority},
	{"slow-disk", 3, (*faultInjector).slowDisk},
	{"full-disk", 2, (*faultInjector).fullDisk},
	{"freeze", 4, (*faultInjector).freezeNode},
	{"freeze-leader", 4, (*faultInjector).freezeLeader},
	{"freeze-at-command", 4, (*faultInjector).freezeAtCommand},
	{"power-lost-after-ack", 3, (*faultInjector).losePowerAfterAck},
	{"clock-jump", 2, (*faultInjector).jumpClock},
	{"partition", 3, (*faultInjector).partition},
	{"one-way-partition", 3, (*faultInjector).partitionOneWay},
	{"core-split", 3, (*faultInjector).splitCore},
	{"zone-cut", 3, (*faultInjector).isolateZone},
	{"node-cut", 3, (*faultInjector).isolateNode},
	{"message-storm", 4, (*faultInjector).messageStorm},
	{"config-storm", 2, (*faultInjector).configStorm},
	{"weights-overtaken", 3, (*faultInjector).supersedeWeights},
	{"stuck-commands", 3, (*faultInjector).delayCommands},
	{"machine-replaced", 4, (*faultInjector).replaceUnplanned},
	{"machine-replaced-planned", 3, (*faultInjector).replacePlanned},
	{"two-machines-replaced", 3, (*faultInjector).replaceTwo},
	{"seeds-moved", 2, (*faultInjector).changeSeeds},
	{"relay-parent-lost", 4, (*faultInjector).loseRelayParent},
	{"replica-crash", 3, (*faultInjector).crashReplica},
	{"replica-listing", 3, (*faultInjector).drainOrRemoveReplica},
	{"platform-lag", 2, (*faultInjector).lagPlatform},
}

// Bounds of the schedule of faults.
const (
	minFaults   = 4
	faultSpread = 7
	// faultFreeEnd is the span before the recovery phase in which no fault
	// begins.
	faultFreeEnd = time.Second
)

// schedule schedules the faults of the run.
func (f *faultInjector) schedule() {
	kinds := f.applicableKinds()
	weights := lo.SumBy(kinds, func(kind faultKind) int { return kind.weight })
	span := f.world.settings.recoveryPhaseStart() - formation - faultFreeEnd
	for range minFaults + f.world.plan.IntN(faultSpread) {
		kind := weightedKind(kinds, f.world.plan.IntN(weights))
		f.world.at(formation+f.world.planned(span), func() { f.start(kind) })
	}
	f.world.at(f.world.settings.recoveryPhaseStart(), f.end)
}

// applicableKinds returns the kinds that the run draws from.
func (f *faultInjector) applicableKinds() []faultKind {
	if f.world.settings.FailOpen {
		return lo.Filter(selectedFaultKinds(f.world.settings.Faults, f.world.settings.FinishFirst), func(kind faultKind, _ int) bool {
			return !lo.Contains(configuredGroupFaults, kind.name)
		})
	}
	return lo.Filter(selectedFaultKinds(f.world.settings.Faults, f.world.settings.FinishFirst), func(kind faultKind, _ int) bool {
		return !lo.Contains(seededGroupFaults, kind.name)
	})
}

// selectedFaultKinds returns the kinds of the given names, or the default ones.
func selectedFaultKinds(names []string, finishFirst bool) []faultKind {
	all := faultKinds
	if finishFirst || len(names) > 0 {
		all = slices.Concat(faultKinds, endpointFaultKinds)
	}
	if len(names) == 0 {
		return all
	}
	return lo.Filter(all, func(kind faultKind, _ int) bool { return lo.Contains(names, kind.name) })
}

// weightedKind returns the kind to which a draw from the sum of all weights
// falls.
func weightedKind(kinds []faultKind, draw int) faultKind {
	position := 0
	for draw >= kinds[position].weight {
		draw -= kinds[position].weight
		position++
	}
	return kinds[position]
}

// FaultNames returns the names of all kinds of faults.
func FaultNames() []string {
	return lo.Map(slices.Concat(faultKinds, endpointFaultKinds), func(kind faultKind, _ int) string { return kind.name })
}

// UnknownFaultError reports that no kind of fault has the given name.
type UnknownFaultError struct {
	Name string
}

// Error names the kinds that exist.
func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("no kind of fault is named %q; use some of %s", e.Name, strings.Join(FaultNames(), ", "))
}

// CheckFaults returns an *UnknownFaultError for the first unknown name.
func CheckFaults(names []string) error {
	unknown := lo.Without(names, FaultNames()...)
	if len(unknown) > 0 {
		return &UnknownFaultError{Name: unknown[0]}
	}
	return nil
}

func (f *faultInjector) start(kind faultKind) {
	if f.majorityLost && !lo.Contains(faultsDuringMajorityLoss, kind.name) {
		return
	}
	f.world.counts.Faults[kind.name]++
	f.world.logf(worldColumn, "FAULT %s", kind.name)
	kind.start(f)
}

// duration returns a random duration of at least shortest, cut short so that
// the fault ends before the recovery phase.
func (f *faultInjector) duration(shortest, spread time.Duration) time.Duration {
	left := max(0, f.world.settings.recoveryPhaseStart()-f.world.now)
	return min(shortest+f.world.upTo(spread), left)
}

// end restarts what is down at the beginning of the recovery phase.
func (f *faultInjector) end() {
	f.world.logf(worldColumn, "CALM")
	f.freezeNextCommand = false
	for _, one := range f.world.nodes {
		one.start()
	}
	for _, entry := range f.world.platform.entries() {
		entry.replica.restart(entry.replica.lastVersion)
	}
}

// restartAfter stops a node and starts it again after a time.
func (f *faultInjector) restartAfter(one *node, down time.Duration) {
	one.stop()
	f.world.after(down, one.start)
}

func (f *faultInjector) crashNode() {
	f.restartAfter(pick(f.world, f.world.nodes), f.duration(100*time.Millisecond, 4*time.Second))
}

// crashMany stops random nodes at one instant, with a probability of one half all
// core nodes among them, as when the power fails.
func (f *faultInjector) crashMany() {
	victims := f.randomNodes()
	if f.world.chance(0.5) {
		victims = append(victims, f.world.diskNodes()...)
	}
	for _, one := range lo.Uniq(victims) {
		f.restartAfter(one, f.duration(100*time.Millisecond, 3*time.Second))
	}
}

// randomNodes returns a random number of nodes, at least one.
func (f *faultInjector) randomNodes() []*node {
	order := f.world.random.Perm(len(f.world.nodes))
	count := 1 + f.world.random.IntN(len(f.world.nodes))
	return lo.Map(order[:count], func(position, _ int) *node { return f.world.nodes[position] })
}

// rollingRestart shuts the nodes down gracefully and starts them again, one after
// the other.
func (f *faultInjector) rollingRestart() {
	const between = 600 * time.Millisecond
	const leaveGrace = 200 * time.Millisecond
	for position, one := range f.world.nodes {
		start := time.Duration(position) * between
		if f.world.now+start+between > f.world.settings.recoveryPhaseStart() {
			return
		}
		f.world.after(start, func() {
			if one.removed || !one.up {
				return
			}
			one.post(one.process, one.machine.Leave)
			f.world.after(leaveGrace, func() { f.restartAfter(one, f.duration(50*time.Millisecond, 300*time.Millisecond)) })
		})
	}
}

// freezeNode suspends a process for long without ending it.
func (f *faultInjector) freezeNode() {
	pick(f.world, f.world.nodes).freeze(f.duration(3*time.Second, 17*time.Second))
}

// freezeLeader suspends a leader during a roll-out.
func (f *faultInjector) freezeLeader() {
	if leader := f.world.anyLeader(); leader != nil {
		f.world.operators.issue(f.world.operators.nameWeights(0, pick(f.world, poolNames)))
		f.world.after(f.world.upTo(2*time.Second), func() {
			leader.freeze(f.duration(3*time.Second, 9*time.Second))
		})
	}
}

// freezeAtCommand suspends a leader between its decision to command a replica and
// the sending of the command.
func (f *faultInjector) freezeAtCommand() {
	f.freezeNextCommand = true
	f.world.operators.issue(f.world.operators.nameWeights(0, pick(f.world, poolNames)))
}

// jumpClock moves a node's wall clock and restarts the node.
func (f *faultInjector) jumpClock() {
	const furthest = 2 * time.Hour
	victim := pick(f.world, f.world.nodes)
	victim.clock.wallOffset = f.world.upTo(2*furthest) - furthest
	f.restartAfter(victim, f.duration(50*time.Millisecond, time.Second))
}

// messageStorm loses, duplicates and delays frames.
func (f *faultInjector) messageStorm() {
	active := &storm{
		loss:      0.3 * f.world.random.Float64(),
		duplicate: 0.3 * f.world.random.Float64(),
		delay:     f.world.upTo(400 * time.Millisecond),
	}
	f.world.network.storms = append(f.world.network.storms, active)
	f.world.after(f.duration(time.Second, 6*time.Second), func() {
		f.world.network.storms = lo.Without(f.world.network.storms, active)
	})
}

func (f *faultInjector) partition() {
	side := f.randomNodes()
	f.partitionFor(side, lo.Without(f.world.nodes, side...), true)
}

func (f *faultInjector) partitionOneWay() {
	side := f.randomNodes()
	f.partitionFor(side, lo.Without(f.world.nodes, side...), false)
}

func (f *faultInjector) isolateZone() {
	zone := pick(f.world, f.world.nodes).info.Zone
	inside := lo.Filter(f.world.nodes, func(one *node, _ int) bool { return one.info.Zone == zone })
	f.partitionFor(inside, lo.Without(f.world.nodes, inside...), true)
}

func (f *faultInjector) isolateNode() {
	victim := []*node{pick(f.world, f.world.nodes)}
	f.partitionFor(victim, f.world.nodes, f.world.chance(0.5))
}

// partitionFor blocks the links from one side to the other, and back if both is
// set, for a random time.
func (f *faultInjector) partitionFor(from, to []*node, both bool) {
	f.world.network.changeBlocked(from, to, 1)
	if both {
		f.world.network.changeBlocked(to, from, 1)
	}
	f.world.after(f.duration(300*time.Millisecond, 8*time.Second), func() {
		f.world.network.changeBlocked(from, to, -1)
		if both {
			f.world.network.changeBlocked(to, from, -1)
		}
	})
}

// configStorm issues many orders within a second.
func (f *faultInjector) configStorm() {
	const orders = 25
	for range orders {
		f.world.after(f.world.upTo(time.Second), func() { f.world.operators.issue(f.world.operators.randomOrder(0)) })
	}
}

// supersedeWeights names weights several times before they run everywhere.
func (f *faultInjector) supersedeWeights() {
	const namings = 4
	pool := pick(f.world, poolNames)
	for range namings {
		f.world.after(f.world.upTo(6*time.Second), func() { f.world.operators.issue(f.world.operators.nameWeights(0, pool)) })
	}
}
