package requests

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// replyTypes maps each request to the leader of the configuration to the type of its reply.
var replyTypes = map[protocol.MessageType]protocol.MessageType{
	protocol.MessageChange:       protocol.MessageChangeReply,
	protocol.MessageReadSource:   protocol.MessageReadSourceReply,
	protocol.MessageReadRevision: protocol.MessageReadRevisionReply,
}

// Shard is what a Leader needs of a shard that this node hosts.
type Shard interface {
	IsLeader() bool
	// ChangeProposed reports whether a change that this node proposed in its present
	// leadership waits to be applied.
	ChangeProposed(from member.ID, request uint64) bool
	// ProposeChange appends a change to the log; its outcome is passed to Leader.Applied.
	ProposeChange(from member.ID, message protocol.Message)
	// PreviewChange returns the answer to an order if it needs no entry in the log, else nil.
	PreviewChange(order *controlpb.Order) *controlpb.Answer
	// Revision returns the revision in force.
	Revision() uint64
	// BarrierApplied reports whether this node leads and its state includes all entries that
	// earlier leaders committed.
	BarrierApplied() bool
	// Process carries out what the group has to do after RequestRead.
	Process()
	// ConfirmedEverywhere reports whether no node can serve a revision below the given
	// one any more.
	ConfirmedEverywhere(revision uint64) bool
	// RequestRead asks a quorum to confirm the leadership. The result is passed to
	// Leader.FinishReads under the returned ID.
	RequestRead() (id uint64, err error)
}

// unacknowledgedChange is a committed change whose reply waits until every serving
// node has confirmed its revision.
type unacknowledgedChange struct {
	requestKey
	answer   *controlpb.Answer
	since    time.Duration
	deadline time.Duration
}

// pendingRead is a read that waits for the confirmation of a quorum. Its kind is
// MessageChange if it confirms the leadership for a configurationChange.
type pendingRead struct {
	requestKey
	kind protocol.MessageType
}

// LeaderConfig configures a Leader.
type LeaderConfig struct {
	// AcknowledgeTimeout is how long a change waits for confirmations before it is
	// answered as pending.
	AcknowledgeTimeout time.Duration
	// AcknowledgeUnconfirmedAfter is how long a change waits for confirmations before it is
	// acknowledged without them; 0 means that it never is.
	AcknowledgeUnconfirmedAfter time.Duration
	// RequestTimeout is how long nodes wait for the reply to a request.
	RequestTimeout time.Duration
	// MaxCommandBytes is the size of the largest command that may enter the log.
	MaxCommandBytes int
}

// Leader answers requests on the node that leads the configuration, and redirects them on
// other nodes.
type Leader struct {
	config         LeaderConfig
	transport      protocol.Transport
	leaders        *leaders.Directory
	unacknowledged []unacknowledgedChange
	rejections     rejections
	// reads contains the reads that wait for a quorum, by the IDs that Shard.RequestRead
	// returned.
	reads map[uint64]pendingRead
	// changes contains the changes that carry a whole configuration.
	changes configurationChanges
	// now is the time of the last call of Tick or Applied.
	now time.Duration
}

// NewLeader returns a Leader without pending requests.
func NewLeader(config LeaderConfig, transport protocol.Transport, directory *leaders.Directory) *Leader {
	return &Leader{
		config:     config,
		transport:  transport,
		leaders:    directory,
		rejections: newRejections(),
		reads:      map[uint64]pendingRead{},
		changes:    configurationChanges{maxCommandBytes: config.MaxCommandBytes},
	}
}

// ReceiveChange handles a change that a node forwarded to the supposed leader. The shard
// is nil if this node does not host it.
func (l *Leader) ReceiveChange(shard Shard, from member.ID, message protocol.Message) {
	if shard == nil || !shard.IsLeader() {
		l.redirect(from, message)
		return
	}
	request := requestKey{from: from, request: message.Request}
	waiting := func(change unacknowledgedChange) bool { return change.requestKey == request }
	if shard.ChangeProposed(from, message.Request) || slices.ContainsFunc(l.unacknowledged, waiting) || l.changes.find(request) != nil {
		// The change is being handled; a repeated message must not fill the log.
		return
	}
	if rejection := l.rejections.lookup(request); rejection != nil {
		l.reply(request, rejection, false)
		return
	}
	if order := wholeConfigurationOrder(message.Payload); order != nil {
		l.enqueue(shard, from, message, order)
		return
	}
	shard.ProposeChange(from, message)
}

// redirect replies with the leader of the shard, as far as this node knows it.
func (l *Leader) redirect(from member.ID, message protocol.Message) {
	l.transport.Send(from, protocol.Message{
		Type:    replyTypes[message.Type],
		Shard:   message.Shard,
		Request: message.Request,
		Leader:  l.leaders.Known(message.Shard),
	})
}

