package registration

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Shard is what a Registrar needs of a shard that this node hosts.
type Shard interface {
	ID() uint32
	IsLeader() bool
	Term() uint64
	Revision() uint64
	// Nodes returns the registered nodes; read only.
	Nodes() []*controlpb.RegisterNode
	// RegistrationProposed reports whether a registration of an incarnation that this node
	// proposed in its present leadership waits to be applied.
	RegistrationProposed(node member.ID, incarnation member.Incarnation) bool
	// ProposeRegistration appends a registration to the log; its outcome is passed to
	// Registrar.Applied.
	ProposeRegistration(node *controlpb.RegisterNode, message protocol.Message)
}

// Members is what a Registrar needs of the table of members.
type Members interface {
	// IncarnationEnded reports whether it is certain that a node no longer serves in an
	// incarnation.
	IncarnationEnded(id member.ID, incarnation member.Incarnation) bool
	// FormerIncarnationQuiesced reports whether no request of an earlier incarnation of a
	// node is in flight any more.
	FormerIncarnationQuiesced(id member.ID) bool
}

// challenge is a number that a node must send back before its incarnation is registered.
type challenge struct {
	incarnation member.Incarnation
	number      uint64
}

// challengeKey identifies the registration that a challenge belongs to.
type challengeKey struct {
	shard uint32
	node  member.ID
}

// pruneSchedule is when the leader of a term next looks for ended incarnations of a shard.
type pruneSchedule struct {
	term uint64
	next time.Duration
}

// Registrar registers nodes with the shards that this node leads.
type Registrar struct {
	self           member.ID
	pruneEvery     time.Duration
	transport      protocol.Transport
	numbers        *protocol.Numbering
	leaders        *leaders.Directory
	challenges     map[challengeKey]challenge
	pruneSchedules map[uint32]pruneSchedule
}

// NewRegistrar returns a registrar without challenges. It looks for ended incarnations of a
// shard at most once per pruneEvery in a term.
func NewRegistrar(self member.ID, pruneEvery time.Duration, transport protocol.Transport, numbers *protocol.Numbering, directory *leaders.Directory) *Registrar {
	return &Registrar{
		self:           self,
		pruneEvery:     pruneEvery,
		transport:      transport,
		numbers:        numbers,
		leaders:        directory,
		challenges:     map[challengeKey]challenge{},
		pruneSchedules: map[uint32]pruneSchedule{},
	}
}

// Receive handles a node's request to be registered. If this node leads the shard, it
// proposes the registration once the node has passed the challenge, else it redirects the
// node. The shard is nil if this node does not host it.
func (r *Registrar) Receive(shard Shard, from member.ID, message protocol.Message) {
	if shard == nil || !shard.IsLeader() {
		r.transport.Send(from, protocol.Message{
			Type:    protocol.MessageRegisterReply,
			Shard:   message.Shard,
			Request: message.Request,
			Leader:  r.leaders.Known(message.Shard),
		})
		return
	}
	if !r.passesChallenge(from, message) || shard.RegistrationProposed(from, message.Incarnation) {
		// The registration is proposed only once: a repeated message must not fill the log.
		return
	}
	shard.ProposeRegistration(&controlpb.RegisterNode{
		Node:        string(from),
		Incarnation: uint64(message.Incarnation),
	}, message)
}

// passesChallenge reports whether a node has proved, in its present incarnation, that
// messages from this node reach it. If not, it sends the node a number to send back.
// Without the challenge, a node that can send but not receive would be registered, and no
// change could be acknowledged until the partition ends: such a node never confirms, and
// its heartbeats, which do arrive, prevent it from being certainly fenced.
func (r *Registrar) passesChallenge(from member.ID, message protocol.Message) bool {
	key := challengeKey{shard: message.Shard, node: from}
	issued, found := r.challenges[key]
	if !found || issued.incarnation != message.Incarnation {
		issued = challenge{incarnation: message.Incarnation, number: r.numbers.Next()}
		r.challenges[key] = issued
	}
	if message.Revision == issued.number {
		return true
	}
	r.transport.Send(from, protocol.Message{
		Type:     protocol.MessageRegisterReply,
		Shard:    message.Shard,
		Request:  message.Request,
		Leader:   r.self,
		Revision: issued.number,
	})
	return false
}

// Applied tells a node that its registration is committed, and which revision it must have
// received before it serves. If the node is registered in a later incarnation already, since
// its wall clock was set back meanwhile, the reply names that incarnation and does not
// accept the present one: acknowledgements wait for the later incarnation until the node
// registers in one that is later still.
func (r *Registrar) Applied(shard Shard, from member.ID, message protocol.Message) {
	registered := registeredIncarnation(shard, from)
	r.transport.Send(from, protocol.Message{
		Type:        protocol.MessageRegisterReply,
		Shard:       shard.ID(),
		Request:     message.Request,
		Incarnation: max(registered, message.Incarnation),
		Accepted:    registered <= message.Incarnation,
		Revision:    shard.Revision(),
		Term:        shard.Term(),
	})
}

// registeredIncarnation returns the newest incarnation in which a node is registered; 0 if
// none.
func registeredIncarnation(shard Shard, id member.ID) member.Incarnation {
	for _, node := range shard.Nodes() {
		if member.ID(node.GetNode()) == id {
			return member.Incarnation(node.GetIncarnation())
		}
	}
	return 0
}

// Prune returns a registered incarnation that has ended, or nil, for a shard that this node
// leads. It looks for one when a term begins and then every pruneEvery, while the table of
// members still has the evidence.
func (r *Registrar) Prune(now time.Duration, shard Shard, members Members) *controlpb.ForgetNode {
	term := shard.Term()
	last := r.pruneSchedules[shard.ID()]
	if last.term == term && now < last.next {
		return nil
	}
	r.pruneSchedules[shard.ID()] = pruneSchedule{term: term, next: now + r.pruneEvery}
	for _, node := range shard.Nodes() {
		id := member.ID(node.GetNode())
		if members.IncarnationEnded(id, member.Incarnation(node.GetIncarnation())) && members.FormerIncarnationQuiesced(id) {
			return &controlpb.ForgetNode{Node: node.GetNode(), Incarnation: node.GetIncarnation()}
		}
	}
	return nil
}
