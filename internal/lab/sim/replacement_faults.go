package sim

import (
	"time"

	"github.com/samber/lo"
)

// replacementFaults replace machines by others, and move the seeds. Deployments
// with a configured group know none of them.
type replacementFaults struct {
	env      *environment
	machines *machines
	groups   *shardGroups
}

// candidates returns the core machines that are not about to leave, and without
// any one of which a majority of the voters of every shard stays healthy.
func (f *replacementFaults) candidates() []*node {
	return f.groups.expendable(func(one *node) bool { return !one.leaving })
}

// exchange removes a machine, and adds another one soon after.
func (f *replacementFaults) exchange(victim *node) {
	zone := victim.info.Zone
	if len(f.machines.all) >= f.machines.capacity() {
		return
	}
	f.machines.remove(victim)
	f.env.after(f.env.faultDuration(300*time.Millisecond, 2*time.Second), func() {
		if added := f.machines.add(zone); added != nil {
			added.start()
		}
	})
}

// replaceUnplanned loses a machine, which another one replaces.
func (f *replacementFaults) replaceUnplanned() {
	if victims := f.candidates(); len(victims) > 0 {
		f.exchange(pick(f.env.randomness, victims))
	}
}

// replaceTwo loses two machines within the time in which the first one's
// successor becomes a voter, as long as a majority of the voters stays healthy.
func (f *replacementFaults) replaceTwo() {
	f.replaceUnplanned()
	f.env.after(f.env.upTo(min(promotionBound, f.env.settings.recoveryPhaseStart()-f.env.now)), f.replaceUnplanned)
}

// replacePlanned adds a machine, and removes another one once the new one is a
// voter.
func (f *replacementFaults) replacePlanned() {
	const pollInterval = 50 * time.Millisecond
	const timeout = 8 * time.Second
	victims := f.candidates()
	if len(victims) == 0 {
		return
	}
	victim := pick(f.env.randomness, victims)
	added := f.machines.add(victim.info.Zone)
	if added == nil {
		return
	}
	added.start()
	deadline := min(f.env.now+timeout, f.env.settings.recoveryPhaseStart()-time.Second)
	removeOnceReplaced := func() bool {
		switch {
		case f.env.now >= deadline || victim.removed:
		case f.groups.isVoterEverywhere(added) && f.groups.canLose(victim):
			f.shutDownThen(victim, func() { f.machines.remove(victim) })
		default:
			return false
		}
		return true
	}
	f.env.after(pollInterval, func() { f.env.poll(pollInterval, removeOnceReplaced) })
}

// shutDownThen shuts a node down, in most runs gracefully, and then runs what
// follows.
func (f *replacementFaults) shutDownThen(one *node, then func()) {
	one.leaving = true
	if !one.up || f.env.chance(0.3) {
		then()
		return
	}
	one.post(one.process, one.machine.Leave)
	f.env.after(leaveGrace, then)
}

// moveSeeds names other core nodes as seeds, in some runs also an address at
// which no node listens.
func (f *replacementFaults) moveSeeds() {
	disks := lo.Map(f.machines.withDisks(), func(one *node, _ int) string { return one.info.Address })
	f.env.random.Shuffle(len(disks), func(i, j int) { disks[i], disks[j] = disks[j], disks[i] })
	f.machines.seeds = disks[:min(maxSeeds, len(disks))]
	if f.env.chance(0.3) {
		f.machines.seeds[0] = deadSeed
	}
	f.machines.distributeSeeds()
}