// Applied handles the outcome of a change that this node proposed.
func (l *Leader) Applied(now time.Duration, from member.ID, request uint64, answer *controlpb.Answer) {
	l.now = now
	l.handleOutcome(requestKey{from: from, request: request}, answer)
}

// handleOutcome answers a rejected change at once. An accepted change waits in unacknowledged
// until it is confirmed.
func (l *Leader) handleOutcome(request requestKey, answer *controlpb.Answer) {
	if answer.GetProblem() != nil {
		l.rejections.add(request, answer, l.now+rejectionRetentionTimeouts*l.config.RequestTimeout)
		l.reply(request, answer, false)
		return
	}
	l.unacknowledged = append(l.unacknowledged, unacknowledgedChange{
		requestKey: request,
		answer:     answer,
		since:      l.now,
		deadline:   l.now + l.config.AcknowledgeTimeout,
	})
}

// Tick acknowledges the changes that are confirmed everywhere, and answers as pending those
// that were not confirmed in time. The shard is nil if this node does not host it, in which
// case no change waits here.
func (l *Leader) Tick(now time.Duration, shard Shard) {
	l.now = now
	l.changes.expire(now)
	l.Advance(shard)
	var unacknowledged []unacknowledgedChange
	unconfirmedAfter := l.config.AcknowledgeUnconfirmedAfter
	for _, change := range l.unacknowledged {
		switch {
		case shard.IsLeader() && shard.ConfirmedEverywhere(change.answer.GetRevision()):
			l.reply(change.requestKey, change.answer, true)
		case unconfirmedAfter > 0 && now >= change.since+unconfirmedAfter:
			// The change is committed, whether or not this node still leads the shard.
			l.reply(change.requestKey, change.answer, true)
		case now >= change.deadline:
			l.reply(change.requestKey, change.answer, false)
		default:
			unacknowledged = append(unacknowledged, change)
		}
	}
	l.unacknowledged = unacknowledged
	l.rejections.expire(now)
}

// reply sends the answer to the node that forwarded the change.
func (l *Leader) reply(to requestKey, answer *controlpb.Answer, confirmed bool) {
	answer = proto.Clone(answer).(*controlpb.Answer)
	answer.Confirmed = confirmed
	payload, err := proto.Marshal(answer)
	if err != nil {
		return
	}
	l.transport.Send(to.from, protocol.Message{
		Type:     protocol.MessageChangeReply,
		Shard:    shardstate.ConfigurationShard,
		Request:  to.request,
		Accepted: true,
		Payload:  payload,
	})
}

// ReceiveRead begins a read if this node leads the configuration, and reports whether it
// did. If another leader has been elected meanwhile, this node's copy may be outdated, so
// that a quorum must confirm the leadership before the read is answered. The shard is nil
// if this node does not host it.
func (l *Leader) ReceiveRead(shard Shard, from member.ID, message protocol.Message) bool {
	if shard == nil || message.Shard != shardstate.ConfigurationShard || !shard.IsLeader() {
		l.redirect(from, message)
		return false
	}
	requested := pendingRead{requestKey: requestKey{from: from, request: message.Request}, kind: message.Type}
	for _, open := range l.reads {
		if open == requested {
			return false
		}
	}
	id, err := shard.RequestRead()
	if err != nil {
		l.redirect(from, message)
		return false
	}
	l.reads[id] = requested
	return true
}

// FinishReads answers the reads that a quorum has confirmed, and drops those that failed:
// their senders send them again. For a read that confirms the leadership for a change, it
// only records the result, which Advance uses. An error means that a reply could not be
// encoded.
func (l *Leader) FinishReads(state *shardstate.Configuration, ready replication.Ready) error {
	for _, id := range ready.ReadsFailed {
		l.changes.readFinished(l.reads[id].requestKey, false)
		delete(l.reads, id)
	}
	var failed error
	for _, read := range ready.Reads {
		requested, open := l.reads[read.ID]
		delete(l.reads, read.ID)
		if !open {
			continue
		}
		if requested.kind == protocol.MessageChange {
			l.changes.readFinished(requested.requestKey, true)
			continue
		}
		if err := l.replyToRead(state, requested); err != nil {
			failed = err
		}
	}
	return failed
}

func (l *Leader) replyToRead(state *shardstate.Configuration, requested pendingRead) error {
	reply := protocol.Message{
		Type:     replyTypes[requested.kind],
		Shard:    shardstate.ConfigurationShard,
		Request:  requested.request,
		Accepted: true,
		Revision: state.Revision(),
	}
	if requested.kind == protocol.MessageReadSource {
		payload, err := proto.Marshal(state.Source())
		if err != nil {
			return err
		}
		reply.Payload = payload
	}
	l.transport.Send(requested.from, reply)
	return nil
}
