package sim

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// Deployments whose nodes with disks find each other through three seeds, and
// whose nodes go on serving while they are cut off.

const (
	// failOpenContact is how long a node that fell silent counts as in contact.
	failOpenContact = 3 * time.Second
	// failOpenAcknowledge bounds the wait for an acknowledgement.
	failOpenAcknowledge = 4 * time.Second
	// slowHeartbeat and slowTick are the periods of nodes that save work while
	// they are idle.
	slowHeartbeat = 250 * time.Millisecond
	slowTick      = 50 * time.Millisecond
	// RecoveryBound is how long a deployment may take to serve again after all
	// its nodes went down at once.
	RecoveryBound = 12 * time.Second
	// promotionBound is how long a new machine may take to become a voter.
	promotionBound = 4 * time.Second
	// maxReplacements bounds the machines that a run adds.
	maxReplacements = 12
)

// enableFailOpen identifies the node by its address.
func (n *node) enableFailOpen() {
	n.info.ID = member.ID(n.info.Address)
	if n.world.settings.Seed%2 == 0 {
		n.tickEvery = slowTick
	}
}

// chooseFounders chooses the seeds, and founds the replica groups with the nodes
// there.
func (w *simulation) chooseFounders() {
	disks := w.diskNodes()
	for _, one := range disks[:min(maxSeeds, len(disks))] {
		w.seeds = append(w.seeds, one.info.Address)
	}
	founders := lo.Map(slices.Sorted(slices.Values(w.seeds)), func(seed string, _ int) member.ID { return member.ID(seed) })
	for _, one := range disks {
		if slices.Contains(w.seeds, one.info.Address) {
			one.storage.founders = founders
			continue
		}
		one.storage.incarnation = w.newDiskIncarnation() + uint64(one.index)
	}
}

// applyFailOpen completes the configuration of a control machine in a fail-open
// deployment.
func (n *node) applyFailOpen(config *control.Config) {
	config.Seeded = true
	config.FailOpen = true
	config.Group = nil
	config.GroupZones = nil
	config.Times = control.FailOpenTimes(failOpenContact, failOpenAcknowledge)
	if n.tickEvery == slowTick {
		config.Times.HeartbeatEvery = slowHeartbeat
	}
	if n.storage != nil {
		config.Group = n.storage.founders
		config.Seeds = lo.Uniq(slices.Concat(n.seeds, n.storage.addresses))
	}
}

// saveAddresses keeps in the data folder where other core nodes listen.
func (n *node) saveAddresses() {
	if n.storage == nil || !n.world.settings.FailOpen {
		return
	}
	if known := n.machine.CoreNodeAddresses(); len(known) > 0 {
		n.storage.addresses = known
	}
}

// addMachine adds a new machine with an empty disk. It returns nil if the run has
// added maxReplacements already.
func (w *simulation) addMachine(zone string) *node {
	if len(w.everyNode) >= len(w.network.blocked) {
		return nil
	}
	w.addNode(len(w.everyNode), true, zone)
	added := w.nodes[len(w.nodes)-1]
	added.storage.incarnation = w.newDiskIncarnation()
	added.logf("added")
	return added
}

// addedDuringRun reports whether a machine was added during the run.
func (w *simulation) addedDuringRun(id member.ID) bool {
	first := len(w.network.blocked) - maxReplacements
	return lo.ContainsBy(w.everyNode[first:], func(one *node) bool { return one.info.ID == id })
}

// removeMachine removes a machine for good.
func (w *simulation) removeMachine(victim *node) {
	victim.stop()
	victim.removed = true
	victim.logf("gone")
	w.nodes = lo.Without(w.nodes, victim)
	delete(w.byAddress, victim.info.Address)
	w.connectivity.recordDisturbance(victim)
	w.after(seedLag, w.updateSeeds)
}

// seedLag is how long the seeds in the settings lag behind the machines.
const seedLag = 3 * time.Second

// updateSeeds replaces the seeds in the settings whose machines are gone. Some
// running nodes reload them.
func (w *simulation) updateSeeds() {
	disks := lo.Map(w.diskNodes(), func(one *node, _ int) string { return one.info.Address })
	w.seeds = lo.Intersect(w.seeds, disks)
	for _, address := range disks {
		if len(w.seeds) < maxSeeds && !slices.Contains(w.seeds, address) {
			w.seeds = append(w.seeds, address)
		}
	}
	w.distributeSeeds()
}

func (w *simulation) distributeSeeds() {
	seeds := slices.Clone(w.seeds)
	for _, one := range w.nodes {
		if w.chance(0.5) {
			one.seeds = seeds
			one.post(one.process, func(now time.Duration) control.Output { return one.machine.SetSeeds(now, seeds) })
		}
	}
}

