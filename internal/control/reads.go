package control

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// ErrNoQuorum is returned for a read that no quorum has confirmed in time.
var ErrNoQuorum = errors.New("no quorum of the nodes with disks has confirmed the read in time; try again, at another node")

// sourceRead is a node's read of the source document that waits for a quorum.
type sourceRead struct {
	from    member.ID
	request uint64
}

// ReadSource asks for the source document in force. The Reply carries the ticket
// and the document, which is empty if there is none.
func (m *Machine) ReadSource(now time.Duration, ticket uint64) Output {
	m.now = now
	m.begin(&pendingOrder{ticket: ticket, kind: protocol.MessageReadSource})
	return m.take()
}

// receiveReadSource begins a read if this node leads the shard. The leader's own
// copy may be outdated if another leader was elected, so that a quorum has to
// confirm its leadership first.
func (m *Machine) receiveReadSource(from member.ID, message protocol.Message) {
	hosted := m.shards[message.Shard]
	if hosted == nil || message.Shard != ConfigurationShard || !hosted.leads() {
		m.refuseOrder(from, message)
		return
	}
	wanted := sourceRead{from: from, request: message.Request}
	for _, open := range hosted.reads {
		if open == wanted {
			return
		}
	}
	id, err := hosted.group.RequestRead(m.now)
	if err != nil {
		m.refuseOrder(from, message)
		return
	}
	hosted.reads[id] = wanted
	m.pump(hosted)
}

// finishReads answers the reads that a quorum has confirmed. Who asked for one
// that failed asks again.
func (m *Machine) finishReads(hosted *shard, ready replication.Ready) {
	for _, id := range ready.ReadsFailed {
		delete(hosted.reads, id)
	}
	for _, read := range ready.Reads {
		wanted, open := hosted.reads[read.ID]
		delete(hosted.reads, read.ID)
		if open {
			m.answerRead(hosted, wanted)
		}
	}
}

func (m *Machine) answerRead(hosted *shard, wanted sourceRead) {
	state, ok := hosted.state.(*configurationShard)
	if !ok {
		return
	}
	payload, err := proto.Marshal(state.Source())
	if err != nil {
		hosted.badEntries++
		return
	}
	m.sendControl(wanted.from, protocol.Message{
		Type:     protocol.MessageReadSourceReply,
		Shard:    hosted.id,
		Request:  wanted.request,
		Accepted: true,
		Payload:  payload,
	})
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
