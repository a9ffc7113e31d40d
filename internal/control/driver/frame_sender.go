package driver

import (
	"sync/atomic"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Distance classifies the zone of a message's receiver in relation to that of the sender.
type Distance int

// The values of Distance.
const (
	// SameZone and OtherZone mean a receiver in the sender's zone and in another one.
	SameZone Distance = iota
	OtherZone
	// UnknownZone means that the receiver's zone is not known, as with the address of a seed
	// whose node is not known yet.
	UnknownZone
	distanceCount
)

// String returns the name of the distance in metrics.
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

// SentCount counts the messages of one kind that a node has sent over one distance.
type SentCount struct {
	Kind     wire.MessageKind
	Distance Distance
	Frames   uint64
	// Bytes is the total size of the frames, without their length prefixes and the overhead
	// of connections.
	Bytes uint64
}

// sentCounts counts the frames that a node sends. It is safe for concurrent use.
type sentCounts [wire.KindCount][distanceCount]struct{ frames, bytes atomic.Uint64 }

func (c *sentCounts) add(frame []byte, distance Distance) {
	count := &c[wire.MessageKindOf(frame)][distance]
	count.frames.Add(1)
	count.bytes.Add(uint64(len(frame)))
}

// distanceBetween compares the zone of this node with another one, which is "" if unknown.
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

// all returns the counts that are not zero.
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

// frameSender encodes, sends and counts the messages of this node. It is safe for concurrent
// use.
type frameSender struct {
	deployment string
	self       member.Info
	sender     Sender
	sent       sentCounts
}

// send sends a message to an address; zone is "" if it is not known.
func (s *frameSender) send(address, zone string, envelope wire.Envelope) {
	envelope.Deployment = s.deployment
	s.sendFrame(address, zone, wire.Encode(envelope))
}

func (s *frameSender) sendFrame(address, zone string, frame []byte) {
	s.sent.add(frame, distanceBetween(s.self.Zone, zone))
	s.sender.Send(address, frame)
}

// sendTraffic sends a batch of traffic updates, encoded once for all receivers.
func (s *frameSender) sendTraffic(send gossip.Outbound) {
	frame := wire.Encode(wire.Envelope{Deployment: s.deployment, From: s.self.ID, Traffic: &send.Batch})
	for _, to := range send.To {
		s.sendFrame(to.Address, to.Zone, frame)
	}
}
