package replication_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

const (
	randomSchedules = 2000
	faultyTicks     = 200
	healedTicks     = 150
)

var _ = Describe("random schedules", func() {
	It("keep one history, one owner an epoch and one lease holder, and end in agreement", func() {
		var committed, epochs, reads, leases int
		for seed := range uint64(randomSchedules) {
			c := randomCluster(seed)
			for range faultyTicks {
				randomEvent(c)
				c.advance()
				leases += c.leaseHolders()
			}
			healAll(c)
			expectAgreement(c, seed)
			committed += int(c.highest)
			epochs += len(c.owners)
			for _, n := range c.nodes {
				reads += n.answered
			}
		}
		// The schedules would prove nothing if they never came to the point.
		Expect(epochs).To(BeNumerically(">", 2*randomSchedules))
		Expect(committed).To(BeNumerically(">", 10*randomSchedules))
		Expect(reads).To(BeNumerically(">", randomSchedules))
		Expect(leases).To(BeNumerically(">", randomSchedules))
	})
})

func randomCluster(seed uint64) *cluster {
	random := rand.New(rand.NewPCG(seed, 7))
	ids := []member.ID{"n1", "n2", "n3", "n4", "n5"}[:3+2*random.IntN(2)]
	c := newCluster(random, ids...)
	c.faults = faults{lose: 0.1, double: 0.1, stall: 0.1, maxDelay: 20 * time.Millisecond}
	for _, n := range c.nodes {
		n.offset = time.Duration(random.Int64N(int64(time.Hour)))
		// Clocks differ by a tenth of what the margin covers over the lease.
		n.drift = time.Duration(random.IntN(21) - 10)
		c.start(n)
	}
	return c
}

func randomEvent(c *cluster) {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	other := c.nodes[c.random.IntN(len(c.nodes))]
	switch roll := c.random.IntN(100); {
	case n.group == nil && roll < 50:
		c.start(n)
	case n.group == nil:
	case roll < 40:
		if _, err := n.group.Propose(c.clock(n), fmt.Append(nil, c.now)); err == nil {
			c.drain(n)
		}
	case roll < 60:
		c.read(n)
	case roll < 64:
		c.crash(n, c.random.IntN(2) == 0)
	case roll < 70:
		c.cut[link{n.id, other.id}] = true
	case roll < 72:
		for _, peer := range c.nodes {
			c.cut[link{n.id, peer.id}] = true
			c.cut[link{peer.id, n.id}] = true
		}
	case roll < 78:
		clear(c.cut)
	case roll < 80:
		if n.group.HandOver(c.clock(n)) == nil {
			c.drain(n)
		}
	case roll < 83:
		// Compacting twice at one index is refused, which is fine here.
		_ = c.compact(n)
	case roll < 84 && !c.wiped:
		// More lost disks than this could hold all copies of an entry.
		c.wiped = true
		c.wipe(n)
	default:
		c.release(n)
	}
}

func (c *cluster) leaseHolders() int {
	holders := 0
	for _, n := range c.nodes {
		if n.group != nil && n.group.MayCommand(c.clock(n)) {
			holders++
		}
	}
	return holders
}

func healAll(c *cluster) {
	clear(c.cut)
	c.faults = faults{maxDelay: time.Millisecond}
	for _, n := range c.nodes {
		if n.group == nil {
			c.start(n)
		}
		c.release(n)
	}
	for range healedTicks {
		c.advance()
	}
}

// expectAgreement expects one owner, and all that anyone ever applied to be
// applied everywhere.
func expectAgreement(c *cluster, seed uint64) {
	owners := 0
	for _, n := range c.nodes {
		status := n.group.Status()
		if status.Role == replication.RoleOwner {
			owners++
		}
		Expect(status.Applied).To(Equal(c.highest), "seed %d: %s lags", seed, n.id)
		Expect(n.applied).To(Equal(c.digests[c.highest]), "seed %d: %s differs", seed, n.id)
	}
	Expect(owners).To(Equal(1), "seed %d: owners", seed)
	Expect(c.leaseHolders()).To(Equal(1), "seed %d: lease holders", seed)
}
