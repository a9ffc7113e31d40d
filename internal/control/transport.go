package control

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// transport implements protocol.Transport for the machines of single concerns.
type transport struct{ machine *Machine }

// Send implements protocol.Transport.
func (t transport) Send(to member.ID, message protocol.Message) { t.machine.sendControl(to, message) }

// shardDirectory implements leaders.Shards.
type shardDirectory struct{ machine *Machine }

// HostedLeader implements leaders.Shards.
func (s shardDirectory) HostedLeader(shardID uint32) (member.ID, bool) {
	hosted := s.machine.shards[shardID]
	if hosted == nil {
		return "", false
	}
	return hosted.Group().Status().Leader, true
}

// Group implements leaders.Shards.
func (s shardDirectory) Group(shardID uint32) []member.ID { return s.machine.groupOf(shardID) }

// Reachable implements leaders.Shards.
func (s shardDirectory) Reachable(id member.ID) bool { return s.machine.members.reachable(id) }
