package confirmation

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Local tracks the revisions that this node serves and has drained.
type Local struct {
	shardIDs []uint32
	// repeatEvery is the interval at which an unchanged confirmation is sent again.
	repeatEvery time.Duration
	nextSend    time.Duration
	// published are the revisions of the view that traffic uses, by shard.
	published map[uint32]uint64
	// confirmed are the revisions that the node confirms, by shard, and incarnation is its
	// incarnation as of the last Update.
	confirmed   map[uint32]protocol.ShardRevision
	incarnation member.Incarnation
}

// NewLocal returns the Local of a node that serves no revision yet. Its confirmation is due
// every repeatEvery.
func NewLocal(shardIDs []uint32, repeatEvery time.Duration) *Local {
	return &Local{
		shardIDs:    shardIDs,
		repeatEvery: repeatEvery,
		published:   map[uint32]uint64{},
		confirmed:   map[uint32]protocol.ShardRevision{},
	}
}

// Publish records the revision of a shard that the newest view is built from.
func (l *Local) Publish(shardID uint32, revision uint64) { l.published[shardID] = revision }

// Published returns the revision of a shard that the newest view is built from.
func (l *Local) Published(shardID uint32) uint64 { return l.published[shardID] }

// Update determines which revisions this node serves and has drained, and reports whether
// these or the incarnation have changed. The parameter drained reports whether no request of
// this node runs on a replica that is out of service in the newest state of a shard.
func (l *Local) Update(incarnation member.Incarnation, drained func(shardID uint32) bool) bool {
	changed := l.incarnation != incarnation
	l.incarnation = incarnation
	for _, id := range l.shardIDs {
		previous := l.confirmed[id]
		current := protocol.ShardRevision{Shard: id, Revision: l.published[id], Drained: previous.Drained}
		if current.Revision > current.Drained && drained(id) {
			current.Drained = current.Revision
		}
		if current != previous {
			l.confirmed[id] = current
			changed = true
		}
	}
	return changed
}

// Due reports whether the confirmation must be sent even if it has not changed.
func (l *Local) Due(now time.Duration) bool { return now >= l.nextSend }

// Message returns this node's confirmation as of the last Update.
func (l *Local) Message(incarnation member.Incarnation) protocol.Message {
	message := protocol.Message{Type: protocol.MessageConfirm, Incarnation: incarnation}
	for _, id := range l.shardIDs {
		message.Revisions = append(message.Revisions, l.confirmed[id])
	}
	return message
}

// Sent records that the confirmation was sent to all nodes that need it.
func (l *Local) Sent(now time.Duration) { l.nextSend = now + l.repeatEvery }
