package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/requests"
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
	m.leaderRequests.Tick(m.now, m.hostedShard(ConfigurationShard))
}

// receiveRead begins a read if this node leads the configuration.
func (m *Machine) receiveRead(from member.ID, message protocol.Message) {
	if m.leaderRequests.ReceiveRead(m.hostedShard(message.Shard), from, message) {
		m.processReady(m.shards[message.Shard])
	}
}

// finishReads answers the reads that a quorum has confirmed.
func (m *Machine) finishReads(hosted *shard, ready replication.Ready) {
	state, ok := hosted.state.(*shardstate.Configuration)
	if !ok {
		return
	}
	if err := m.leaderRequests.FinishReads(state, ready); err != nil {
		hosted.badEntries++
	}
}

// hostedShard returns a shard as the leader's side of requests sees it, or nil if this
// node does not host it.
func (m *Machine) hostedShard(shardID uint32) requests.Shard {
	if hosted := m.shards[shardID]; hosted != nil {
		return hostedShard{machine: m, shard: hosted}
	}
	return nil
}

// hostedShard is a shard that this node hosts, for the machines of single concerns.
type hostedShard struct {
	machine *Machine
	*shard
}

// IsLeader implements requests.Shard.
func (s hostedShard) IsLeader() bool { return s.isLeader() }

// ChangeProposed implements requests.Shard.
func (s hostedShard) ChangeProposed(from member.ID, request uint64) bool {
	return s.hasProposal(func(open proposal) bool {
		return open.from == from && open.request == request && open.message.Type == protocol.MessageChange
	})
}

// ProposeChange implements requests.Shard.
func (s hostedShard) ProposeChange(from member.ID, message protocol.Message) {
	s.machine.propose(s.shard, message.Payload, proposal{from: from, request: message.Request, message: message})
}

// ConfirmedEverywhere implements requests.Shard and rollout.Shard.
func (s hostedShard) ConfirmedEverywhere(revision uint64) bool {
	return s.machine.confirmedEverywhere(s.shard, revision)
}

// RequestRead implements requests.Shard.
func (s hostedShard) RequestRead() (uint64, error) { return s.group.RequestRead(s.machine.now) }
