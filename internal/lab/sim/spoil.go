package sim

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// aheadBy is how far beyond its own revisions a node confirms when that is
// broken.
const aheadBy = 1 << 20

// spoil changes a received message, or acts on it, where a break asks for it.
func (n *node) spoil(envelope *wire.Envelope) {
	switch n.world.settings.Break {
	case BreakAckBeforeConfirm:
		confirmAhead(envelope.Control)
	case BreakRelayAcceptsOlder:
		n.goBack(envelope.Relay)
	case BreakNoWitnessFloor:
		n.ignoreWitnesses(envelope)
	case BreakAppendClaimed:
		n.claimAppended(envelope)
	default:
	}
}

// confirmAhead makes a confirmation claim more than its sender serves.
func confirmAhead(message *protocol.Message) {
	if message == nil || message.Type != protocol.MessageConfirm {
		return
	}
	for position := range message.Revisions {
		if message.Revisions[position].Shard == control.ConfigurationShard {
			message.Revisions[position].Revision += aheadBy
		}
	}
}

// goBack puts the view of an older revision in force when one arrives.
func (n *node) goBack(message *relaytree.Message) {
	if message == nil || message.Type != relaytree.MessageUpdate || message.Topic != relaytree.Topic(control.ConfigurationShard) {
		return
	}
	older, known := n.views[message.Revision]
	if known && n.view != nil && message.Revision < n.view.Revision {
		n.view = older
		n.note("back to r%d", older.Revision)
	}
}

// noteAppended remembers how far the entries reach that a leader has sent.
func (n *node) noteAppended(envelope wire.Envelope) {
	message := envelope.Replication
	if message == nil || message.Type != replication.MessageAppend {
		return
	}
	n.appended[envelope.Shard] = max(n.appended[envelope.Shard], message.Index+uint64(len(message.Entries)))
}

// claimAppended makes the reply of a machine that came later claim all that this
// leader has sent.
func (n *node) claimAppended(envelope *wire.Envelope) {
	message := envelope.Replication
	if message == nil || message.Type != replication.MessageAppendReply || !n.world.cameLater(envelope.From) {
		return
	}
	message.Reject = false
	message.Index = max(message.Index, n.appended[envelope.Shard])
}

// ignoreWitnesses keeps the state of witnesses from a node with a disk while the
// groups are to be formed anew.
func (n *node) ignoreWitnesses(envelope *wire.Envelope) {
	// Long enough for a member that has a log to form the groups anew.
	const blind = 8 * time.Second
	if n.storage == nil || !n.world.majorityLost || n.world.now > n.world.majorityLostAt+blind {
		return
	}
	if message := envelope.Relay; message != nil && message.Type == relaytree.MessageUpdate {
		envelope.Relay = &relaytree.Message{}
	}
	if message := envelope.Control; message != nil && message.Type == protocol.MessageWitnessReply {
		message.Revision = 0
	}
}

// probes tells whether this node looks for members that it may have lost with a
// message: with a digest of its table, or by asking a seed although it serves already.
func (n *node) probes(envelope wire.Envelope) bool {
	message := envelope.Membership
	if message == nil {
		return false
	}
	digest := message.Type == membership.MessageGossip && len(message.Records) == 0
	return digest || message.Type == membership.MessageJoin && n.view != nil
}
