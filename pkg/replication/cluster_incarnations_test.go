package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

func (c *cluster) start(n *node) {
	config := c.config
	config.Self = n.id
	config.Learner = n.learner
	config.Incarnation = n.incarnation
	if !n.founder || (c.withoutFounders && n.startCount%2 == 1 && n.diskKnowsGroup()) {
		config.Founders = nil
	}
	group, err := replication.New(config, n.disk, c.clock(n))
	Expect(err).NotTo(HaveOccurred())
	n.group = group
	group.ExpectState()
	n.startCount++
	if n.announced {
		group.SetPeers(c.clock(n), c.peers())
	} else {
		n.announced = true
		c.gossip()
	}
	n.reads = map[uint64]uint64{}
	n.applied, n.appliedIndex = 0, 0
	if n.disk.Snapshot != nil {
		c.restore(n, n.disk.Snapshot)
	}
}

// crash stops the node and discards the pending Ready; with synced, its write has reached the
// disk.
func (c *cluster) crash(n *node, synced bool) {
	if n.pendingReady != nil && synced {
		n.write(*n.pendingReady)
	}
	n.pendingReady = nil
	n.group = nil
}

func (c *cluster) wipe(n *node) {
	c.crash(n, false)
	n.disk = replication.Restored{}
	n.incarnation = nextIncarnation(n.incarnation)
	n.learner = true
}

// nextIncarnation returns an incarnation that was not used before. The numbers are in no
// particular order.
func nextIncarnation(incarnation uint64) uint64 {
	const multiplier, increment = 2862933555777941757, 3037000493
	return incarnation*multiplier + increment
}

// loseDisk stops the node, which starts again with an empty disk in a new incarnation.
func (c *cluster) loseDisk(n *node) {
	c.wipe(n)
	n.learner = false
	n.slots = nil
	n.diskLostAt = c.now
	c.disksLost++
}

// end stops the node permanently, and its disk is lost.
func (c *cluster) end(n *node) {
	c.loseDisk(n)
	n.gone = true
}

func (n *node) diskKnowsGroup() bool {
	return n.disk.Snapshot != nil || len(n.disk.Entries) > 0
}

func (n *node) voter() replication.Voter {
	return replication.Voter{ID: n.id, Incarnation: n.incarnation}
}

// intactAfter reports whether each group that any node uses keeps a majority of intact voters
// when the disk of the given node is lost as well.
func (c *cluster) intactAfter(loss *node) bool {
	for _, n := range c.nodes {
		voters, intact := 0, 0
		for _, slot := range n.slots {
			if slot.Learner {
				continue
			}
			voters++
			if slot.ID != loss.id && slot.Voter == c.node(slot.ID).voter() {
				intact++
			}
		}
		if c.elastic && voters > 0 {
			voters += c.maybeAdded(n, loss)
		}
		if voters > 0 && intact <= voters/2 {
			return false
		}
	}
	return true
}

// lateContact is how long after its end a node may still count as heard from, also by a node
// that was paused.
const lateContact = time.Second

// maybeAdded counts the recently lost incarnations without a vote in the group that the node
// uses. The leader may still give them a vote, as it has not noticed their loss yet.
func (c *cluster) maybeAdded(n, loss *node) int {
	added := 0
	for _, lost := range c.nodes {
		recent := lost == loss || (lost.diskLostAt > 0 && c.now < lost.diskLostAt+lateContact)
		if recent && !slices.ContainsFunc(n.slots, func(p replication.Slot) bool { return p.ID == lost.id && !p.Learner }) {
			added++
		}
	}
	return added
}
