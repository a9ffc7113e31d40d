package requests

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// maxQueuedChanges is how many changes may wait, and queuedBytesFactor bounds their
	// total size, as a multiple of the largest command.
	maxQueuedChanges  = 16
	queuedBytesFactor = 2
)

// configurationChange is a change that carries a whole configuration. It waits until the
// one before it is applied, so that only a change that will take effect enters the log.
type configurationChange struct {
	requestKey
	message  protocol.Message
	order    *controlpb.Order
	deadline time.Duration
	// reading means that a read is under way that confirms this node's leadership, which is
	// needed before the change is refused or answered as a resend. confirmed means that the
	// read has succeeded.
	reading   bool
	confirmed bool
}

// configurationChanges contains the waiting changes, in the order in which they arrived, and
// the request of the change that was proposed last.
type configurationChanges struct {
	waiting  []*configurationChange
	proposed requestKey
	// maxCommandBytes is the size of the largest command that may enter the log.
	maxCommandBytes int
}

// wholeConfigurationOrder returns the order in an encoded command if the order carries a
// whole configuration, else nil.
func wholeConfigurationOrder(payload []byte) *controlpb.Order {
	command := &controlpb.Command{}
	if err := proto.Unmarshal(payload, command); err != nil {
		return nil
	}
	switch command.GetOrder().GetChange().(type) {
	case *controlpb.Order_Apply, *controlpb.Order_ApplyDocument:
		return command.GetOrder()
	default:
		return nil
	}
}

// find returns the waiting change of a request, or nil.
func (c *configurationChanges) find(request requestKey) *configurationChange {
	position := slices.IndexFunc(c.waiting, func(change *configurationChange) bool { return change.requestKey == request })
	if position < 0 {
		return nil
	}
	return c.waiting[position]
}

// add appends a change. If other changes wait and the queue would become too long or too
// large, it drops the change, which its sender sends again.
func (c *configurationChanges) add(change *configurationChange) {
	queued := len(change.message.Payload)
	for _, waiting := range c.waiting {
		queued += len(waiting.message.Payload)
	}
	tooMany := len(c.waiting) >= maxQueuedChanges || queued > queuedBytesFactor*c.maxCommandBytes
	if len(c.waiting) > 0 && tooMany {
		return
	}
	c.waiting = append(c.waiting, change)
}

// removeFirst removes the first waiting change.
func (c *configurationChanges) removeFirst() {
	c.waiting[0] = nil
	c.waiting = c.waiting[1:]
}

// expire removes the changes whose senders have given up.
func (c *configurationChanges) expire(now time.Duration) {
	c.waiting = slices.DeleteFunc(c.waiting, func(change *configurationChange) bool { return now >= change.deadline })
}

// readFinished records that the read for a change has ended, and whether it confirmed the
// leadership.
func (c *configurationChanges) readFinished(request requestKey, confirmed bool) {
	if change := c.find(request); change != nil {
		change.reading, change.confirmed = false, confirmed
	}
}

// Advance handles the waiting changes in order: it proposes the first one, or answers it
// without an entry in the log, once all changes before it are applied. It is called whenever
// that may have become possible. The shard is nil if this node does not host it.
func (l *Leader) Advance(shard Shard) {
	for len(l.changes.waiting) > 0 {
		if shard == nil || !shard.IsLeader() {
			l.redirectWaiting()
			return
		}
		change := l.changes.waiting[0]
		if change.reading || !shard.BarrierApplied() || l.changeInLog(shard) {
			return
		}
		answer := l.preview(shard, change)
		switch {
		case answer == nil:
			l.changes.removeFirst()
			l.changes.proposed = change.requestKey
			shard.ProposeChange(change.from, change.message)
		case change.confirmed:
			l.changes.removeFirst()
			l.handleOutcome(change.requestKey, answer)
		case !l.confirmLeadership(shard, change):
			return
		}
	}
}

// changeInLog reports whether the change that was proposed last is in the log but not yet
// applied.
func (l *Leader) changeInLog(shard Shard) bool {
	return shard.ChangeProposed(l.changes.proposed.from, l.changes.proposed.request)
}

// preview returns the answer to a change if it needs no entry in the log, else nil.
func (l *Leader) preview(shard Shard, change *configurationChange) *controlpb.Answer {
	if answer := shard.PreviewChange(change.order); answer != nil {
		return answer
	}
	if size := len(change.message.Payload); size > l.changes.maxCommandBytes {
		return dynamic.OversizeAnswer(change.order, shard.Revision(), size, l.changes.maxCommandBytes)
	}
	return nil
}

// confirmLeadership requests a read that confirms the leadership for a change. A leader that
// was replaced without knowing it may have an older state, by which it would refuse a change
// that the newest state accepts. It returns false if the read cannot be requested.
func (l *Leader) confirmLeadership(shard Shard, change *configurationChange) bool {
	id, err := shard.RequestRead()
	if err != nil {
		return false
	}
	change.reading = true
	l.reads[id] = pendingRead{requestKey: change.requestKey, kind: protocol.MessageChange}
	shard.Process()
	return true
}

// redirectWaiting redirects the senders of all waiting changes to the leader.
func (l *Leader) redirectWaiting() {
	waiting := l.changes.waiting
	l.changes.waiting = nil
	for _, change := range waiting {
		l.redirect(change.from, change.message)
	}
}

// enqueue queues a change that carries a whole configuration, and then advances the queue.
func (l *Leader) enqueue(shard Shard, from member.ID, message protocol.Message, order *controlpb.Order) {
	l.changes.add(&configurationChange{
		requestKey: requestKey{from: from, request: message.Request},
		message:    message,
		order:      order,
		deadline:   l.now + l.config.RequestTimeout,
	})
	l.Advance(shard)
}
