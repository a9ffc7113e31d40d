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
	// maxQueuedChanges bounds the changes that wait for their turn, and
	// queuedBytesFactor their bytes, in commands of the largest size.
	maxQueuedChanges  = 16
	queuedBytesFactor = 2
)

// configurationChange is a change that carries a whole configuration. It waits until the
// one before it is applied, so that only one that is going to take effect enters the log.
type configurationChange struct {
	requestKey
	message  protocol.Message
	order    *controlpb.Order
	deadline time.Duration
	// reading means that a read was requested, to confirm the leadership under which
	// the change is refused or answered as a resend, and confirmed that it has ended.
	reading   bool
	confirmed bool
}

// configurationChanges are the changes that wait, in the order in which they came, and the
// one that was proposed last.
type configurationChanges struct {
	waiting  []*configurationChange
	proposed requestKey
	// maxCommandBytes is the largest command that may enter the log.
	maxCommandBytes int
}

// wholeConfigurationOrder returns the order in a command if it carries a whole configuration.
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

// add appends a change, unless too many wait: its sender repeats it.
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

// removeFirst ends the wait of the first change.
func (c *configurationChanges) removeFirst() {
	c.waiting[0] = nil
	c.waiting = c.waiting[1:]
}

// expire drops the changes whose senders have given up.
func (c *configurationChanges) expire(now time.Duration) {
	c.waiting = slices.DeleteFunc(c.waiting, func(change *configurationChange) bool { return now >= change.deadline })
}

// readFinished records that the read of a change has ended.
func (c *configurationChanges) readFinished(request requestKey, confirmed bool) {
	if change := c.find(request); change != nil {
		change.reading, change.confirmed = false, confirmed
	}
}

// Advance proposes the first change that waits, or answers it without an entry in the log,
// once all changes before it are applied. It is called whenever that may have changed. The
// shard is nil if this node does not host it.
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

// changeInLog reports whether the change that was proposed last is not applied yet.
func (l *Leader) changeInLog(shard Shard) bool {
	return shard.ChangeProposed(l.changes.proposed.from, l.changes.proposed.request)
}

// preview returns the answer to a change that needs no entry in the log, or nil.
func (l *Leader) preview(shard Shard, change *configurationChange) *controlpb.Answer {
	if answer := shard.PreviewChange(change.order); answer != nil {
		return answer
	}
	if size := len(change.message.Payload); size > l.changes.maxCommandBytes {
		return dynamic.OversizeAnswer(change.order, shard.Revision(), size, l.changes.maxCommandBytes)
	}
	return nil
}

// confirmLeadership requests a read for a change: a leader that was replaced may know an
// older state, in which the change is refused though it is not in the newest one. It is
// false if this node cannot read.
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

// redirectWaiting sends all waiting changes on to the leader.
func (l *Leader) redirectWaiting() {
	waiting := l.changes.waiting
	l.changes.waiting = nil
	for _, change := range waiting {
		l.redirect(change.from, change.message)
	}
}

// enqueue takes a change that carries a whole configuration.
func (l *Leader) enqueue(shard Shard, from member.ID, message protocol.Message, order *controlpb.Order) {
	l.changes.add(&configurationChange{
		requestKey: requestKey{from: from, request: message.Request},
		message:    message,
		order:      order,
		deadline:   l.now + l.config.RequestTimeout,
	})
	l.Advance(shard)
}
