package sim

import "time"

// maxReaderFaultDelay bounds the time from a replica's removal to the reader's
// fault.
const maxReaderFaultDelay = 500 * time.Millisecond

// endpointFaults disturb the node that reads the endpoint list at about the time
// when a replica leaves it, or have all reads fail.
type endpointFaults struct {
	env      *environment
	machines *machines
	platform *platform
	backends *backendFaults
	network  *networkFaults
}

// reader returns the node that reads the endpoint list, or a random node if none
// does.
func (f *endpointFaults) reader() *node {
	for _, one := range f.machines.nodes {
		if one.up && !one.frozen && one.machine.ReadsEndpoints() {
			return one
		}
	}
	return pick(f.env.randomness, f.machines.nodes)
}

// disturbReader has a replica leave the list, and the reader disturbed soon after.
func (f *endpointFaults) disturbReader(disturb func(reader *node)) {
	f.backends.drainOrRemoveReplica()
	f.env.after(f.env.upTo(maxReaderFaultDelay), func() { disturb(f.reader()) })
}

func (f *endpointFaults) crashReader() {
	f.disturbReader(func(reader *node) {
		reader.restartAfter(f.env.faultDuration(100*time.Millisecond, 6*time.Second))
	})
}

func (f *endpointFaults) freezeReader() {
	f.disturbReader(func(reader *node) { reader.freeze(f.env.faultDuration(time.Second, 9*time.Second)) })
}

func (f *endpointFaults) isolateReader() {
	f.disturbReader(func(reader *node) {
		f.network.partitionFor([]*node{reader}, f.machines.nodes, f.env.chance(0.5))
	})
}

// stopPlatform has every read of the list fail for a while.
func (f *endpointFaults) stopPlatform() {
	f.platform.down++
	f.env.logf(worldColumn, "platform down")
	f.env.after(f.env.faultDuration(time.Second, 6*time.Second), func() {
		f.platform.down--
		f.platform.backAt = f.env.now
		f.env.logf(worldColumn, "platform back")
	})
}
