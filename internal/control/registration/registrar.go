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
	// Nodes are the registered nodes; read only.
	Nodes() []*controlpb.RegisterNode
	// RegistrationProposed reports whether the registration of an incarnation waits to
	// be committed under the present leadership.
	RegistrationProposed(node member.ID, incarnation member.Incarnation) bool
	// ProposeRegistration appends a registration to the log; Registrar.Applied takes
	// its outcome.
	ProposeRegistration(node *controlpb.RegisterNode, message protocol.Message)
}

// Members is what a Registrar needs of the table of members.
type Members interface {
	// IncarnationEnded reports whether a node certainly serves nothing any more in an
	// incarnation.
	IncarnationEnded(id member.ID, incarnation member.Incarnation) bool
	// FormerIncarnationQuiesced reports whether no request of an earlier incarnation of a
	// node is on its way any more.
	FormerIncarnationQuiesced(id member.ID) bool
}

// challenge is a number that a node must send back before its incarnation is registered.
type challenge struct {
	incarnation member.Incarnation
	number      uint64
}

// challengeKey names the registration that a challenge belongs to.
type challengeKey struct {
	shard uint32
	node  member.ID
}

// pruneSchedule is when a leader looks for ended incarnations again.
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

// NewRegistrar returns a registrar that has challenged nobody yet. It looks for ended
// incarnations every pruneEvery.
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

// Receive has a node's registration committed if this node leads the shard. The shard is
// nil if this node does not host it.
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
		// A repeated message must not fill the log.
		return
	}
	shard.ProposeRegistration(&controlpb.RegisterNode{
		Node:        string(from),
		Incarnation: uint64(message.Incarnation),
	}, message)
}

// passesChallenge reports whether a node has shown, in its present incarnation, that
// messages of this node reach it. Otherwise it is sent a number to send back. A node
// that can send but not receive would be registered otherwise, and no acknowledgement could be
// given until the partition ends: it never confirms, and its heartbeats, which do
// arrive, keep it from being certainly fenced.
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

// Applied tells a node that its registration is committed, and the revision that it must
// hold. A node that registered in a later incarnation before, by a wall clock that was
// set back since, is informed of that one instead: acknowledgements wait for it until a
// still later one takes its place.
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

// registeredIncarnation is the newest incarnation in which a node registered; 0 if none.
func registeredIncarnation(shard Shard, id member.ID) member.Incarnation {
	for _, node := range shard.Nodes() {
		if member.ID(node.GetNode()) == id {
			return member.Incarnation(node.GetIncarnation())
		}
	}
	return 0
}

// Prune returns a registered incarnation of a shard that this node leads which has ended,
// or nil. It looks for one now and then in each term, while the evidence is at hand.
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
