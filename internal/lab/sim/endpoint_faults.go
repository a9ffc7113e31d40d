package sim

import "time"

// endpointFaultKinds are what befalls the reader of the platform's list, and the list.
// Runs on the product's own protocols choose them only by name.
var endpointFaultKinds = []faultKind{
	{"reader-crash", 4, (*simulation).crashReader},
	{"reader-freeze", 4, (*simulation).freezeReader},
	{"reader-cut", 4, (*simulation).isolateReader},
	{"platform-down", 2, (*simulation).stopPlatform},
}

// maxReaderFaultDelay is how long before the fault's effect a replica may leave the list.
const maxReaderFaultDelay = 500 * time.Millisecond

// reader returns a node that reads the list, or any node if none does.
func (w *simulation) reader() *node {
	for _, one := range w.nodes {
		if one.up && !one.frozen && one.machine.ReadsEndpoints() {
			return one
		}
	}
	return pick(w, w.nodes)
}

// crashReader ends the reader about when a replica leaves the list.
func (w *simulation) crashReader() {
	w.drainOrRemoveReplica()
	w.after(w.upTo(maxReaderFaultDelay), func() {
		w.restartAfter(w.reader(), w.faultDuration(100*time.Millisecond, 6*time.Second))
	})
}

func (w *simulation) freezeReader() {
	w.drainOrRemoveReplica()
	w.after(w.upTo(maxReaderFaultDelay), func() { w.reader().freeze(w.faultDuration(time.Second, 9*time.Second)) })
}

func (w *simulation) isolateReader() {
	w.drainOrRemoveReplica()
	w.after(w.upTo(maxReaderFaultDelay), func() { w.partitionFor([]*node{w.reader()}, w.nodes, w.chance(0.5)) })
}

// stopPlatform has every reading fail for a while.
func (w *simulation) stopPlatform() {
	w.platform.down++
	w.logf(worldColumn, "platform down")
	w.after(w.faultDuration(time.Second, 6*time.Second), func() {
		w.platform.down--
		w.platform.backAt = w.now
		w.logf(worldColumn, "platform back")
	})
}
