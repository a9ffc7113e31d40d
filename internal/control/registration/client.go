package registration

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// requiredRevisionTimeout is how long a node waits for the revision that it must receive
// before it serves; then it asks the leader again. A group that lost the majority of its
// disks may have been recovered without that revision if the revision had reached no node.
// The leader of a later term then requires another revision.
const requiredRevisionTimeout = time.Second

// registration is the state of a node's registration with one shard.
type registration struct {
	accepted         bool
	incarnation      member.Incarnation
	requiredRevision uint64
	// term is the term of the leader that required requiredRevision.
	term uint64
	// target is the node that was asked last, and request the number of that request. target
	// is empty after an accepted registration.
	target      member.ID
	request     uint64
	nextAttempt time.Duration
	// challenger is the leader that sent the number challenge, which is sent back to it.
	challenger member.ID
	challenge  uint64
}

// Client registers a node with the leaders of all shards.
type Client struct {
	shardIDs   []uint32
	byShard    map[uint32]*registration
	retryEvery time.Duration
	transport  protocol.Transport
	numbers    *protocol.Numbering
	leaders    *leaders.Directory
	received   *shardstate.Received
}

// NewClient returns the client of a node that is not registered yet. If a member of a group
// has not accepted the registration after retryEvery, the client asks the next member.
func NewClient(shardIDs []uint32, retryEvery time.Duration, transport protocol.Transport, numbers *protocol.Numbering, directory *leaders.Directory, received *shardstate.Received) *Client {
	client := &Client{
		shardIDs:   shardIDs,
		byShard:    map[uint32]*registration{},
		retryEvery: retryEvery,
		transport:  transport,
		numbers:    numbers,
		leaders:    directory,
		received:   received,
	}
	for _, id := range shardIDs {
		client.byShard[id] = &registration{}
	}
	return client
}

// Tick asks the leaders to register the node's present incarnation until they have, and
// again if the required revision has not arrived in time. It must not be called while the
// node is fenced: the node takes a new incarnation first, since other nodes may already have
// acted on the end of the old one.
func (c *Client) Tick(now time.Duration, incarnation member.Incarnation) {
	for _, id := range c.shardIDs {
		current := c.byShard[id]
		if current.accepted && current.incarnation == incarnation && c.received.Revision(id) >= current.requiredRevision {
			continue
		}
		if now >= current.nextAttempt {
			c.register(now, id, current, incarnation)
		}
	}
}

// register sends the request to the next node that may lead a shard, if any can be reached.
func (c *Client) register(now time.Duration, shardID uint32, current *registration, incarnation member.Incarnation) {
	current.accepted = current.accepted && current.incarnation == incarnation
	current.nextAttempt = now + c.retryEvery
	if current.target == "" {
		current.target = c.leaders.Guess(shardID)
	} else {
		current.target = c.leaders.Next(shardID, current.target)
	}
	if current.target != "" {
		c.send(shardID, current, incarnation)
	}
}

func (c *Client) send(shardID uint32, current *registration, incarnation member.Incarnation) {
	current.request = c.numbers.Next()
	message := protocol.Message{
		Type:        protocol.MessageRegister,
		Shard:       shardID,
		Request:     current.request,
		Incarnation: incarnation,
	}
	if current.target == current.challenger {
		message.Revision = current.challenge
	}
	c.transport.Send(current.target, message)
}

// Result is what follows from a reply for the node.
type Result struct {
	// LaterIncarnation is set if the node is registered in a later incarnation than its
	// present one. The node must take an incarnation above it.
	LaterIncarnation member.Incarnation
	// Term is the term of the leader if the reply accepts a registration, else 0.
	Term uint64
	// Changed means that Registered may have changed.
	Changed bool
}

// ReceiveReply handles a reply: it records an accepted registration of the present
// incarnation, answers a challenge, or asks the leader that the reply names. An acceptance
// counts for any request of this incarnation, even if the node has sent another request
// meanwhile: a committed registration holds for the whole incarnation, and a leader with a
// slow disk would never reply to the last request in time.
func (c *Client) ReceiveReply(now time.Duration, from member.ID, message protocol.Message, incarnation member.Incarnation) Result {
	current := c.byShard[message.Shard]
	switch {
	case current == nil:
		return Result{}
	case message.Accepted:
		changed := c.accept(now, from, message, current, incarnation)
		return Result{Term: message.Term, Changed: changed}
	case message.Incarnation > incarnation:
		return Result{LaterIncarnation: message.Incarnation}
	case message.Revision != 0:
		// The reply is a challenge; see protocol.Message.
		c.answerChallenge(from, message, current, incarnation)
		return Result{}
	}
	c.leaders.Redirected(message.Shard, from, message.Leader)
	if current.request == message.Request && message.Leader != "" && message.Leader != current.target {
		current.target = message.Leader
		c.send(message.Shard, current, incarnation)
	}
	return Result{}
}

// accept records that a leader has registered the node, and reports whether this changed the
// registration. The leader of a later term may require another revision; see
// requiredRevisionTimeout.
func (c *Client) accept(now time.Duration, from member.ID, message protocol.Message, current *registration, incarnation member.Incarnation) bool {
	known := current.accepted && current.incarnation == message.Incarnation
	if (known && message.Term <= current.term) || message.Incarnation != incarnation {
		return false
	}
	current.accepted = true
	current.incarnation = message.Incarnation
	current.requiredRevision = message.Revision
	current.term = message.Term
	current.nextAttempt = now + requiredRevisionTimeout
	current.target = ""
	c.leaders.Learn(message.Shard, from)
	return true
}

// answerChallenge sends a leader's number back to it, once for each number, and only if the
// challenge is a reply to the last request.
func (c *Client) answerChallenge(from member.ID, message protocol.Message, current *registration, incarnation member.Incarnation) {
	answered := current.challenger == from && current.challenge == message.Revision
	if answered || current.request != message.Request {
		return
	}
	current.challenger = from
	current.challenge = message.Revision
	current.target = from
	c.send(message.Shard, current, incarnation)
}

// Registered reports whether the node may serve under a shard in its present incarnation.
func (c *Client) Registered(shardID uint32, incarnation member.Incarnation) bool {
	current := c.byShard[shardID]
	if current == nil || !current.accepted || current.incarnation != incarnation {
		return false
	}
	return c.received.Revision(shardID) >= current.requiredRevision
}
