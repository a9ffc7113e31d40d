package sim

import (
	"time"

	"github.com/samber/lo"
)

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
