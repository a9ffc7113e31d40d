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

// messageBreaks changes the messages of a node where the mechanism that is
// switched off requires that. It keeps what it needs to claim too much.
type messageBreaks struct {
	node *node
	// appended is the index of the last log entry of each shard that this process
	// has sent.
	appended map[uint32]uint64
}

// reset forgets the former process.
func (b *messageBreaks) reset() { b.appended = map[uint32]uint64{} }

// apply changes a received message, or acts on it, where the mechanism that
// is switched off requires that.
func (b *messageBreaks) apply(envelope *wire.Envelope) {
	switch b.node.env.settings.Break {
	case BreakAckBeforeConfirm:
		inflateConfirmation(envelope.Control)
	case BreakRelayAcceptsOlder:
		b.revertView(envelope.Relay)
	case BreakNoWitnessFloor:
		b.ignoreWitnesses(envelope)
	case BreakAppendClaimed:
		b.claimAppended(envelope)
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
func (b *messageBreaks) revertView(message *relaytree.Message) {
	if message == nil || message.Type != relaytree.MessageUpdate || message.Topic != relaytree.Topic(control.ConfigurationShard) {
		return
	}
	n := b.node
	older, known := n.views[message.Revision]
	if known && n.view != nil && message.Revision < n.view.Revision {
		n.view = older
		n.logf("back to r%d", older.Revision)
	}
}

// recordAppended records up to which index a leader has sent entries.
func (b *messageBreaks) recordAppended(envelope wire.Envelope) {
	message := envelope.Replication
	if message == nil || message.Type != replication.MessageAppend {
		return
	}
	b.appended[envelope.Shard] = max(b.appended[envelope.Shard], message.Index+uint64(len(message.Entries)))
}

// claimAppended makes the reply of a machine that was added during the run claim
// all entries that this leader has sent.
func (b *messageBreaks) claimAppended(envelope *wire.Envelope) {
	message := envelope.Replication
	if message == nil || message.Type != replication.MessageAppendReply || !b.node.machines.addedDuringRun(envelope.From) {
		return
	}
	message.Reject = false
	message.Index = max(message.Index, b.appended[envelope.Shard])
}

// ignoreWitnesses keeps the state of witnesses from a core node while the groups
// are to be formed again.
func (b *messageBreaks) ignoreWitnesses(envelope *wire.Envelope) {
	// Long enough for a member that has a log to form the groups again.
	const ignoredFor = 8 * time.Second
	loss := b.node.majorityLoss
	if b.node.storage == nil || !loss.active || b.node.env.now > loss.since+ignoredFor {
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
func (b *messageBreaks) isProbe(envelope wire.Envelope) bool {
	message := envelope.Membership
	if message == nil {
		return false
	}
	digest := message.Type == membership.MessageGossip && len(message.Records) == 0
	return digest || message.Type == membership.MessageJoin && b.node.view != nil
}
