package hollow

import (
	"sync/atomic"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/wire"
)

// lengthBytes is what the transport adds to a frame.
const lengthBytes = 4

// count is a number of messages and their bytes on the wire.
type count struct {
	messages, bytes uint64
}

func (c count) plus(other count) count {
	return count{messages: c.messages + other.messages, bytes: c.bytes + other.bytes}
}

func (c count) minus(other count) count {
	return count{messages: c.messages - other.messages, bytes: c.bytes - other.bytes}
}

// meter counts the messages of one node by kind.
type meter struct {
	// crossZone counts what was sent to other zones.
	sent, crossZone, received [wire.KindCount]struct {
		messages, bytes atomic.Uint64
	}
}

func (m *meter) addSent(of wire.MessageKind, frame []byte) {
	m.sent[of].messages.Add(1)
	m.sent[of].bytes.Add(uint64(lengthBytes + len(frame)))
}

func (m *meter) addCrossZone(of wire.MessageKind, frame []byte) {
	m.crossZone[of].messages.Add(1)
	m.crossZone[of].bytes.Add(uint64(lengthBytes + len(frame)))
}

func (m *meter) addReceived(of wire.MessageKind, frame []byte) {
	m.received[of].messages.Add(1)
	m.received[of].bytes.Add(uint64(lengthBytes + len(frame)))
}

// reading is what one node's meter showed at an instant.
type reading struct {
	sent, crossZone, received [wire.KindCount]count
}

func (m *meter) read() reading {
	var now reading
	for of := range wire.KindCount {
		now.sent[of] = count{messages: m.sent[of].messages.Load(), bytes: m.sent[of].bytes.Load()}
		now.crossZone[of] = count{messages: m.crossZone[of].messages.Load(), bytes: m.crossZone[of].bytes.Load()}
		now.received[of] = count{messages: m.received[of].messages.Load(), bytes: m.received[of].bytes.Load()}
	}
	return now
}

func (r reading) plus(other reading) reading {
	for of := range wire.KindCount {
		r.sent[of] = r.sent[of].plus(other.sent[of])
		r.crossZone[of] = r.crossZone[of].plus(other.crossZone[of])
		r.received[of] = r.received[of].plus(other.received[of])
	}
	return r
}

func (r reading) minus(earlier reading) reading {
	for of := range wire.KindCount {
		r.sent[of] = r.sent[of].minus(earlier.sent[of])
		r.crossZone[of] = r.crossZone[of].minus(earlier.crossZone[of])
		r.received[of] = r.received[of].minus(earlier.received[of])
	}
	return r
}

// total is all that was sent and received.
func (r reading) total() (sent, received count) {
	for of := range wire.KindCount {
		sent = sent.plus(r.sent[of])
		received = received.plus(r.received[of])
	}
	return sent, received
}

// KindRate is the rate of one kind of message, a node.
type KindRate struct {
	Kind             string  `json:"kind"`
	SentMessages     float64 `json:"sent_messages_s"`
	SentBytes        float64 `json:"sent_bytes_s"`
	ReceivedMessages float64 `json:"received_messages_s"`
	ReceivedBytes    float64 `json:"received_bytes_s"`
}

// Rates are what the nodes of one role send and receive, a node.
type Rates struct {
	Nodes            int     `json:"nodes"`
	SentMessages     float64 `json:"sent_messages_s"`
	SentBytes        float64 `json:"sent_bytes_s"`
	ReceivedMessages float64 `json:"received_messages_s"`
	ReceivedBytes    float64 `json:"received_bytes_s"`
	// BusiestBytes is what the busiest of them sends and receives.
	BusiestBytes float64    `json:"busiest_sent_and_received_bytes_s"`
	Kinds        []KindRate `json:"kinds"`
}

// ratesOf works out the rates of some nodes from what each did in a time.
func ratesOf(nodes []reading, elapsed time.Duration) Rates {
	rates := Rates{Nodes: len(nodes)}
	if len(nodes) == 0 {
		return rates
	}
	var all reading
	for _, one := range nodes {
		all = all.plus(one)
		sent, received := one.total()
		rates.BusiestBytes = max(rates.BusiestBytes, float64(sent.bytes+received.bytes)/elapsed.Seconds())
	}
	perNode := 1 / (elapsed.Seconds() * float64(len(nodes)))
	sent, received := all.total()
	rates.SentMessages = float64(sent.messages) * perNode
	rates.SentBytes = float64(sent.bytes) * perNode
	rates.ReceivedMessages = float64(received.messages) * perNode
	rates.ReceivedBytes = float64(received.bytes) * perNode
	for of := range wire.KindCount {
		if all.sent[of].messages+all.received[of].messages > 0 {
			rates.Kinds = append(rates.Kinds, kindRate(of, all, perNode))
		}
	}
	return rates
}

func kindRate(of wire.MessageKind, all reading, perNode float64) KindRate {
	return KindRate{
		Kind:             of.String(),
		SentMessages:     float64(all.sent[of].messages) * perNode,
		SentBytes:        float64(all.sent[of].bytes) * perNode,
		ReceivedMessages: float64(all.received[of].messages) * perNode,
		ReceivedBytes:    float64(all.received[of].bytes) * perNode,
	}
}
