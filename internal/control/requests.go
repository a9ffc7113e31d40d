package control

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// pendingRequest is an order, or a read, that this node took from an operator and
// that the leader of the configuration has not answered yet.
type pendingRequest struct {
	ticket      uint64
	request     uint64
	kind        protocol.MessageType
	payload     []byte
	target      member.ID
	nextAttempt time.Duration
	deadline    time.Duration
	// confirmed tells that a quorum confirmed the revision wanted, for which a
	// read of the configuration waits on this node.
	confirmed   bool
	minRevision uint64
}

// unacknowledgedChange is an accepted order at the leader, whose answer waits until
// every serving node has confirmed its revision.
type unacknowledgedChange struct {
	from     member.ID
	request  uint64
	answer   *controlpb.Answer
	since    time.Duration
	deadline time.Duration
}

// requestTable holds both sides of the orders in progress at a node.
type requestTable struct {
	pending        []*pendingRequest
	unacknowledged []unacknowledgedChange
	// rejections are those that this node has answered as the owner.
	rejections rejections
}

func newRequestTable() requestTable { return requestTable{rejections: newRejections()} }

// submitChange takes an operator's order and asks the leader.
func (m *Machine) submitChange(ticket uint64, order *controlpb.Order) {
	command := &controlpb.Command{Command: &controlpb.Command_Order{Order: order}}
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		m.output.Replies = append(m.output.Replies, Reply{Ticket: ticket, Err: err})
		return
	}
	m.beginRequest(&pendingRequest{ticket: ticket, kind: protocol.MessageChange, payload: payload})
}

// beginRequest asks the leader what an operator wants.
func (m *Machine) beginRequest(pending *pendingRequest) {
	pending.request = m.nextRequest()
	pending.deadline = m.now + m.config.Times.RequestTimeout
	m.requests.pending = append(m.requests.pending, pending)
	m.sendToLeader(pending, m.leaderGuess(ConfigurationShard))
}

// sendToLeader sends a pending order to a node that may own the configuration.
func (m *Machine) sendToLeader(pending *pendingRequest, target member.ID) {
	pending.target = target
	pending.nextAttempt = m.now + m.config.Times.RetryEvery
	if target == "" {
		return
	}
	m.sendControl(target, protocol.Message{
		Type:    pending.kind,
		Shard:   ConfigurationShard,
		Request: pending.request,
		Payload: pending.payload,
	})
}

// tickRequests asks again for orders without an answer, and gives up on those
// whose time is over. The outcome of those is unknown, so that they are
// answered as pending.
func (m *Machine) tickRequests() {
	for _, pending := range slices.Clone(m.requests.pending) {
		switch {
		case m.now >= pending.deadline:
			m.timeOutRequest(pending)
		case pending.confirmed:
		case m.now >= pending.nextAttempt:
			m.sendToLeader(pending, m.nextLeaderGuess(ConfigurationShard, pending.target))
		}
	}
	m.acknowledgeChanges()
	m.requests.rejections.expire(m.now)
}

// timeOutRequest answers what nobody decided in time.
func (m *Machine) timeOutRequest(pending *pendingRequest) {
	switch {
	case pending.confirmed:
		m.completeRequest(pending, Reply{Err: ErrBehind})
	case pending.kind == protocol.MessageChange:
		m.completeRequest(pending, Reply{Answer: &controlpb.Answer{}})
	default:
		m.completeRequest(pending, Reply{Err: ErrNoQuorum})
	}
}

// completeRequest answers the operator and ends what is pending.
func (m *Machine) completeRequest(pending *pendingRequest, reply Reply) {
	reply.Ticket = pending.ticket
	m.output.Replies = append(m.output.Replies, reply)
	m.requests.pending = slices.DeleteFunc(m.requests.pending, func(other *pendingRequest) bool {
		return other == pending
	})
}

// receiveChange takes an order that a node forwarded to the supposed leader.
func (m *Machine) receiveChange(from member.ID, message protocol.Message) {
	hosted := m.shards[message.Shard]
	if hosted == nil || !hosted.isLeader() {
		m.redirectToLeader(from, message)
		return
	}
	if m.changeInProgress(hosted, from, message.Request) {
		return
	}
	if rejection := m.requests.rejections.lookup(requestKey{from: from, request: message.Request}); rejection != nil {
		m.replyToChange(unacknowledgedChange{from: from, request: message.Request, answer: rejection}, false)
		return
	}
	m.propose(hosted, message.Payload, proposal{from: from, request: message.Request, message: message})
}

