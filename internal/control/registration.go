package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// registration is where this node stands with one shard. A node serves under a
// shard only after the shard's leader has committed that acknowledgements wait
// for it, and after it holds at least the revision that was in force then.
type registration struct {
	accepted         bool
	incarnation      member.Incarnation
	requiredRevision uint64
	// term is the one in which the leader told required.
	term        uint64
	target      member.ID
	request     uint64
	nextAttempt time.Duration
	// challenger is the leader that sent the number in challenge, to be sent
	// back to it.
	challenger member.ID
	challenge  uint64
}

// registrations keeps this node's registrations.
type registrations struct {
	byShard map[uint32]*registration
	// incarnation is the present life of this node, and incarnationSince when it was first
	// seen.
	incarnation      member.Incarnation
	incarnationSince time.Duration
	// endpointsFresh tells that the platform's list was read in the present life.
	endpointsFresh bool
}

// endpointsTimeout is how long a new life waits for the platform's list. A node that
// was cut off or frozen must not admit by a list from before, in which a replica
// may stand that drains by now; but it must serve while the platform is down.
const endpointsTimeout = 1500 * time.Millisecond

// requiredRevisionTimeout is how long a node waits for the revision that it must hold
// before it asks the leader again. A group that lost the majority of its disks may
// have been formed anew without that revision: it reached no node then, and the
// leader of a later term tells another one.
const requiredRevisionTimeout = time.Second

func newRegistrations(shardIDs []uint32) registrations {
	registrar := registrations{byShard: map[uint32]*registration{}}
	for _, id := range shardIDs {
		registrar.byShard[id] = &registration{}
	}
	return registrar
}

// tickRegistration asks the leaders to count this node, as long as its present
// life is not registered. A fenced node does not ask: it takes a new life
// first, since others may have counted on the end of the old one.
func (m *Machine) tickRegistration() {
	if m.config.FailOpen || m.members.Fenced(m.now) {
		return
	}
	incarnation := m.selfIncarnation()
	for _, id := range m.shardIDs {
		current := m.registrations.byShard[id]
		if current.accepted && current.incarnation == incarnation && m.received.Revision(id) >= current.requiredRevision {
			continue
		}
		if m.now < current.nextAttempt {
			continue
		}
		m.requestRegistration(id, current, incarnation)
	}
}

func (m *Machine) requestRegistration(shardID uint32, current *registration, incarnation member.Incarnation) {
	current.accepted = current.accepted && current.incarnation == incarnation
	current.nextAttempt = m.now + m.config.Times.RetryEvery
	if current.target == "" {
		current.target = m.leaders.Guess(shardID)
	} else {
		current.target = m.leaders.Next(shardID, current.target)
	}
	if current.target == "" {
		return
	}
	m.sendRegister(shardID, current, incarnation)
}

func (m *Machine) sendRegister(shardID uint32, current *registration, incarnation member.Incarnation) {
	current.request = m.numbers.Next()
	message := protocol.Message{
		Type:        protocol.MessageRegister,
		Shard:       shardID,
		Request:     current.request,
		Incarnation: incarnation,
	}
	if current.target == current.challenger {
		message.Revision = current.challenge
	}
	m.sendControl(current.target, message)
}

// challenge is a number that a node must send back before its life counts.
type challenge struct {
	incarnation member.Incarnation
	number      uint64
}

// challengeKey names the registration that a challenge belongs to.
type challengeKey struct {
	shard uint32
	node  member.ID
}

// answersChallenge tells whether a node has shown, in its present life, that messages
// of this node reach it. Otherwise it is sent a number to send back. A node that
// can send but not receive would else be counted, and no acknowledgement could
// be given until the cut ends: it never confirms, and its heartbeats, which do
// arrive, keep it from being certainly fenced.
func (m *Machine) answersChallenge(from member.ID, message protocol.Message) bool {
	key := challengeKey{shard: message.Shard, node: from}
	issued, found := m.challenges[key]
	if !found || issued.incarnation != message.Incarnation {
		issued = challenge{incarnation: message.Incarnation, number: m.numbers.Next()}
		m.challenges[key] = issued
	}
	if message.Revision == issued.number {
		return true
	}
	m.sendControl(from, protocol.Message{
		Type:     protocol.MessageRegisterReply,
		Shard:    message.Shard,
		Request:  message.Request,
		Leader:   m.config.Self.ID,
		Revision: issued.number,
	})
	return false
}

// receiveRegister commits a node's registration if this node leads the shard.
func (m *Machine) receiveRegister(from member.ID, message protocol.Message) {
	hosted := m.shards[message.Shard]
	if hosted == nil || !hosted.isLeader() {
		m.sendControl(from, protocol.Message{
			Type:    protocol.MessageRegisterReply,
			Shard:   message.Shard,
			Request: message.Request,
			Leader:  m.leaders.Known(message.Shard),
		})
		return
	}
	if !m.answersChallenge(from, message) || hosted.registrationInProgress(from, message.Incarnation) {
		return
	}
	command := &controlpb.Command{Command: &controlpb.Command_RegisterNode{RegisterNode: &controlpb.RegisterNode{
		Node:        string(from),
		Incarnation: uint64(message.Incarnation),
	}}}
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		hosted.badEntries++
		return
	}
	m.propose(hosted, payload, proposal{from: from, request: message.Request, message: message})
}

