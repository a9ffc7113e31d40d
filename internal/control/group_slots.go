package control

import "github.com/ridgeswitch/ridgeswitch/pkg/replication"

// GroupSlots tells who holds a shard and has a vote in it, as far as this node's
// copy of the shard knows. It is false when this node leads no copy in which the
// last change of the group is final, so that it cannot tell.
func (m *Machine) GroupSlots(shardID uint32) ([]replication.Slot, bool) {
	hosted := m.shards[shardID]
	if hosted == nil {
		return nil, false
	}
	status := hosted.group.Status()
	if status.Role != replication.RoleLeader || status.ChangeIndex > status.Commit {
		return nil, false
	}
	return status.Slots, true
}