// replaceableMachines returns the core machines that are not about to leave, and
// without any one of which a majority of the voters of every shard stays healthy.
func (f *faultInjector) replaceableMachines() []*node {
	return lo.Filter(f.world.diskNodes(), func(one *node, _ int) bool { return !one.leaving && f.canLose(one) })
}

// replaceOrWipe replaces a machine by another one, or takes its disk alone.
func (f *faultInjector) replaceOrWipe(victim *node) {
	if f.world.chance(0.5) {
		f.replaceMachineAt(victim, false)
		return
	}
	f.exchangeMachine(victim)
}

// exchangeMachine removes a machine, and adds another one soon after.
func (f *faultInjector) exchangeMachine(victim *node) {
	zone := victim.info.Zone
	if len(f.world.everyNode) >= len(f.world.network.blocked) {
		return
	}
	f.world.removeMachine(victim)
	f.world.after(f.duration(300*time.Millisecond, 2*time.Second), func() {
		if added := f.world.addMachine(zone); added != nil {
			added.start()
		}
	})
}

// replaceUnplanned loses a machine, which another one replaces.
func (f *faultInjector) replaceUnplanned() {
	if victims := f.replaceableMachines(); len(victims) > 0 {
		f.exchangeMachine(pick(f.world, victims))
	}
}

// replaceTwo loses two machines within the time in which the first one's
// successor becomes a voter, as long as a majority of the voters stays healthy.
func (f *faultInjector) replaceTwo() {
	f.replaceUnplanned()
	f.world.after(f.world.upTo(min(promotionBound, f.world.settings.recoveryPhaseStart()-f.world.now)), f.replaceUnplanned)
}

// replacePlanned adds a machine, and removes another one once the new one is a
// voter.
func (f *faultInjector) replacePlanned() {
	const pollInterval = 50 * time.Millisecond
	const timeout = 8 * time.Second
	victims := f.replaceableMachines()
	if len(victims) == 0 {
		return
	}
	victim := pick(f.world, victims)
	added := f.world.addMachine(victim.info.Zone)
	if added == nil {
		return
	}
	added.start()
	deadline := min(f.world.now+timeout, f.world.settings.recoveryPhaseStart()-time.Second)
	var poll func()
	poll = func() {
		switch {
		case f.world.now >= deadline || victim.removed:
		case f.world.isVoterEverywhere(added) && f.canLose(victim):
			f.shutDownThen(victim, func() { f.world.removeMachine(victim) })
		default:
			f.world.after(pollInterval, poll)
		}
	}
	f.world.after(pollInterval, poll)
}

// shutDownThen shuts a node down, in most runs gracefully, and then runs what
// follows.
func (f *faultInjector) shutDownThen(one *node, then func()) {
	const leaveGrace = 200 * time.Millisecond
	one.leaving = true
	if !one.up || f.world.chance(0.3) {
		then()
		return
	}
	one.post(one.process, one.machine.Leave)
	f.world.after(leaveGrace, then)
}

// isVoterEverywhere reports whether a node is a voter in every shard.
func (w *simulation) isVoterEverywhere(one *node) bool {
	for shard := range w.serviceShards + 1 {
		slots, known := w.memberSlots(shard)
		voter := replication.Voter{ID: one.info.ID, Incarnation: one.storage.incarnation}
		if !known || !lo.Contains(slots, replication.Slot{Voter: voter}) {
			return false
		}
	}
	return true
}

// changeSeeds names other core nodes as seeds, in some runs also an address at
// which no node listens.
func (f *faultInjector) changeSeeds() {
	disks := lo.Map(f.world.diskNodes(), func(one *node, _ int) string { return one.info.Address })
	f.world.random.Shuffle(len(disks), func(i, j int) { disks[i], disks[j] = disks[j], disks[i] })
	f.world.seeds = disks[:min(maxSeeds, len(disks))]
	if f.world.chance(0.3) {
		f.world.seeds[0] = "gone:7100"
	}
	f.world.distributeSeeds()
}

// loseRelayParent stops, suspends or isolates a node just before an order, so
// that its children in the relay tree have to get the new state elsewhere.
func (f *faultInjector) loseRelayParent() {
	victim := pick(f.world, f.world.nodes)
	switch f.world.random.IntN(3) {
	case 0:
		f.restartAfter(victim, f.duration(2*time.Second, 3*time.Second))
	case 1:
		victim.freeze(f.duration(2*time.Second, 3*time.Second))
	default:
		f.partitionFor([]*node{victim}, f.world.nodes, true)
	}
	f.world.after(f.world.upTo(200*time.Millisecond), func() { f.world.operators.issue(f.world.operators.addKey(0)) })
}

// configuredGroupFaults are the faults of deployments whose group is named, and
// seededGroupFaults those of deployments that find themselves through seeds.
var (
	configuredGroupFaults = []string{"majority-disk-loss"}
	seededGroupFaults     = []string{"machine-replaced", "machine-replaced-planned", "two-machines-replaced", "seeds-moved", "relay-parent-lost"}
)
