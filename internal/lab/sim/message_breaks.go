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

// confirmationInflation is what is added to the confirmed revision where a node
// confirms more than it serves.
const confirmationInflation = 1 << 20

// applyBreak changes a received message, or acts on it, where the mechanism that
// is switched off requires that.
func (n *node) applyBreak(envelope *wire.Envelope) {
	switch n.world.settings.Break {
	case BreakAckBeforeConfirm:
		inflateConfirmation(envelope.Control)
	case BreakRelayAcceptsOlder:
		n.revertView(envelope.Relay)
	case BreakNoWitnessFloor:
		n.ignoreWitnesses(envelope)
	case BreakAppendClaimed:
		n.claimAppended(envelope)
	default:
	}
}

// inflateConfirmation makes a confirmation claim more than its sender serves.
func inflateConfirmation(message *protocol.Message) {
	if message == nil || message.Type != protocol.MessageConfirm {
		return
	}
	for position := range message.Revisions {
		if message.Revisions[position].Shard == control.ConfigurationShard {
			message.Revisions[position].Revision += confirmationInflation
		}
	}
}

// revertView puts the view of an older revision in force when its update arrives
// late.
func (n *node) revertView(message *relaytree.Message) {
	if message == nil || message.Type != relaytree.MessageUpdate || message.Topic != relaytree.Topic(control.ConfigurationShard) {
		return
	}
	older, known := n.views[message.Revision]
	if known && n.view != nil && message.Revision < n.view.Revision {
		n.view = older
		n.logf("back to r%d", older.Revision)
	}
}

// recordAppended records up to which index a leader has sent entries.
func (n *node) recordAppended(envelope wire.Envelope) {
	message := envelope.Replication
	if message == nil || message.Type != replication.MessageAppend {
		return
	}
	n.appended[envelope.Shard] = max(n.appended[envelope.Shard], message.Index+uint64(len(message.Entries)))
}

// claimAppended makes the reply of a machine that was added during the run claim
// all entries that this leader has sent.
func (n *node) claimAppended(envelope *wire.Envelope) {
	message := envelope.Replication
	if message == nil || message.Type != replication.MessageAppendReply || !n.world.addedDuringRun(envelope.From) {
		return
	}
	message.Reject = false
	message.Index = max(message.Index, n.appended[envelope.Shard])
}

// ignoreWitnesses keeps the state of witnesses from a core node while the groups
// are to be formed again.
func (n *node) ignoreWitnesses(envelope *wire.Envelope) {
	// Long enough for a member that has a log to form the groups again.
	const ignoredFor = 8 * time.Second
	if n.storage == nil || !n.world.faults.majorityLost || n.world.now > n.world.faults.majorityLostAt+ignoredFor {
		return
	}
	if message := envelope.Relay; message != nil && message.Type == relaytree.MessageUpdate {
		envelope.Relay = &relaytree.Message{}
	}
	if message := envelope.Control; message != nil && message.Type == protocol.MessageWitnessReply {
		message.Revision = 0
	}
}

// isProbe reports whether a message looks for members that this node may have
// lost: a digest of its table, or a request to a seed although the node serves
// already.
func (n *node) isProbe(envelope wire.Envelope) bool {
	message := envelope.Membership
	if message == nil {
		return false
	}
	digest := message.Type == membership.MessageGossip && len(message.Records) == 0
	return digest || message.Type == membership.MessageJoin && n.view != nil
}