// changeInProgress tells whether the same question of the same node is already
// being worked on, so that a repeated message does not fill the log.
func (m *Machine) changeInProgress(hosted *shard, from member.ID, request uint64) bool {
	proposed := hosted.hasProposal(func(open proposal) bool {
		return open.from == from && open.request == request && open.message.Type == protocol.MessageChange
	})
	return proposed || slices.ContainsFunc(m.requests.unacknowledged, func(waiting unacknowledgedChange) bool {
		return waiting.from == from && waiting.request == request
	})
}

// redirectToLeader tells a node that this one does not own the shard.
func (m *Machine) redirectToLeader(from member.ID, message protocol.Message) {
	m.sendControl(from, protocol.Message{
		Type:    replyTypes[message.Type],
		Shard:   message.Shard,
		Request: message.Request,
		Leader:  m.knownLeader(message.Shard),
	})
}

// changeApplied answers a refused order at once and lets an accepted one wait
// for its confirmation.
func (m *Machine) changeApplied(open proposal, answer *controlpb.Answer) {
	waiting := unacknowledgedChange{
		from:     open.from,
		request:  open.request,
		answer:   answer,
		since:    m.now,
		deadline: m.now + m.config.Times.AcknowledgeTimeout,
	}
	if answer.GetProblem() != nil {
		rejected := requestKey{from: open.from, request: open.request}
		m.requests.rejections.remember(rejected, answer, m.now+rejectionRetention*m.config.Times.RequestTimeout)
		m.replyToChange(waiting, false)
		return
	}
	m.requests.unacknowledged = append(m.requests.unacknowledged, waiting)
}

// acknowledgeChanges answers accepted orders that are confirmed everywhere, and as
// pending those that were not confirmed in time.
func (m *Machine) acknowledgeChanges() {
	hosted := m.shards[ConfigurationShard]
	var unacknowledged []unacknowledgedChange
	for _, waiting := range m.requests.unacknowledged {
		switch {
		case hosted.isLeader() && m.confirmedEverywhere(hosted, waiting.answer.GetRevision()):
			m.replyToChange(waiting, true)
		case m.config.FailOpen && m.now >= waiting.since+failOpenConfirmationTimeout:
			// It is committed, whoever leads the shard by now.
			m.replyToChange(waiting, true)
		case m.now >= waiting.deadline:
			m.replyToChange(waiting, false)
		default:
			unacknowledged = append(unacknowledged, waiting)
		}
	}
	m.requests.unacknowledged = unacknowledged
}

// replyToChange sends the answer to the node that took the order.
func (m *Machine) replyToChange(waiting unacknowledgedChange, confirmed bool) {
	answer := proto.Clone(waiting.answer).(*controlpb.Answer)
	answer.Confirmed = confirmed
	payload, err := proto.Marshal(answer)
	if err != nil {
		return
	}
	m.sendControl(waiting.from, protocol.Message{
		Type:     protocol.MessageChangeReply,
		Shard:    ConfigurationShard,
		Request:  waiting.request,
		Accepted: true,
		Payload:  payload,
	})
}

// replyTypes are the answers to what is asked of the leader of the configuration.
var replyTypes = map[protocol.MessageType]protocol.MessageType{
	protocol.MessageChange:       protocol.MessageChangeReply,
	protocol.MessageReadSource:   protocol.MessageReadSourceReply,
	protocol.MessageReadRevision: protocol.MessageReadRevisionReply,
}

// receiveReply handles the leader's answer, or a hint who leads the shard.
func (m *Machine) receiveReply(from member.ID, message protocol.Message) {
	position := slices.IndexFunc(m.requests.pending, func(pending *pendingRequest) bool {
		return pending.request == message.Request && replyTypes[pending.kind] == message.Type
	})
	if position < 0 {
		return
	}
	pending := m.requests.pending[position]
	if !message.Accepted {
		m.updateLeaderHint(message.Shard, from, message.Leader)
		if message.Leader != "" && message.Leader != pending.target {
			m.sendToLeader(pending, message.Leader)
		}
		return
	}
	if message.Type == protocol.MessageReadRevisionReply {
		m.lastLeaders[message.Shard] = from
		pending.confirmed, pending.minRevision = true, message.Revision
		return
	}
	reply, err := decodeReply(message)
	if err != nil {
		return
	}
	m.lastLeaders[message.Shard] = from
	m.completeRequest(pending, reply)
}
