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

// The methods of this file read the machine and change nothing. Like inputs, they belong to
// the goroutine that owns it, unless they say that they are safe for concurrent use.

// Self describes this node. It is safe for concurrent use, as it never changes.
func (m *Machine) Self() member.Info { return m.config.Self }

// OrderIDPrefix begins the identities of orders that this process makes up. It is
// safe for concurrent use, as it never changes.
func (m *Machine) OrderIDPrefix() string {
	return fmt.Sprintf("node/%s/%d/", m.config.Self.ID, m.config.Self.Incarnation)
}

// Now returns the time of the last input.
func (m *Machine) Now() time.Duration { return m.clock.now }

// ServeUntil is the instant until which this node may admit traffic if nothing
// else is heard; zero while it may not admit any.
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

// Prepared reports whether this node can serve what the configuration promises: it
// knows the back ends and, where nodes drain replicas, is registered with the shard of
// every pool (see view.Builder).
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

// Configuration returns the newest configuration that reached this node; read
// only.
func (m *Machine) Configuration() *ridgeswitchv1.Configuration {
	return m.states.received.Configuration()
}

// Rollouts returns how far the weights that were named for pools have come, by the newest
// view; read only, and until the next input.
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

// ReadsEndpoints reports whether this node reads the platform's list for the others.
func (m *Machine) ReadsEndpoints() bool { return m.endpoints.machine.Reads() }

// GroupSlots returns the slots of a shard's group, as far as this node's copy of the shard
// knows. It is false when this node leads no copy in which the last change of the group is
// final, so that it cannot tell.
func (m *Machine) GroupSlots(shardID uint32) ([]replication.Slot, bool) {
	return m.shards.slots(shardID)
}

// BadEntries counts the log entries, of all shards, that could not be decoded or
// encoded since the start.
func (m *Machine) BadEntries() uint64 { return m.shards.badEntries() }

// FenceCount counts how often this node has been fenced since its start.
func (m *Machine) FenceCount() uint64 { return m.members.FenceCount() }

// Members returns the records of the table of members; read only, and until the next
// input.
func (m *Machine) Members() []membership.Record { return m.members.Records() }

// TableDigest summarises the table of members: nodes that hold the same records have
// the same.
func (m *Machine) TableDigest() uint64 { return m.members.Digest() }

// LivePeers returns the live nodes, this one included, sorted by ID.
func (m *Machine) LivePeers() []member.Info { return m.members.livePeers() }

// PeersDigest changes whenever LivePeers may have changed. It follows the table of
// members as it was refreshed last, so that a large table which changes with nearly
// every message does not have the peers listed anew each time.
func (m *Machine) PeersDigest() uint64 { return m.members.digest }

// CoreNodeAddresses lists the internal addresses of the other live nodes with disks,
// sorted by node.
func (m *Machine) CoreNodeAddresses() []string { return m.members.coreNodeAddresses() }

// ZoneOf returns the zone of a node, or "" while it is unknown.
func (m *Machine) ZoneOf(id member.ID) string { return m.members.zones[id] }

// StorageLimits returns what bounds control state on this node.
func (m *Machine) StorageLimits() storagelimit.Limits { return m.config.limits() }

// ConfigurationBytes returns the size of the configuration in force with its document, as
// far as this node holds them.
func (m *Machine) ConfigurationBytes() int {
	size := proto.Size(m.Configuration())
	if shard, hosted := m.shards.find(ConfigurationShard); hosted {
		if state, ok := shard.State().(*shardstate.Configuration); ok {
			size += proto.Size(state.Source())
		}
	}
	return size
}
