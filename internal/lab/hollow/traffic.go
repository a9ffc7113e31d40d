package hollow

import (
	"sync/atomic"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/wire"
)

// lengthBytes is the length of the prefix that the transport adds to a frame.
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

// counter counts messages and their bytes on the wire. It is safe for concurrent use.
type counter struct {
	messages, bytes atomic.Uint64
}

func (c *counter) add(frame []byte) {
	c.messages.Add(1)
	c.bytes.Add(uint64(lengthBytes + len(frame)))
}

func (c *counter) read() count {
	return count{messages: c.messages.Load(), bytes: c.bytes.Load()}
}

// meter counts the messages of one node by kind. It is safe for concurrent use.
type meter struct {
	// crossZone counts those of sent that went to other zones.
	sent, crossZone, received [wire.KindCount]counter
}

// reading is what one node's meter showed at an instant.
type reading struct {
	sent, crossZone, received [wire.KindCount]count
}

func (m *meter) read() reading {
	var now reading
	for kind := range wire.KindCount {
		now.sent[kind] = m.sent[kind].read()
		now.crossZone[kind] = m.crossZone[kind].read()
		now.received[kind] = m.received[kind].read()
	}
	return now
}

func (r reading) plus(other reading) reading { return r.combine(other, count.plus) }

func (r reading) minus(earlier reading) reading { return r.combine(earlier, count.minus) }

// combine combines each count with that of another reading.
func (r reading) combine(other reading, operation func(a, b count) count) reading {
	for kind := range wire.KindCount {
		r.sent[kind] = operation(r.sent[kind], other.sent[kind])
		r.crossZone[kind] = operation(r.crossZone[kind], other.crossZone[kind])
		r.received[kind] = operation(r.received[kind], other.received[kind])
	}
	return r
}

// total is all that was sent and received.
func (r reading) total() (sent, received count) {
	for kind := range wire.KindCount {
		sent = sent.plus(r.sent[kind])
		received = received.plus(r.received[kind])
	}
	return sent, received
}

// KindRate is the rate of one kind of message, as the mean of the nodes of a role.
type KindRate struct {
	Kind             string  `json:"kind"`
	SentMessages     float64 `json:"sent_messages_s"`
	SentBytes        float64 `json:"sent_bytes_s"`
	ReceivedMessages float64 `json:"received_messages_s"`
	ReceivedBytes    float64 `json:"received_bytes_s"`
}

// Rates are what the nodes of one role send and receive a second, as means of the nodes.
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

// ratesOf returns the rates of some nodes, from what each sent and received in a time.
func ratesOf(nodes []reading, elapsed time.Duration) Rates {
	rates := Rates{Nodes: len(nodes)}
	if len(nodes) == 0 {
		return rates
	}
	var all reading
	for _, node := range nodes {
		all = all.plus(node)
		sent, received := node.total()
		rates.BusiestBytes = max(rates.BusiestBytes, float64(sent.bytes+received.bytes)/elapsed.Seconds())
	}
	perNode := 1 / (elapsed.Seconds() * float64(len(nodes)))
	sent, received := all.total()
	rates.SentMessages = float64(sent.messages) * perNode
	rates.SentBytes = float64(sent.bytes) * perNode
	rates.ReceivedMessages = float64(received.messages) * perNode
	rates.ReceivedBytes = float64(received.bytes) * perNode
	for kind := range wire.KindCount {
		if all.sent[kind].messages+all.received[kind].messages > 0 {
			rates.Kinds = append(rates.Kinds, kindRate(kind, all, perNode))
		}
	}
	return rates
}

// kindRate returns the rate of one kind; perNode turns a sum of all nodes into a rate
// of one.
func kindRate(kind wire.MessageKind, all reading, perNode float64) KindRate {
	return KindRate{
		Kind:             kind.String(),
		SentMessages:     float64(all.sent[kind].messages) * perNode,
		SentBytes:        float64(all.sent[kind].bytes) * perNode,
		ReceivedMessages: float64(all.received[kind].messages) * perNode,
		ReceivedBytes:    float64(all.received[kind].bytes) * perNode,
	}
}
