package sim

import (
	"time"

	"github.com/samber/lo"
)

// splitRaces is the number of pairs of changes that race during one split.
const splitRaces = 3

// splitCore partitions the core into two halves, while all other nodes and the
// operators reach both, and has operators race across the partition.
func (f *faultInjector) splitCore() {
	disks := f.world.diskNodes()
	f.world.random.Shuffle(len(disks), func(i, j int) { disks[i], disks[j] = disks[j], disks[i] })
	one, other := disks[:len(disks)/2], disks[len(disks)/2:]
	f.partitionFor(one, other, true)
	for range splitRaces {
		f.world.after(f.world.upTo(4*time.Second), func() { f.raceAcross(one, other) })
	}
}

// raceAcross issues two changes on the same base, one on each side of a
// partition, and reads on both sides.
func (f *faultInjector) raceAcross(sides ...[]*node) {
	if f.world.inRecoveryPhase() {
		return
	}
	base, read := f.world.operators.readRevision(), f.world.operators.readConfiguration()
	for _, side := range sides {
		running := lo.Filter(side, func(one *node, _ int) bool { return one.up })
		if len(running) == 0 {
			continue
		}
		order := f.world.operators.randomChange(base)
		if f.world.settings.FailOpen {
			order = f.world.operators.changedDocumentOrder(read)
		}
		target := pick(f.world, running)
		f.world.operators.issueAt(target, order)
		f.world.after(f.world.upTo(time.Second), func() {
			f.world.readConfigurationAt(target)
			f.world.readDocumentAt(target)
		})
	}
}
