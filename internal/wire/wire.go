package wire

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

//go:generate flatc --go --gen-object-api -o . wire.fbs
//go:generate gofmt -w fb

// MaxFrameBytes is the size above which Decode rejects a frame. It equals the limit of
// package transport, which carries the frames.
const MaxFrameBytes = 16 << 20

// identifier is the FlatBuffers file identifier in the frames of this schema. It follows
// the root offset.
const identifier = "RSW1"

const (
	// initialBuilderBytes is the initial size of the buffer in which a frame is built.
	initialBuilderBytes = 512
	// smallestFrameBytes is the total size of the root offset and the identifier.
	smallestFrameBytes = flatbuffers.SizeUOffsetT + len(identifier)
)

// Envelope is the content of one frame: the sender and exactly one message.
type Envelope struct {
	// Deployment names the deployment that the sender belongs to.
	Deployment  string
	From        member.ID
	Incarnation member.Incarnation
	// Shard is the replica group that a Replication message belongs to.
	Shard       uint32
	Replication *replication.Message
	Membership  *membership.Message
	Relay       *relaytree.Message
	Control     *protocol.Message
	Traffic     *gossip.Batch
}

// Encode returns the frame of an envelope. The result shares no memory with
// the envelope.
func Encode(envelope Envelope) []byte {
	table := &fb.EnvelopeT{
		Deployment:  envelope.Deployment,
		From:        string(envelope.From),
		Incarnation: uint64(envelope.Incarnation),
		Shard:       envelope.Shard,
		Replication: packReplication(envelope.Replication),
		Membership:  packMembership(envelope.Membership, envelope.From),
		Relay:       packRelay(envelope.Relay),
		Control:     packControl(envelope.Control),
		Traffic:     packTraffic(envelope.Traffic),
	}
	builder := flatbuffers.NewBuilder(initialBuilderBytes)
	builder.FinishWithFileIdentifier(table.Pack(builder), []byte(identifier))
	return builder.FinishedBytes()
}

// Decode returns the envelope in a frame, or an *Error. The envelope shares no
// memory with the frame.
func Decode(frame []byte) (envelope Envelope, err error) {
	if len(frame) > MaxFrameBytes {
		return Envelope{}, &Error{Kind: ErrorTooLarge, FrameBytes: len(frame)}
	}
	if len(frame) < smallestFrameBytes || !flatbuffers.BufferHasIdentifier(frame, identifier) {
		return Envelope{}, &Error{Kind: ErrorForeign, FrameBytes: len(frame)}
	}
	// The generated accessors follow the offsets in the frame without verifying
	// them: a wrong offset panics in a bounds check.
	defer func() {
		if recover() != nil {
			envelope, err = Envelope{}, &Error{Kind: ErrorMalformed, FrameBytes: len(frame)}
		}
	}()
	reader := &reader{budget: len(frame)}
	envelope = reader.envelope(fb.GetRootAsEnvelope(frame, 0))
	if reader.exhausted {
		return Envelope{}, &Error{Kind: ErrorMalformed, FrameBytes: len(frame)}
	}
	if envelope.messages() != 1 {
		return Envelope{}, &Error{Kind: ErrorMessageCount, FrameBytes: len(frame)}
	}
	return envelope, nil
}

// messages counts the messages that are set.
func (e Envelope) messages() int {
	count := 0
	for _, set := range []bool{e.Replication != nil, e.Membership != nil, e.Relay != nil, e.Control != nil, e.Traffic != nil} {
		if set {
			count++
		}
	}
	return count
}

func (r *reader) envelope(table *fb.Envelope) Envelope {
	sender := member.ID(r.text(table.From()))
	return Envelope{
		Deployment:  r.text(table.Deployment()),
		From:        sender,
		Incarnation: member.Incarnation(table.Incarnation()),
		Shard:       table.Shard(),
		Replication: r.replication(table.Replication(nil)),
		Membership:  r.membership(table.Membership(nil), sender),
		Relay:       r.relay(table.Relay(nil)),
		Control:     r.control(table.Control(nil)),
		Traffic:     r.traffic(table.Traffic(nil)),
	}
}
