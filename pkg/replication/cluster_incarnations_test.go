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

// crash loses the pending Ready, or only what follows its sync.
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

// nextIncarnation never comes back to an earlier incarnation, and orders them
// in no way.
func nextIncarnation(incarnation uint64) uint64 {
	const multiplier, increment = 2862933555777941757, 3037000493
	return incarnation*multiplier + increment
}

// loseDisk ends the node; it starts again under a new incarnation.
func (c *cluster) loseDisk(n *node) {
	c.wipe(n)
	n.learner = false
	n.slots = nil
	n.diskLostAt = c.now
	c.disksLost++
}

// end ends the node and its disk for good.
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

// intactAfter tells whether each group that any node goes by keeps a majority
// when the disk of the node is lost too.
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

// lateContact is how long after its end a node may still count as heard, also by
// one that was paused.
const lateContact = time.Second

// maybeAdded counts the incarnations without a vote in the group that the node
// goes by, which may be given one although they are lost, as the leader has not
// missed them yet.
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
