package sim

import (
	"time"

	"github.com/samber/lo"
)

// splitRaces is the number of pairs of changes that race during one split.
const splitRaces = 3

// splitCore partitions the core into two halves, while all other nodes and the
// operators reach both, and has operators race across the partition.
func (w *simulation) splitCore() {
	disks := w.diskNodes()
	w.random.Shuffle(len(disks), func(i, j int) { disks[i], disks[j] = disks[j], disks[i] })
	one, other := disks[:len(disks)/2], disks[len(disks)/2:]
	w.partitionFor(one, other, true)
	for range splitRaces {
		w.after(w.upTo(4*time.Second), func() { w.raceAcross(one, other) })
	}
}

// raceAcross issues two changes on the same base, one on each side of a
// partition, and reads on both sides.
func (w *simulation) raceAcross(sides ...[]*node) {
	if w.inRecoveryPhase() {
		return
	}
	base, read := w.operators.readRevision(), w.operators.readConfiguration()
	for _, side := range sides {
		running := lo.Filter(side, func(one *node, _ int) bool { return one.up })
		if len(running) == 0 {
			continue
		}
		order := w.operators.randomChange(base)
		if w.settings.FailOpen {
			order = w.operators.changedDocumentOrder(read)
		}
		target := pick(w, running)
		w.operators.issueAt(target, order)
		w.after(w.upTo(time.Second), func() {
			w.readConfigurationAt(target)
			w.readDocumentAt(target)
		})
	}
}
