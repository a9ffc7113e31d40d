package requests

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// largePayloadBytes is the payload size from which a request is retried less often, and
	// maxRetryDoublings is how many times the pause between its retries doubles at most.
	largePayloadBytes = 64 << 10
	maxRetryDoublings = 2
)

// ErrNoQuorum is the error of a read that no quorum has confirmed in time.
var ErrNoQuorum = errors.New("no quorum of the nodes with disks has confirmed the read in time; try again, at another node")

// ErrBehind is the error of a read for which this node has not received the confirmed
// revision in time.
var ErrBehind = errors.New("the newest configuration has not reached this node in time; try again, at another node")

// Reply answers an order or a read that this node received from an operator.
type Reply struct {
	Ticket uint64
	// Answer is set for an order, Source for a read of the document, and
	// Configuration for a read of the configuration; read only.
	Answer        *controlpb.Answer
	Source        *ridgeswitchv1.Source
	Configuration *ridgeswitchv1.Configuration
	Err           error
}

// pendingRequest is an order or a read that this node received from an operator and that
// is not answered yet.
type pendingRequest struct {
	ticket      uint64
	request     uint64
	kind        protocol.MessageType
	payload     []byte
	target      member.ID
	attempts    int
	nextAttempt time.Duration
	deadline    time.Duration
	// revisionConfirmed means that a quorum has confirmed minRevision. The read of the
	// configuration then waits until this node has received that revision.
	revisionConfirmed bool
	minRevision       uint64
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Timeout is how long a request waits for its reply.
	Timeout time.Duration
	// RetryEvery is how long a request waits before the next member is tried.
	RetryEvery time.Duration
}

// Client forwards the requests that a node received from operators to the leader of the
// configuration, until they are answered or time out.
type Client struct {
	config    ClientConfig
	transport protocol.Transport
	numbers   *protocol.Numbering
	leaders   *leaders.Directory
	now       time.Duration
	pending   []*pendingRequest
	replies   []Reply
}

// NewClient returns a Client without requests.
func NewClient(config ClientConfig, transport protocol.Transport, numbers *protocol.Numbering, directory *leaders.Directory) *Client {
	return &Client{config: config, transport: transport, numbers: numbers, leaders: directory}
}

// Submit forwards an operator's order to the leader. The Reply carries the ticket.
func (c *Client) Submit(now time.Duration, ticket uint64, order *controlpb.Order) {
	command := &controlpb.Command{Command: &controlpb.Command_Order{Order: order}}
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
	if err != nil {
		c.replies = append(c.replies, Reply{Ticket: ticket, Err: err})
		return
	}
	c.begin(now, &pendingRequest{ticket: ticket, kind: protocol.MessageChange, payload: payload})
}

// ReadSource asks for the source document in force. The Reply carries the ticket and
// the document, which is empty if there is none.
func (c *Client) ReadSource(now time.Duration, ticket uint64) {
	c.begin(now, &pendingRequest{ticket: ticket, kind: protocol.MessageReadSource})
}

// ReadConfiguration asks for the configuration in force. The leader replies with its
// revision, as a quorum confirms it, and AnswerReads answers with the node's own copy once
// that has reached the revision. The Reply carries the ticket and the configuration.
func (c *Client) ReadConfiguration(now time.Duration, ticket uint64) {
	c.begin(now, &pendingRequest{ticket: ticket, kind: protocol.MessageReadRevision})
}

// begin gives a request its number and deadline, and sends it to the supposed leader.
func (c *Client) begin(now time.Duration, pending *pendingRequest) {
	c.now = now
	pending.request = c.numbers.Next()
	pending.deadline = now + c.config.Timeout
	c.pending = append(c.pending, pending)
	c.send(pending, c.leaders.Guess(shardstate.ConfigurationShard))
}

// send sends a pending request to a node that may lead the configuration, and schedules the
// next attempt. If no such node is known, it only does the latter.
func (c *Client) send(pending *pendingRequest, target member.ID) {
	pending.target = target
	pending.nextAttempt = c.now + c.retryDelay(pending)
	if target == "" {
		return
	}
	c.transport.Send(target, protocol.Message{
		Type:    pending.kind,
		Shard:   shardstate.ConfigurationShard,
		Request: pending.request,
		Payload: pending.payload,
	})
}

