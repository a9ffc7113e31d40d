package control

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/control/storagelimit"
	"github.com/ridgeswitch/ridgeswitch/internal/control/view"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// The methods in this file read the machine and change nothing. Like inputs, they may be
// called only by the goroutine that owns the machine, unless their comment says that they are
// safe for concurrent use.

// Self describes this node. It is safe for concurrent use, as it never changes.
func (m *Machine) Self() member.Info { return m.config.Self }

// OrderIDPrefix returns the prefix of the order IDs that this process generates. It is safe
// for concurrent use, as it never changes.
func (m *Machine) OrderIDPrefix() string {
	return fmt.Sprintf("node/%s/%d/", m.config.Self.ID, m.config.Self.Incarnation)
}

// Now returns the time of the last input.
func (m *Machine) Now() time.Duration { return m.clock.now }

// ServeUntil returns the time until which this node may admit traffic if it receives no
// further messages; zero while it may not admit any.
func (m *Machine) ServeUntil() time.Duration {
	if m.config.FailOpen {
		if m.states.received.Revision(ConfigurationShard) == 0 {
			return 0
		}
		return membership.Never
	}
	now := m.clock.now
	if !m.registration.registered(ConfigurationShard) || m.members.Fenced(now) || !m.endpoints.freshness.usable(now) {
		return 0
	}
	return m.members.FenceDeadline()
}

// Prepared reports whether this node can serve all pools of the configuration: it has an
// endpoint list and, if nodes drain replicas (ReplicasFinishFirst is not set), it is
// registered with the shard of every pool (see view.Builder).
func (m *Machine) Prepared() bool {
	if !m.endpoints.inUse.known {
		return false
	}
	for _, pool := range m.Configuration().GetPools() {
		if !m.config.ReplicasFinishFirst && !m.registration.registered(shardstate.ShardOfService(pool.GetService(), m.config.ServiceShards)) {
			return false
		}
	}
	return true
}

// Configuration returns the newest configuration that reached this node. It is read only.
func (m *Machine) Configuration() *ridgeswitchv1.Configuration {
	return m.states.received.Configuration()
}

// Rollouts returns the progress of the roll-outs of the weight versions that are named for
// pools, as of the newest view. The result is read only and valid until the next input.
func (m *Machine) Rollouts() []view.RolloutProgress { return m.views.builder.Rollouts() }

// LedTerms returns the terms of the shards that this node leads.
func (m *Machine) LedTerms() map[uint32]uint64 {
	led := map[uint32]uint64{}
	for shard := range m.shards.all() {
		if shard.IsLeader() {
			led[shard.ID()] = shard.Term()
		}
	}
	return led
}

// ReadsEndpoints reports whether this node reads the platform's endpoint list for all nodes.
func (m *Machine) ReadsEndpoints() bool { return m.endpoints.machine.Reads() }

// GroupSlots returns the slots of a shard's group. It returns false unless this node leads
// the shard and the last change of the group is committed, because otherwise the slots are
// not known for certain.
func (m *Machine) GroupSlots(shardID uint32) ([]replication.Slot, bool) {
	return m.shards.slots(shardID)
}

// BadEntries returns the number of log entries, of all hosted shards, that could not be
// decoded or encoded since the start.
func (m *Machine) BadEntries() uint64 { return m.shards.badEntries() }

// FenceCount returns how often this node has been fenced since its start.
func (m *Machine) FenceCount() uint64 { return m.members.FenceCount() }

// Members returns the records of the table of members. They are read only and valid until
// the next input.
func (m *Machine) Members() []membership.Record { return m.members.Records() }

// TableDigest returns a digest of the table of members. Nodes that hold the same records
// have the same digest.
func (m *Machine) TableDigest() uint64 { return m.members.Digest() }

// LivePeers returns the live nodes, including this one, sorted by ID.
func (m *Machine) LivePeers() []member.Info { return m.members.livePeers() }

// PeersDigest returns a digest that changes whenever LivePeers may have changed. It is the
// digest of the table of members at its last refresh. Callers therefore don't list the peers
// after nearly every message while a large table changes that often.
func (m *Machine) PeersDigest() uint64 { return m.members.digest }

// CoreNodeAddresses returns the internal addresses of the other live nodes with disks,
// sorted by node ID.
func (m *Machine) CoreNodeAddresses() []string { return m.members.coreNodeAddresses() }

// ZoneOf returns the zone of a node, or "" while it is unknown.
func (m *Machine) ZoneOf(id member.ID) string { return m.members.zones[id] }

// StorageLimits returns the size limits of control state on this node.
func (m *Machine) StorageLimits() storagelimit.Limits { return m.config.limits() }

// ConfigurationBytes returns the encoded size of the newest configuration on this node, plus
// that of its source document if this node hosts the configuration shard.
func (m *Machine) ConfigurationBytes() int {
	size := proto.Size(m.Configuration())
	if shard, hosted := m.shards.find(ConfigurationShard); hosted {
		if state, ok := shard.State().(*shardstate.Configuration); ok {
			size += proto.Size(state.Source())
		}
	}
	return size
}
