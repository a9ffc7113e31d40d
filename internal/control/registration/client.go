package registration

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// requiredRevisionTimeout is how long a node waits for the revision that it must hold
// before it asks the leader again. A group that lost the majority of its disks may
// have been formed anew without that revision: it reached no node then, and the
// leader of a later term tells another one.
const requiredRevisionTimeout = time.Second

// registration is where a node stands with one shard.
type registration struct {
	accepted         bool
	incarnation      member.Incarnation
	requiredRevision uint64
	// term is the one in which the leader told requiredRevision.
	term uint64
	// target is the node asked last, by the numbered request; empty after an accepted
	// registration.
	target      member.ID
	request     uint64
	nextAttempt time.Duration
	// challenger is the leader that sent the number in challenge, to be sent
	// back to it.
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

// NewClient returns the client of a node that is not registered yet. It asks the next
// member of a group after retryEvery.
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

// Tick asks the leaders to register the node, as long as its present incarnation is not.
// A fenced node must not ask: it takes a new incarnation first, since others may have
// counted on the end of the old one.
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

// register asks the next node that may lead a shard.
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

// Result tells what a leader's reply means for the node.
type Result struct {
	// LaterIncarnation is set if the node is registered in a later incarnation, which
	// its present one must exceed.
	LaterIncarnation member.Incarnation
	// Term is that of a leader which accepted a registration; 0 if none did.
	Term uint64
	// Changed means that Registered may have changed.
	Changed bool
}

// ReceiveReply records an accepted registration of the present incarnation, or asks the
// leader that the reply names. The reply to any request of this incarnation counts, also
// when the node has asked again meanwhile: what was committed holds for the whole
// incarnation, and a leader with a slow disk would never be in time for the last
// request.
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
		// A challenge, see protocol.Message.
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

// accept records that a leader has registered the node, and reports whether that is new. The
// leader of a later term may tell another revision, see requiredRevisionTimeout.
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

// answerChallenge sends a leader's number back, once for each request.
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
