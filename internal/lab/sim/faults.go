package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// faultKind is one way to disturb what surrounds the control machines. A fault
// must end by itself before the recovery phase.
type faultKind struct {
	name string
	// weight is how often the kind is drawn, relative to others.
	weight int
	start  func(*simulation)
}

// faultKinds are all kinds that are drawn by default.
var faultKinds = []faultKind{
	{"crash", 4, (*simulation).crashNode},
	{"crash-many", 3, (*simulation).crashMany},
	{"rolling-restart", 2, (*simulation).rollingRestart},
	{"disk-lost", 2, (*simulation).loseDisk},
	{"disk-lost-twice", 3, (*simulation).loseDiskTwice},
	{"disk-lost-after-ack", 3, (*simulation).loseDiskAfterAck},
	{"disks-lost-in-power-cut", 3, (*simulation).loseDisksAsPowerFails},
	{"majority-disk-loss", 3, (*simulation).loseMajority},
	{"slow-disk", 3, (*simulation).slowDisk},
	{"full-disk", 2, (*simulation).fullDisk},
	{"freeze", 4, (*simulation).freezeNode},
	{"freeze-leader", 4, (*simulation).freezeLeader},
	{"freeze-at-command", 4, (*simulation).freezeAtCommand},
	{"power-lost-after-ack", 3, (*simulation).losePowerAfterAck},
	{"clock-jump", 2, (*simulation).jumpClock},
	{"partition", 3, (*simulation).partition},
	{"one-way-partition", 3, (*simulation).partitionOneWay},
	{"core-split", 3, (*simulation).splitCore},
	{"zone-cut", 3, (*simulation).isolateZone},
	{"node-cut", 3, (*simulation).isolateNode},
	{"message-storm", 4, (*simulation).messageStorm},
	{"config-storm", 2, (*simulation).configStorm},
	{"weights-overtaken", 3, (*simulation).supersedeWeights},
	{"stuck-commands", 3, (*simulation).delayCommands},
	{"machine-replaced", 4, (*simulation).replaceUnplanned},
	{"machine-replaced-planned", 3, (*simulation).replacePlanned},
	{"two-machines-replaced", 3, (*simulation).replaceTwo},
	{"seeds-moved", 2, (*simulation).changeSeeds},
	{"relay-parent-lost", 4, (*simulation).loseRelayParent},
	{"replica-crash", 3, (*simulation).crashReplica},
	{"replica-listing", 3, (*simulation).drainOrRemoveReplica},
	{"platform-lag", 2, (*simulation).lagPlatform},
}

// Bounds of the schedule of faults.
const (
	minFaults   = 4
	faultSpread = 7
	// faultFreeEnd is the span before the recovery phase in which no fault
	// begins.
	faultFreeEnd = time.Second
)

// scheduleFaults schedules the faults of the run.
func (w *simulation) scheduleFaults() {
	kinds := w.applicableFaultKinds()
	weights := lo.SumBy(kinds, func(kind faultKind) int { return kind.weight })
	span := w.settings.recoveryPhaseStart() - formation - faultFreeEnd
	for range minFaults + w.plan.IntN(faultSpread) {
		kind := weightedKind(kinds, w.plan.IntN(weights))
		w.at(formation+w.planned(span), func() { w.startFault(kind) })
	}
	w.at(w.settings.recoveryPhaseStart(), w.endFaults)
}

