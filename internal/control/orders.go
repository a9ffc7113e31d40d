package control

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// pendingOrder is an order, or a read, that this node took from an operator and
// that the leader of the configuration has not answered yet.
type pendingOrder struct {
	ticket   uint64
	request  uint64
	kind     protocol.MessageType
	payload  []byte
	target   member.ID
	nextAsk  time.Duration
	deadline time.Duration
	// confirmed tells that a quorum confirmed the revision wanted, for which a
	// read of the configuration waits on this node.
	confirmed bool
	wanted    uint64
}

// waitingOrder is an accepted order at the leader, whose answer waits until
// every serving node has confirmed its revision.
type waitingOrder struct {
	from     member.ID
	request  uint64
	answer   *controlpb.Answer
	since    time.Duration
	deadline time.Duration
}

// orderBook holds both sides of the orders in progress at a node.
type orderBook struct {
	pending []*pendingOrder
	waiting []waitingOrder
	// refusals are those that this node has answered as the owner.
	refusals refusals
}

func newOrderBook() orderBook { return orderBook{refusals: newRefusals()} }

// submitOrder takes an operator's order and asks the leader.
func (m *Machine) submitOrder(ticket uint64, order *controlpb.Order) {
	command := &controlpb.Command{Command: &controlpb.Command_Order{Order: order}}
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		m.output.Replies = append(m.output.Replies, Reply{Ticket: ticket, Err: err})
		return
	}
	m.begin(&pendingOrder{ticket: ticket, kind: protocol.MessageOrder, payload: payload})
}

// begin asks the leader what an operator wants.
func (m *Machine) begin(pending *pendingOrder) {
	pending.request = m.nextRequest()
	pending.deadline = m.now + m.config.Times.OrderTimeout
	m.orders.pending = append(m.orders.pending, pending)
	m.askLeader(pending, m.leaderGuess(ConfigurationShard))
}

