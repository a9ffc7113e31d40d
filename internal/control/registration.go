package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/recovery"
	"github.com/ridgeswitch/ridgeswitch/internal/control/registration"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// localRegistration owns this node's registrations with the leaders of shards.
type localRegistration struct {
	// failOpen means that the node goes on serving while partitioned, and therefore serves
	// without a registration.
	failOpen bool
	members  *memberTable
	outbox   *outbox
	recovery *recovery.Machine
	views    *viewRefresher
	client   *registration.Client
}

// tick asks the leaders to register this node. A fenced node does not ask, because it must
// take a new incarnation first.
func (r *localRegistration) tick(now time.Duration) {
	if !r.failOpen && !r.members.Fenced(now) {
		r.client.Tick(now, r.members.incarnation())
	}
}

// receiveReply handles the reply to a registration.
func (r *localRegistration) receiveReply(now time.Duration, from member.ID, message protocol.Message) {
	result := r.client.ReceiveReply(now, from, message, r.members.incarnation())
	if result.LaterIncarnation != 0 {
		r.outbox.sendMembership(r.members.AdvanceIncarnationPast(now, result.LaterIncarnation))
	}
	r.recovery.ObserveTerm(message.Shard, result.Term)
	if result.Changed {
		r.views.invalidate()
	}
}

// registered reports whether this node may serve with the state of a shard.
func (r *localRegistration) registered(shardID uint32) bool {
	return r.failOpen || r.client.Registered(shardID, r.members.incarnation())
}

// forgetEndedNode proposes that a shard which this node leads drops a registered incarnation
// that has ended, so that no later leader waits for its confirmations.
func (m *Machine) forgetEndedNode(shard hostedShard) {
	now := m.clock.now
	if ended := m.registrar.Prune(now, shard, m.members); ended != nil {
		shard.ProposeCommand(now, &controlpb.Command{Command: &controlpb.Command_ForgetNode{ForgetNode: ended}})
	}
}
