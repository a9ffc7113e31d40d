package driver

import (
	"sync/atomic"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Distance is where the receiver of a message is, as seen from its sender.
type Distance int

// The distances.
const (
	// SameZone and OtherZone are seen from the sender's zone.
	SameZone Distance = iota
	OtherZone
	// UnknownZone is that of a seed whose node is not known yet.
	UnknownZone
	distanceCount
)

// String is the name of a distance in metrics.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "same"
	case OtherZone:
		return "other"
	default:
		return "unknown"
	}
}

// SentCount is how much of one kind of message a node has sent so far.
type SentCount struct {
	Kind     wire.MessageKind
	Distance Distance
	Frames   uint64
	// Bytes are those of frames, without their lengths and the cost of connections.
	Bytes uint64
}

// sentCounts counts the frames that a node sends. It is safe for concurrent use.
type sentCounts [wire.KindCount][distanceCount]struct{ frames, bytes atomic.Uint64 }

func (c *sentCounts) add(frame []byte, distance Distance) {
	count := &c[wire.MessageKindOf(frame)][distance]
	count.frames.Add(1)
	count.bytes.Add(uint64(len(frame)))
}

// distanceBetween compares two zones; an unknown one is "".
func distanceBetween(self, other string) Distance {
	switch other {
	case "":
		return UnknownZone
	case self:
		return SameZone
	default:
		return OtherZone
	}
}

// all returns the counts of all kinds of messages that have been sent.
func (c *sentCounts) all() []SentCount {
	var counts []SentCount
	for kind := range wire.KindCount {
		for to := range distanceCount {
			count := &c[kind][to]
			if frames := count.frames.Load(); frames > 0 {
				counts = append(counts, SentCount{Kind: kind, Distance: to, Frames: frames, Bytes: count.bytes.Load()})
			}
		}
	}
	return counts
}

// frameSender encodes and sends the messages of this node, and owns the counts of them. It
// is safe for concurrent use.
type frameSender struct {
	deployment string
	self       member.Info
	sender     Sender
	sent       sentCounts
}

// send sends a message to an address in a zone, "" if that is not known.
func (s *frameSender) send(address, zone string, envelope wire.Envelope) {
	envelope.Deployment = s.deployment
	s.sendFrame(address, zone, wire.Encode(envelope))
}

func (s *frameSender) sendFrame(address, zone string, frame []byte) {
	s.sent.add(frame, distanceBetween(s.self.Zone, zone))
	s.sender.Send(address, frame)
}

// sendTraffic sends a batch of updates about traffic, encoded once for all receivers.
func (s *frameSender) sendTraffic(send gossip.Outbound) {
	frame := wire.Encode(wire.Envelope{Deployment: s.deployment, From: s.self.ID, Traffic: &send.Batch})
	for _, to := range send.To {
		s.sendFrame(to.Address, to.Zone, frame)
	}
}