// applicableFaultKinds returns the kinds that the run draws from.
func (w *simulation) applicableFaultKinds() []faultKind {
	if w.settings.FailOpen {
		return lo.Filter(selectedFaultKinds(w.settings.Faults, w.settings.FinishFirst), func(kind faultKind, _ int) bool {
			return !lo.Contains(configuredGroupFaults, kind.name)
		})
	}
	return lo.Filter(selectedFaultKinds(w.settings.Faults, w.settings.FinishFirst), func(kind faultKind, _ int) bool {
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

func (w *simulation) startFault(kind faultKind) {
	if w.majorityLost && !lo.Contains(faultsDuringMajorityLoss, kind.name) {
		return
	}
	w.counts.Faults[kind.name]++
	w.logf(worldColumn, "FAULT %s", kind.name)
	kind.start(w)
}

// faultDuration returns a random duration of at least shortest, cut short so that
// the fault ends before the recovery phase.
func (w *simulation) faultDuration(shortest, spread time.Duration) time.Duration {
	left := max(0, w.settings.recoveryPhaseStart()-w.now)
	return min(shortest+w.upTo(spread), left)
}

// endFaults restarts what is down at the beginning of the recovery phase.
func (w *simulation) endFaults() {
	w.logf(worldColumn, "CALM")
	w.freezeNextCommand = false
	for _, one := range w.nodes {
		one.start()
	}
	for _, entry := range w.platform.entries() {
		entry.replica.restart(entry.replica.lastVersion)
	}
}

// diskNodes returns the nodes with disks, which form the core.
func (w *simulation) diskNodes() []*node {
	return lo.Filter(w.nodes, func(one *node, _ int) bool { return one.storage != nil })
}

// restartAfter stops a node and starts it again after a time.
func (w *simulation) restartAfter(one *node, down time.Duration) {
	one.stop()
	w.after(down, one.start)
}

func (w *simulation) crashNode() {
	w.restartAfter(pick(w, w.nodes), w.faultDuration(100*time.Millisecond, 4*time.Second))
}

// crashMany stops random nodes at one instant, with a probability of one half all
// core nodes among them, as when the power fails.
func (w *simulation) crashMany() {
	victims := w.randomNodes()
	if w.chance(0.5) {
		victims = append(victims, w.diskNodes()...)
	}
	for _, one := range lo.Uniq(victims) {
		w.restartAfter(one, w.faultDuration(100*time.Millisecond, 3*time.Second))
	}
}

// randomNodes returns a random number of nodes, at least one.
func (w *simulation) randomNodes() []*node {
	order := w.random.Perm(len(w.nodes))
	count := 1 + w.random.IntN(len(w.nodes))
	return lo.Map(order[:count], func(position, _ int) *node { return w.nodes[position] })
}

// rollingRestart shuts the nodes down gracefully and starts them again, one after
// the other.
func (w *simulation) rollingRestart() {
	const between = 600 * time.Millisecond
	const leaveGrace = 200 * time.Millisecond
	for position, one := range w.nodes {
		start := time.Duration(position) * between
		if w.now+start+between > w.settings.recoveryPhaseStart() {
			return
		}
		w.after(start, func() {
			if one.removed || !one.up {
				return
			}
			one.post(one.process, one.machine.Leave)
			w.after(leaveGrace, func() { w.restartAfter(one, w.faultDuration(50*time.Millisecond, 300*time.Millisecond)) })
		})
	}
}

// freezeNode suspends a process for long without ending it.
func (w *simulation) freezeNode() {
	pick(w, w.nodes).freeze(w.faultDuration(3*time.Second, 17*time.Second))
}

// freezeLeader suspends a leader during a roll-out.
func (w *simulation) freezeLeader() {
	if leader := w.anyLeader(); leader != nil {
		w.operators.issue(w.operators.nameWeights(0, pick(w, poolNames)))
		w.after(w.upTo(2*time.Second), func() {
			leader.freeze(w.faultDuration(3*time.Second, 9*time.Second))
		})
	}
}

// freezeAtCommand suspends a leader between its decision to command a replica and
// the sending of the command.
func (w *simulation) freezeAtCommand() {
	w.freezeNextCommand = true
	w.operators.issue(w.operators.nameWeights(0, pick(w, poolNames)))
}

// anyLeader returns a node that leads a random shard, or nil.
func (w *simulation) anyLeader() *node {
	shard := w.random.IntN(int(w.serviceShards) + 1)
	for _, one := range w.diskNodes() {
		if one.up && one.machine.Status().GetShards()[shard].GetLeader() == string(one.info.ID) {
			return one
		}
	}
	return nil
}

// jumpClock moves a node's wall clock and restarts the node.
func (w *simulation) jumpClock() {
	const furthest = 2 * time.Hour
	victim := pick(w, w.nodes)
	victim.clock.wallOffset = w.upTo(2*furthest) - furthest
	w.restartAfter(victim, w.faultDuration(50*time.Millisecond, time.Second))
}

// messageStorm loses, duplicates and delays frames.
func (w *simulation) messageStorm() {
	active := &storm{
		loss:      0.3 * w.random.Float64(),
		duplicate: 0.3 * w.random.Float64(),
		delay:     w.upTo(400 * time.Millisecond),
	}
	w.network.storms = append(w.network.storms, active)
	w.after(w.faultDuration(time.Second, 6*time.Second), func() {
		w.network.storms = lo.Without(w.network.storms, active)
	})
}

func (w *simulation) partition() {
	side := w.randomNodes()
	w.partitionFor(side, lo.Without(w.nodes, side...), true)
}

func (w *simulation) partitionOneWay() {
	side := w.randomNodes()
	w.partitionFor(side, lo.Without(w.nodes, side...), false)
}

func (w *simulation) isolateZone() {
	zone := pick(w, w.nodes).info.Zone
	inside := lo.Filter(w.nodes, func(one *node, _ int) bool { return one.info.Zone == zone })
	w.partitionFor(inside, lo.Without(w.nodes, inside...), true)
}

func (w *simulation) isolateNode() {
	victim := []*node{pick(w, w.nodes)}
	w.partitionFor(victim, w.nodes, w.chance(0.5))
}

// partitionFor blocks the links from one side to the other, and back if both is
// set, for a random time.
func (w *simulation) partitionFor(from, to []*node, both bool) {
	w.network.changeBlocked(from, to, 1)
	if both {
		w.network.changeBlocked(to, from, 1)
	}
	w.after(w.faultDuration(300*time.Millisecond, 8*time.Second), func() {
		w.network.changeBlocked(from, to, -1)
		if both {
			w.network.changeBlocked(to, from, -1)
		}
	})
}

// configStorm issues many orders within a second.
func (w *simulation) configStorm() {
	const orders = 25
	for range orders {
		w.after(w.upTo(time.Second), func() { w.operators.issue(w.operators.randomOrder(0)) })
	}
}

// supersedeWeights names weights several times before they run everywhere.
func (w *simulation) supersedeWeights() {
	const namings = 4
	pool := pick(w, poolNames)
	for range namings {
		w.after(w.upTo(6*time.Second), func() { w.operators.issue(w.operators.nameWeights(0, pool)) })
	}
}
