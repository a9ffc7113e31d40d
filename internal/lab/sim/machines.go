package sim

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

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

// move gives a node another address. Seeds that name the old one are then dead.
func (w *simulation) move(victim *node) {
	delete(w.byAddress, victim.info.Address)
	victim.info.Address = string(victim.info.ID) + ":7101"
	w.byAddress[victim.info.Address] = victim
}

// newDiskIncarnation returns the incarnation of a disk that is found empty.
func (w *simulation) newDiskIncarnation() uint64 { return uint64(wallEpoch + w.now.Milliseconds()) }

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
