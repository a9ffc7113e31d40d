package control

import (
	"fmt"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// groupOf returns those that hold a shard, as far as this node can tell, in the
// order in which they own it.
func (m *Machine) groupOf(shardID uint32) []member.ID {
	if !m.config.Seeded {
		return m.config.GroupOfShard(shardID)
	}
	var group []member.ID
	if hosted := m.shards[shardID]; hosted != nil {
		for _, place := range hosted.group.Status().Slots {
			group = append(group, place.ID)
		}
	}
	for _, id := range m.coreNodes {
		if !contains(group, id) {
			group = append(group, id)
		}
	}
	return group
}

// hosts tells whether this node holds a copy of a shard. Where nodes with disks
// find each other through seeds, each of them holds all shards, and the replicas
// of a group are those that its log tells of.
func (c Config) hosts(shardID uint32) bool {
	if !c.Self.HoldsState {
		return false
	}
	return c.Seeded || contains(c.GroupOfShard(shardID), c.Self.ID)
}

// foundersOf returns the founding voters of a shard's group.
func (c Config) foundersOf(shardID uint32) []member.ID {
	if c.Seeded {
		return slices.Clone(c.Group)
	}
	return c.GroupOfShard(shardID)
}

// maxVoters bounds how far the leader lets a group grow; zero is the default.
func (c Config) maxVoters() int {
	if c.Seeded {
		return seededMaxVoters
	}
	return 0
}

// followCoreNodes passes on which nodes with disks there are.
func (m *Machine) followCoreNodes(records []membership.Record) {
	m.coreNodes = nil
	var peers []replication.Peer
	for _, record := range records {
		if !record.Info.HoldsState {
			continue
		}
		if isLive(record) {
			m.coreNodes = append(m.coreNodes, record.Info.ID)
		}
		if left := record.State == membership.StateLeft; left || isLive(record) {
			peers = append(peers, replication.Peer{ID: record.Info.ID, Left: left})
		}
	}
	if !m.config.Seeded {
		return
	}
	for _, id := range m.shardIDs {
		if hosted := m.shards[id]; hosted != nil {
			hosted.group.SetPeers(m.now, peers)
		}
	}
}

// CoreNodeAddresses lists the internal addresses of the other live nodes with disks,
// sorted by node.
func (m *Machine) CoreNodeAddresses() []string {
	var addresses []string
	for _, id := range m.coreNodes {
		if id != m.config.Self.ID {
			addresses = append(addresses, m.addressOf(id))
		}
	}
	return addresses
}

// OrderIDPrefix begins the identities of orders that this process makes up. It is
// safe for concurrent use, as it never changes.
func (m *Machine) OrderIDPrefix() string {
	return fmt.Sprintf("node/%s/%d/", m.config.Self.ID, m.config.Self.Incarnation)
}

// followLeaders names the leader of each shard, as far as it is known, as the root
// from which its states spread.
func (m *Machine) followLeaders() {
	if !m.config.Seeded {
		return
	}
	for _, id := range m.shardIDs {
		if leader := m.leaders.Guess(id); leader != "" {
			m.relay.SetRoot(relaytree.Topic(id), leader)
		}
	}
}

// reachable tells whether a node is this one or is alive in the table.
func (m *Machine) reachable(id member.ID) bool {
	return id == m.config.Self.ID || m.members.Alive(id)
}
