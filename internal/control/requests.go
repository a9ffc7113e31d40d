package control

import (
	"fmt"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/requests"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// Reply answers an order, or a read, that this node took.
type Reply = requests.Reply

// newRequests returns both sides of operators' requests at a node.
func (m *Machine) newRequests() (*requests.Client, *requests.Leader) {
	times := m.config.Times
	client := requests.NewClient(requests.ClientConfig{
		Timeout:    times.RequestTimeout,
		RetryEvery: times.RetryEvery,
	}, transport{m}, m.numbers, m.leaders)
	config := requests.LeaderConfig{
		AcknowledgeTimeout: times.AcknowledgeTimeout,
		RequestTimeout:     times.RequestTimeout,
	}
	if m.config.FailOpen {
		config.AcknowledgeUnconfirmedAfter = failOpenConfirmationTimeout
	}
	return client, requests.NewLeader(config, transport{m}, m.leaders)
}

// Submit takes an operator's order. The Reply carries the ticket.
func (m *Machine) Submit(now time.Duration, ticket uint64, order *controlpb.Order) Output {
	m.now = now
	m.requests.Submit(now, ticket, order)
	return m.takeOutput()
}

// ReadSource asks for the source document in force. The Reply carries the ticket
// and the document, which is empty if there is none.
func (m *Machine) ReadSource(now time.Duration, ticket uint64) Output {
	m.now = now
	m.requests.ReadSource(now, ticket)
	return m.takeOutput()
}

// ReadConfiguration asks for the configuration in force. The leader tells its
// revision, as a quorum confirms it, and the node answers by its own copy once
// that is as new. The Reply carries the ticket and the configuration.
func (m *Machine) ReadConfiguration(now time.Duration, ticket uint64) Output {
	m.now = now
	m.requests.ReadConfiguration(now, ticket)
	return m.takeOutput()
}

// Cancel ends an order or a read whose reply nobody waits for any more: it is
// not sent again. What was sent already may still take effect.
func (m *Machine) Cancel(now time.Duration, ticket uint64) Output {
	m.now = now
	m.requests.Cancel(ticket)
	return m.takeOutput()
}

// tickRequests repeats and ends requests on both sides.
func (m *Machine) tickRequests() {
	m.requests.Tick(m.now)
	m.leaderRequests.Tick(m.now, m.requestShard(ConfigurationShard))
}

// receiveRead begins a read if this node leads the configuration.
func (m *Machine) receiveRead(from member.ID, message protocol.Message) {
	if m.leaderRequests.ReceiveRead(m.requestShard(message.Shard), from, message) {
		m.shards[message.Shard].Process()
	}
}

// ReadsFinished implements shards.Host: it answers the reads that a quorum has confirmed.
func (h shardHost) ReadsFinished(hosted *shards.Shard, ready replication.Ready) {
	state, ok := hosted.State().(*shardstate.Configuration)
	if !ok {
		return
	}
	if err := h.machine.leaderRequests.FinishReads(state, ready); err != nil {
		hosted.CountBadEntry()
	}
}

// OrderIDPrefix begins the identities of orders that this process makes up. It is
// safe for concurrent use, as it never changes.
func (m *Machine) OrderIDPrefix() string {
	return fmt.Sprintf("node/%s/%d/", m.config.Self.ID, m.config.Self.Incarnation)
}