// registrationInProgress tells whether the registration of a life waits to be
// committed already, so that repeated questions do not fill the log.
func (s *shard) registrationInProgress(from member.ID, incarnation member.Incarnation) bool {
	return s.hasProposal(func(open proposal) bool {
		return open.from == from &&
			open.message.Type == protocol.MessageRegister &&
			open.message.Incarnation == incarnation
	})
}

// registrationApplied tells the node the revision that it must hold. A node that
// registered in a later life before, by a wall clock that was set back since, is
// told of that life instead: acknowledgements wait for it until a still later one
// takes its place.
func (m *Machine) registrationApplied(hosted *shard, open proposal) {
	registered := hosted.registeredIncarnation(open.from)
	m.sendControl(open.from, protocol.Message{
		Type:        protocol.MessageRegisterReply,
		Shard:       hosted.id,
		Request:     open.request,
		Incarnation: max(registered, open.message.Incarnation),
		Accepted:    registered <= open.message.Incarnation,
		Revision:    hosted.state.Revision(),
		Term:        hosted.group.Status().Term,
	})
}

// registeredIncarnation is the newest life in which a node registered; 0 if none.
func (s *shard) registeredIncarnation(id member.ID) member.Incarnation {
	for _, node := range s.state.Nodes() {
		if member.ID(node.GetNode()) == id {
			return member.Incarnation(node.GetIncarnation())
		}
	}
	return 0
}

// receiveRegisterReply notes an accepted registration of the present life, or
// asks the leader that the reply names. The answer to any question of this life
// counts, also when this node has asked again meanwhile: what was committed
// holds for the whole life, and a leader with a slow disk would never be in time
// for the last question.
func (m *Machine) receiveRegisterReply(from member.ID, message protocol.Message) {
	current := m.registrations.byShard[message.Shard]
	if current == nil {
		return
	}
	if !message.Accepted && message.Incarnation > m.selfIncarnation() {
		m.sendMembership(m.members.AdvanceIncarnationPast(m.now, message.Incarnation))
		return
	}
	if !message.Accepted && message.Revision != 0 {
		m.respondToChallenge(from, message, current)
		return
	}
	if !message.Accepted {
		m.leaders.Redirected(message.Shard, from, message.Leader)
		if current.request == message.Request && message.Leader != "" && message.Leader != current.target {
			current.target = message.Leader
			m.sendRegister(message.Shard, current, m.selfIncarnation())
		}
		return
	}
	m.observeTerm(message.Shard, message.Term)
	known := current.accepted && current.incarnation == message.Incarnation
	if (known && message.Term <= current.term) || message.Incarnation != m.selfIncarnation() {
		return
	}
	current.accepted = true
	current.incarnation = message.Incarnation
	current.requiredRevision = message.Revision
	current.term = message.Term
	current.nextAttempt = m.now + requiredRevisionTimeout
	current.target = ""
	m.leaders.Learn(message.Shard, from)
	m.viewStale = true
}

// respondToChallenge sends a leader's number back, once for each question.
func (m *Machine) respondToChallenge(from member.ID, message protocol.Message, current *registration) {
	answered := current.challenger == from && current.challenge == message.Revision
	if answered || current.request != message.Request {
		return
	}
	current.challenger = from
	current.challenge = message.Revision
	current.target = from
	m.sendRegister(message.Shard, current, m.selfIncarnation())
}

// registered tells whether this node may serve under a shard. Where nodes go on
// serving while cut off, nothing has to be known of a node before it serves.
func (m *Machine) registered(shardID uint32) bool {
	if m.config.FailOpen {
		return true
	}
	current := m.registrations.byShard[shardID]
	if current == nil || !current.accepted {
		return false
	}
	if current.incarnation != m.selfIncarnation() {
		return false
	}
	return m.received.Revision(shardID) >= current.requiredRevision
}

// followIncarnation notes the beginning of a new life of this node.
func (m *Machine) followIncarnation() {
	if incarnation := m.selfIncarnation(); incarnation != m.registrations.incarnation {
		m.registrations.incarnation = incarnation
		m.registrations.incarnationSince = m.now
		m.registrations.endpointsFresh = false
		m.endpoints.RequestProof()
	}
}

// endpointsUsable tells whether what this node knows of the platform's list is
// good enough to serve.
func (m *Machine) endpointsUsable() bool {
	return m.registrations.endpointsFresh || m.now-m.registrations.incarnationSince >= endpointsTimeout
}

// selfIncarnation is the present life of this node.
func (m *Machine) selfIncarnation() member.Incarnation {
	incarnation, _ := m.members.Incarnation(m.config.Self.ID)
	return incarnation
}
