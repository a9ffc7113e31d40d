package sim

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
)

// Latencies of the network in its normal state.
const (
	minLatency       = 200 * time.Microsecond
	zoneLatency      = time.Millisecond
	crossZoneLatency = 4 * time.Millisecond
	// duplicateSpread bounds the time between the copies of a duplicated frame.
	duplicateSpread = 50 * time.Millisecond
)

// network carries frames between nodes. Frames may overtake each other also in
// its normal state.
type network struct {
	env          *environment
	machines     *machines
	connectivity *connectivity
	checks       *checks

	// blocked counts the partitions on the link from one node to another.
	blocked [][]int
	storms  []*storm
	// Counters of what the network did.
	sent, lost, duplicated uint64
}

// storm is a span in which frames are lost, duplicated and delayed.
type storm struct {
	loss      float64
	duplicate float64
	delay     time.Duration
}

// connect opens the links between as many nodes as a run may have.
func (n *network) connect(nodes int) {
	n.blocked = make([][]int, nodes)
	for from := range n.blocked {
		n.blocked[from] = make([]int, nodes)
	}
}

// changeBlocked blocks (change 1) or opens (change -1) the links from some nodes
// to others.
func (n *network) changeBlocked(from, to []*node, change int) {
	for _, source := range from {
		for _, target := range to {
			n.connectivity.recordLinkChange(source, target)
			if source != target {
				n.blocked[source.index][target.index] += change
			}
		}
	}
}

// isolate blocks all links of a node, both ways.
func (n *network) isolate(one *node) {
	n.changeBlocked([]*node{one}, n.machines.nodes, 1)
	n.changeBlocked(n.machines.nodes, []*node{one}, 1)
}

// reconnect ends an isolation.
func (n *network) reconnect(one *node) {
	n.changeBlocked([]*node{one}, n.machines.nodes, -1)
	n.changeBlocked(n.machines.nodes, []*node{one}, -1)
}

// send carries a message to the node that listens at its address at the time of
// sending.
func (n *network) send(from *node, send control.Send) {
	to := n.machines.listeningAt(send.Address)
	if to == nil || n.env.broken(BreakNoProbes) && from.breaks.isProbe(send.Envelope) {
		return
	}
	n.sent++
	from.breaks.recordAppended(send.Envelope)
	n.checks.relayed(send.Envelope.Relay)
	frame := wire.Encode(send.Envelope)
	n.deliver(from, to, frame)
	for _, active := range n.storms {
		if n.env.chance(active.duplicate) {
			n.duplicated++
			n.env.after(n.env.upTo(duplicateSpread), func() { n.deliver(from, to, frame) })
		}
	}
}

// deliver takes one copy of a frame to a node, unless it is lost. A partition
// loses what arrives during it as well as what is sent.
func (n *network) deliver(from, to *node, frame []byte) {
	if n.drops(from, to) {
		n.lost++
		return
	}
	process := to.process
	n.env.after(n.latency(from, to), func() {
		if n.blocked[from.index][to.index] > 0 {
			n.lost++
			return
		}
		to.receive(process, frame)
	})
}

func (n *network) drops(from, to *node) bool {
	if n.blocked[from.index][to.index] > 0 {
		return true
	}
	return n.stormLoses()
}

// stormLoses reports whether a storm loses one frame, or one call to a replica.
func (n *network) stormLoses() bool {
	for _, active := range n.storms {
		if n.env.chance(active.loss) {
			return true
		}
	}
	return false
}

func (n *network) latency(from, to *node) time.Duration {
	latency := minLatency + n.env.upTo(zoneLatency)
	if from.info.Zone != to.info.Zone {
		latency += n.env.upTo(crossZoneLatency)
	}
	for _, active := range n.storms {
		latency += n.env.upTo(active.delay)
	}
	return latency
}

// connected reports whether the links between a node and others are open both
// ways.
func (n *network) connected(one *node, others []*node) bool {
	return lo.EveryBy(others, func(other *node) bool {
		return n.blocked[one.index][other.index] == 0 && n.blocked[other.index][one.index] == 0
	})
}
