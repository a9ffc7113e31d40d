package sim

import "time"

// endpointFaultKinds are the faults of the endpoint list and of the node that
// reads it. Runs on the product's own protocols draw them only by name.
var endpointFaultKinds = []faultKind{
	{"reader-crash", 4, (*simulation).crashReader},
	{"reader-freeze", 4, (*simulation).freezeReader},
	{"reader-cut", 4, (*simulation).isolateReader},
	{"platform-down", 2, (*simulation).stopPlatform},
}

// maxReaderFaultDelay bounds the time from a replica's removal to the reader's
// fault.
const maxReaderFaultDelay = 500 * time.Millisecond

// reader returns the node that reads the endpoint list, or a random node if none
// does.
func (w *simulation) reader() *node {
	for _, one := range w.nodes {
		if one.up && !one.frozen && one.machine.ReadsEndpoints() {
			return one
		}
	}
	return pick(w, w.nodes)
}

// crashReader stops the reader at about the time when a replica leaves the list.
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

// stopPlatform has every read of the list fail for a while.
func (w *simulation) stopPlatform() {
	w.platform.down++
	w.logf(worldColumn, "platform down")
	w.after(w.faultDuration(time.Second, 6*time.Second), func() {
		w.platform.down--
		w.platform.backAt = w.now
		w.logf(worldColumn, "platform back")
	})
}
