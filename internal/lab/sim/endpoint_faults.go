package sim

import "time"

// endpointFaultKinds are the faults of the endpoint list and of the node that
// reads it. Runs on the product's own protocols draw them only by name.
var endpointFaultKinds = []faultKind{
	{"reader-crash", 4, (*faultInjector).crashReader},
	{"reader-freeze", 4, (*faultInjector).freezeReader},
	{"reader-cut", 4, (*faultInjector).isolateReader},
	{"platform-down", 2, (*faultInjector).stopPlatform},
}

// maxReaderFaultDelay bounds the time from a replica's removal to the reader's
// fault.
const maxReaderFaultDelay = 500 * time.Millisecond

// reader returns the node that reads the endpoint list, or a random node if none
// does.
func (f *faultInjector) reader() *node {
	for _, one := range f.world.nodes {
		if one.up && !one.frozen && one.machine.ReadsEndpoints() {
			return one
		}
	}
	return pick(f.world, f.world.nodes)
}

// crashReader stops the reader at about the time when a replica leaves the list.
func (f *faultInjector) crashReader() {
	f.drainOrRemoveReplica()
	f.world.after(f.world.upTo(maxReaderFaultDelay), func() {
		f.restartAfter(f.reader(), f.duration(100*time.Millisecond, 6*time.Second))
	})
}

func (f *faultInjector) freezeReader() {
	f.drainOrRemoveReplica()
	f.world.after(f.world.upTo(maxReaderFaultDelay), func() { f.reader().freeze(f.duration(time.Second, 9*time.Second)) })
}

func (f *faultInjector) isolateReader() {
	f.drainOrRemoveReplica()
	f.world.after(f.world.upTo(maxReaderFaultDelay), func() { f.partitionFor([]*node{f.reader()}, f.world.nodes, f.world.chance(0.5)) })
}

// stopPlatform has every read of the list fail for a while.
func (f *faultInjector) stopPlatform() {
	f.world.platform.down++
	f.world.logf(worldColumn, "platform down")
	f.world.after(f.duration(time.Second, 6*time.Second), func() {
		f.world.platform.down--
		f.world.platform.backAt = f.world.now
		f.world.logf(worldColumn, "platform back")
	})
}