// askLeader sends a pending order to a node that may own the configuration.
func (m *Machine) askLeader(pending *pendingOrder, target member.ID) {
	pending.target = target
	pending.nextAsk = m.now + m.config.Times.RetryEvery
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

// tickOrders asks again for orders without an answer, and gives up on those
// whose time is over. The outcome of those is unknown, so that they are
// answered as pending.
func (m *Machine) tickOrders() {
	for _, pending := range slices.Clone(m.orders.pending) {
		switch {
		case m.now >= pending.deadline:
			m.giveUp(pending)
		case pending.confirmed:
		case m.now >= pending.nextAsk:
			m.askLeader(pending, m.nextLeaderGuess(ConfigurationShard, pending.target))
		}
	}
	m.answerWaiting()
	m.orders.refusals.forget(m.now)
}

// giveUp answers what nobody decided in time.
func (m *Machine) giveUp(pending *pendingOrder) {
	switch {
	case pending.confirmed:
		m.settle(pending, Reply{Err: ErrBehind})
	case pending.kind == protocol.MessageOrder:
		m.settle(pending, Reply{Answer: &controlpb.Answer{}})
	default:
		m.settle(pending, Reply{Err: ErrNoQuorum})
	}
}

// settle answers the operator and ends what is pending.
func (m *Machine) settle(pending *pendingOrder, reply Reply) {
	reply.Ticket = pending.ticket
	m.output.Replies = append(m.output.Replies, reply)
	m.orders.pending = slices.DeleteFunc(m.orders.pending, func(other *pendingOrder) bool {
		return other == pending
	})
}

// receiveOrder takes an order that a node forwarded to the supposed leader.
func (m *Machine) receiveOrder(from member.ID, message protocol.Message) {
	hosted := m.shards[message.Shard]
	if hosted == nil || !hosted.leads() {
		m.refuseOrder(from, message)
		return
	}
	if m.orderInProgress(hosted, from, message.Request) {
		return
	}
	if refusal := m.orders.refusals.answer(question{from: from, request: message.Request}); refusal != nil {
		m.replyToOrder(waitingOrder{from: from, request: message.Request, answer: refusal}, false)
		return
	}
	m.propose(hosted, message.Payload, proposal{from: from, request: message.Request, message: message})
}

// orderInProgress tells whether the same question of the same node is already
// being worked on, so that a repeated message does not fill the log.
func (m *Machine) orderInProgress(hosted *shard, from member.ID, request uint64) bool {
	proposed := hosted.hasProposal(func(open proposal) bool {
		return open.from == from && open.request == request && open.message.Type == protocol.MessageOrder
	})
	return proposed || slices.ContainsFunc(m.orders.waiting, func(waiting waitingOrder) bool {
		return waiting.from == from && waiting.request == request
	})
}

// refuseOrder tells a node that this one does not own the shard.
func (m *Machine) refuseOrder(from member.ID, message protocol.Message) {
	m.sendControl(from, protocol.Message{
		Type:    replyTypes[message.Type],
		Shard:   message.Shard,
		Request: message.Request,
		Leader:  m.knownLeader(message.Shard),
	})
}

// orderApplied answers a refused order at once and lets an accepted one wait
// for its confirmation.
func (m *Machine) orderApplied(open proposal, answer *controlpb.Answer) {
	waiting := waitingOrder{
		from:     open.from,
		request:  open.request,
		answer:   answer,
		since:    m.now,
		deadline: m.now + m.config.Times.AcknowledgeTimeout,
	}
	if answer.GetProblem() != nil {
		refused := question{from: open.from, request: open.request}
		m.orders.refusals.keep(refused, answer, m.now+refusalLife*m.config.Times.OrderTimeout)
		m.replyToOrder(waiting, false)
		return
	}
	m.orders.waiting = append(m.orders.waiting, waiting)
}

// answerWaiting answers accepted orders that are confirmed everywhere, and as
// pending those that were not confirmed in time.
func (m *Machine) answerWaiting() {
	hosted := m.shards[ConfigurationShard]
	var still []waitingOrder
	for _, waiting := range m.orders.waiting {
		switch {
		case hosted.leads() && m.confirmedEverywhere(hosted, waiting.answer.GetRevision()):
			m.replyToOrder(waiting, true)
		case m.config.FailOpen && m.now >= waiting.since+openConfirmWait:
			// It is committed, whoever leads the shard by now.
			m.replyToOrder(waiting, true)
		case m.now >= waiting.deadline:
			m.replyToOrder(waiting, false)
		default:
			still = append(still, waiting)
		}
	}
	m.orders.waiting = still
}

// replyToOrder sends the answer to the node that took the order.
func (m *Machine) replyToOrder(waiting waitingOrder, confirmed bool) {
	answer := proto.Clone(waiting.answer).(*controlpb.Answer)
	answer.Confirmed = confirmed
	payload, err := proto.Marshal(answer)
	if err != nil {
		return
	}
	m.sendControl(waiting.from, protocol.Message{
		Type:     protocol.MessageOrderReply,
		Shard:    ConfigurationShard,
		Request:  waiting.request,
		Accepted: true,
		Payload:  payload,
	})
}

// replyTypes are the answers to what is asked of the leader of the configuration.
var replyTypes = map[protocol.MessageType]protocol.MessageType{
	protocol.MessageOrder:        protocol.MessageOrderReply,
	protocol.MessageReadSource:   protocol.MessageReadSourceReply,
	protocol.MessageReadRevision: protocol.MessageReadRevisionReply,
}

// receiveOrderReply handles the leader's answer, or a hint who leads the shard.
func (m *Machine) receiveOrderReply(from member.ID, message protocol.Message) {
	position := slices.IndexFunc(m.orders.pending, func(pending *pendingOrder) bool {
		return pending.request == message.Request && replyTypes[pending.kind] == message.Type
	})
	if position < 0 {
		return
	}
	pending := m.orders.pending[position]
	if !message.Accepted {
		m.learnLeader(message.Shard, from, message.Leader)
		if message.Leader != "" && message.Leader != pending.target {
			m.askLeader(pending, message.Leader)
		}
		return
	}
	if message.Type == protocol.MessageReadRevisionReply {
		m.lastLeaders[message.Shard] = from
		pending.confirmed, pending.wanted = true, message.Revision
		return
	}
	reply, err := decodeReply(message)
	if err != nil {
		return
	}
	m.lastLeaders[message.Shard] = from
	m.settle(pending, reply)
}
