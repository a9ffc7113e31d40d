package replication_test

import (
	"cmp"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// faults are the probabilities of faults of a message or a sync.
type faults struct {
	lose, duplicate, stall float64
	maxDelay               time.Duration
}

type link struct{ from, to member.ID }

type packet struct {
	at         time.Duration
	link       link
	startCount int
	m          replication.Message
}

func (c *cluster) post(n *node, outbound replication.Outbound) {
	copies := 1
	if c.random.Float64() < c.faults.lose {
		copies = 0
	} else if c.random.Float64() < c.faults.duplicate {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1 + c.random.Int64N(int64(c.faults.maxDelay)))
		c.enqueue(packet{
			at: c.now + delay, link: link{n.id, outbound.To}, startCount: c.node(outbound.To).startCount, m: outbound.Message,
		})
	}
}

// enqueue inserts the packet in the order of arrival.
func (c *cluster) enqueue(p packet) {
	index, _ := slices.BinarySearchFunc(c.packets, p, func(a, b packet) int {
		return cmp.Or(cmp.Compare(a.at, b.at), -1)
	})
	c.packets = slices.Insert(c.packets, index, p)
}

// advance advances the simulated time by one tick and delivers the packets that are due.
func (c *cluster) advance() {
	end := c.now + tickEvery
	for len(c.packets) > 0 && c.packets[0].at <= end {
		next := c.packets[0]
		c.packets = c.packets[1:]
		c.now = next.at
		c.deliver(next)
	}
	c.now = end
	for _, n := range c.nodes {
		if n.group != nil && c.now >= n.pausedUntil {
			n.group.Tick(c.clock(n))
			c.drain(n)
			c.recoverQuorum(n)
		}
	}
}

func (c *cluster) deliver(p packet) {
	n := c.node(p.link.to)
	// Packets sent before the restart of a permanent learner, whose disk was lost, are
	// dropped. To any other node, packets sent before its restart may still arrive.
	stale := n.learner && p.startCount != n.startCount
	if n.group == nil || c.blocked[p.link] || stale {
		return
	}
	if c.now < n.pausedUntil {
		p.at = n.pausedUntil
		c.enqueue(p)
		return
	}
	Expect(n.group.Step(c.clock(n), p.link.from, p.m)).To(Succeed())
	c.drain(n)
}