// retryDelay returns how long a request waits for its reply before it is sent again. The
// delay doubles for a request with a large payload: usually such a request is not lost and
// its reply only takes longer.
func (c *Client) retryDelay(pending *pendingRequest) time.Duration {
	if len(pending.payload) < largePayloadBytes {
		return c.config.RetryEvery
	}
	return c.config.RetryEvery << min(pending.attempts, maxRetryDoublings)
}

// Tick resends requests without a reply to the next member of the group, and ends those
// that have timed out.
func (c *Client) Tick(now time.Duration) {
	c.now = now
	for _, pending := range slices.Clone(c.pending) {
		switch {
		case now >= pending.deadline:
			c.timeOut(pending)
		case pending.revisionConfirmed:
		case now >= pending.nextAttempt:
			pending.attempts++
			c.send(pending, c.leaders.Next(shardstate.ConfigurationShard, pending.target))
		}
	}
}

// timeOut answers a request that was not answered in time. The outcome of a change is
// unknown then: it gets the empty answer, which is neither confirmed nor a problem and is
// shown to operators as pending.
func (c *Client) timeOut(pending *pendingRequest) {
	switch {
	case pending.revisionConfirmed:
		c.complete(pending, Reply{Err: ErrBehind})
	case pending.kind == protocol.MessageChange:
		c.complete(pending, Reply{Answer: &controlpb.Answer{}})
	default:
		c.complete(pending, Reply{Err: ErrNoQuorum})
	}
}

// complete adds the reply to a request and ends the request.
func (c *Client) complete(pending *pendingRequest, reply Reply) {
	reply.Ticket = pending.ticket
	c.replies = append(c.replies, reply)
	c.pending = slices.DeleteFunc(c.pending, func(other *pendingRequest) bool { return other == pending })
}

// Cancel ends a request whose reply is no longer needed, so that it is not sent again. If it
// was sent already, it may still take effect.
func (c *Client) Cancel(ticket uint64) {
	c.pending = slices.DeleteFunc(c.pending, func(pending *pendingRequest) bool { return pending.ticket == ticket })
}

// ReceiveReply handles the reply of the leader, or the redirect of another node.
func (c *Client) ReceiveReply(now time.Duration, from member.ID, message protocol.Message) {
	c.now = now
	position := slices.IndexFunc(c.pending, func(pending *pendingRequest) bool {
		return pending.request == message.Request && replyTypes[pending.kind] == message.Type
	})
	if position < 0 {
		return
	}
	pending := c.pending[position]
	if !message.Accepted {
		c.leaders.Redirected(message.Shard, from, message.Leader)
		if message.Leader != "" && message.Leader != pending.target {
			c.send(pending, message.Leader)
		}
		return
	}
	if message.Type == protocol.MessageReadRevisionReply {
		c.leaders.Learn(message.Shard, from)
		pending.revisionConfirmed, pending.minRevision = true, message.Revision
		return
	}
	reply, err := decodeReply(message)
	if err != nil {
		return
	}
	c.leaders.Learn(message.Shard, from)
	c.complete(pending, reply)
}

// AnswerReads answers the reads of the configuration whose confirmed revision the node's
// copy has reached.
func (c *Client) AnswerReads(configuration *ridgeswitchv1.Configuration) {
	for _, pending := range slices.Clone(c.pending) {
		if pending.revisionConfirmed && configuration.GetRevision() >= pending.minRevision {
			c.complete(pending, Reply{Configuration: configuration})
		}
	}
}

// TakeReplies returns the replies since the last call.
func (c *Client) TakeReplies() []Reply {
	replies := c.replies
	c.replies = nil
	return replies
}

// decodeReply decodes the leader's reply to an order or to a read of the source document.
func decodeReply(message protocol.Message) (Reply, error) {
	if message.Type == protocol.MessageReadSourceReply {
		source := &ridgeswitchv1.Source{}
		err := proto.Unmarshal(message.Payload, source)
		return Reply{Source: source}, err
	}
	answer := &controlpb.Answer{}
	err := proto.Unmarshal(message.Payload, answer)
	return Reply{Answer: answer}, err
}
