package control

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// ErrNoQuorum is returned for a read that no quorum has confirmed in time.
var ErrNoQuorum = errors.New("no quorum of the nodes with disks has confirmed the read in time; try again, at another node")

// ErrBehind is returned for a read whose revision a quorum has confirmed, while
// the node has not received that revision.
var ErrBehind = errors.New("the newest configuration has not reached this node in time; try again, at another node")

// pendingRead is what a node reads at the leader of the configuration, and that
// waits for a quorum.
type pendingRead struct {
	from    member.ID
	request uint64
	kind    protocol.MessageType
}

// ReadSource asks for the source document in force. The Reply carries the ticket
// and the document, which is empty if there is none.
func (m *Machine) ReadSource(now time.Duration, ticket uint64) Output {
	m.now = now
	m.beginRequest(&pendingRequest{ticket: ticket, kind: protocol.MessageReadSource})
	return m.takeOutput()
}

// ReadConfiguration asks for the configuration in force. The leader tells its
// revision, as a quorum confirms it, and the node answers by its own copy once
// that is as new. The Reply carries the ticket and the configuration.
func (m *Machine) ReadConfiguration(now time.Duration, ticket uint64) Output {
	m.now = now
	m.beginRequest(&pendingRequest{ticket: ticket, kind: protocol.MessageReadRevision})
	return m.takeOutput()
}

// answerReads answers the reads of the configuration for which this node's copy
// is new enough.
func (m *Machine) answerReads() {
	configuration := m.received.Configuration()
	for _, pending := range slices.Clone(m.requests.pending) {
		if pending.confirmed && configuration.GetRevision() >= pending.minRevision {
			m.completeRequest(pending, Reply{Configuration: configuration})
		}
	}
}

// receiveRead begins a read if this node leads the shard. The leader's own copy
// may be outdated if another leader was elected, so that a quorum has to confirm its
// leadership first.
func (m *Machine) receiveRead(from member.ID, message protocol.Message) {
	hosted := m.shards[message.Shard]
	if hosted == nil || message.Shard != ConfigurationShard || !hosted.isLeader() {
		m.redirectToLeader(from, message)
		return
	}
	requested := pendingRead{from: from, request: message.Request, kind: message.Type}
	for _, open := range hosted.reads {
		if open == requested {
			return
		}
	}
	id, err := hosted.group.RequestRead(m.now)
	if err != nil {
		m.redirectToLeader(from, message)
		return
	}
	hosted.reads[id] = requested
	m.processReady(hosted)
}

// finishReads answers the reads that a quorum has confirmed. Who asked for one
// that failed asks again.
func (m *Machine) finishReads(hosted *shard, ready replication.Ready) {
	for _, id := range ready.ReadsFailed {
		delete(hosted.reads, id)
	}
	for _, read := range ready.Reads {
		requested, open := hosted.reads[read.ID]
		delete(hosted.reads, read.ID)
		if open {
			m.answerRead(hosted, requested)
		}
	}
}

func (m *Machine) answerRead(hosted *shard, requested pendingRead) {
	state, ok := hosted.state.(*shardstate.Configuration)
	if !ok {
		return
	}
	reply := protocol.Message{
		Type:     replyTypes[requested.kind],
		Shard:    hosted.id,
		Request:  requested.request,
		Accepted: true,
		Revision: state.Revision(),
	}
	if requested.kind == protocol.MessageReadSource {
		payload, err := proto.Marshal(state.Source())
		if err != nil {
			hosted.badEntries++
			return
		}
		reply.Payload = payload
	}
	m.sendControl(requested.from, reply)
}

// decodeReply reads the leader's answer to an order or a read.
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
