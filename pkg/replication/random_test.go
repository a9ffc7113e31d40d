package replication_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

var schedules = flag.Int("schedules", randomSchedules, "number of random schedules")

const (
	randomSchedules = 2000
	faultyTicks     = 200
	healedTicks     = 200
	// neverRepairedEvery means that in one of so many schedules a disk is lost whose member
	// stays a learner, instead of several losses after which the members get their votes
	// again.
	neverRepairedEvery = 4
)

var _ = Describe("random schedules", func() {
	It("apply one sequence of entries, have one leader per term and one lease holder, and end in agreement", func() {
		var committed, terms, reads, leases, lost, recoveries int
		for seed := range uint64(*schedules) {
			c := randomCluster(seed)
			for range faultyTicks {
				randomEvent(c)
				c.advance()
				leases += c.leaseHolders()
			}
			healAll(c)
			expectAgreement(c, seed)
			committed += int(c.highestApplied)
			lost += c.disksLost
			recoveries += c.recoveries
			terms += len(c.leaders)
			for _, n := range c.nodes {
				reads += n.readsServed
			}
		}
		// The test is only meaningful if the schedules reach these situations often enough.
		Expect(terms).To(BeNumerically(">", 2**schedules))
		Expect(committed).To(BeNumerically(">", 10**schedules))
		Expect(reads).To(BeNumerically(">", *schedules))
		Expect(leases).To(BeNumerically(">", *schedules))
		Expect(lost).To(BeNumerically(">", 2**schedules))
		Expect(recoveries).To(BeNumerically(">", *schedules/10))
	})
})

func randomCluster(seed uint64) *cluster {
	random := rand.New(rand.NewPCG(seed, 7))
	ids := []member.ID{"n1", "n2", "n3", "n4", "n5"}[:3+2*random.IntN(2)]
	c := newCluster(random, ids...)
	c.neverRepaired = seed%neverRepairedEvery == 0
	c.majorityLost = seed%neverRepairedEvery == 1
	// Unresponsive members are not removed here; the elastic schedules cover that.
	c.config.RemoveAfter = time.Hour
	c.faults = faults{lose: 0.1, duplicate: 0.1, stall: 0.1, maxDelay: 20 * time.Millisecond}
	for _, n := range c.nodes {
		n.offset = time.Duration(random.Int64N(int64(time.Hour)))
		// Each clock deviates by at most 1 %, a tenth of what the margin covers over the
		// lease.
		n.drift = time.Duration(random.IntN(21) - 10)
		c.start(n)
	}
	return c
}

func randomEvent(c *cluster) {
	nodes := c.present()
	n := nodes[c.random.IntN(len(nodes))]
	other := nodes[c.random.IntN(len(nodes))]
	switch roll := c.random.IntN(100); {
	case n.group == nil && roll < 50:
		c.start(n)
	case n.group == nil:
	case roll < 40:
		if _, err := n.group.Propose(c.clock(n), fmt.Append(nil, c.now)); err == nil {
			c.drain(n)
		}
	case roll < 60:
		// This includes a process that was paused until now and has not yet been told the
		// time.
		n.pausedUntil = c.now
		c.read(n)
	case roll < 64:
		c.crash(n, c.random.IntN(2) == 0)
	case roll < 70:
		c.blocked[link{n.id, other.id}] = true
	case roll < 72:
		for _, peer := range c.nodes {
			c.blocked[link{n.id, peer.id}] = true
			c.blocked[link{peer.id, n.id}] = true
		}
	case roll < 78:
		clear(c.blocked)
	case roll < 80:
		if n.group.TransferLeadership(c.clock(n)) == nil {
			c.drain(n)
		}
	case roll < 83:
		// Compacting again at the same index is rejected, which is harmless here.
		_ = c.compact(n)
	case roll < 84 && c.neverRepaired && !c.wiped:
		c.wiped = true
		c.wipe(n)
	case roll < 86 && !c.neverRepaired && c.intactAfter(n):
		// Losing more disks than intactAfter allows could lose all replicas of an entry.
		c.loseDisk(n)
	case roll < 87 && c.majorityLost && c.random.IntN(4) == 0:
		for range 1 + c.random.IntN(len(c.nodes)) {
			c.loseDisk(c.nodes[c.random.IntN(len(c.nodes))])
		}
	case roll < 89:
		n.pausedUntil = c.now + time.Duration(c.random.IntN(60))*tickEvery
	default:
		c.release(n)
	}
}

func (c *cluster) leaseHolders() int {
	holders := 0
	for _, n := range c.nodes {
		if n.group != nil && n.group.HasCommandLease(c.clock(n)) {
			holders++
		}
	}
	return holders
}

func healAll(c *cluster) {
	clear(c.blocked)
	c.faults = faults{maxDelay: time.Millisecond}
	for _, n := range c.present() {
		if n.group == nil {
			c.start(n)
		}
		n.pausedUntil = c.now
		c.release(n)
	}
	for range healedTicks {
		c.advance()
	}
}

// expectRepaired expects every member to have a vote in the incarnation of its disk, in a
// committed group that is the same on all members.
func expectRepaired(c *cluster, seed uint64) {
	var fullGroup []replication.Slot
	for _, n := range c.nodes {
		fullGroup = append(fullGroup, replication.Slot{Voter: n.voter()})
	}
	for _, n := range c.nodes {
		status := n.group.Status()
		Expect(status.Slots).To(Equal(fullGroup), "seed %d: the group of %s is not that of all nodes", seed, n.id)
		Expect(status.ChangeIndex).To(BeNumerically("<=", status.Commit), "seed %d: %s", seed, n.id)
		Expect(status.Role).NotTo(Equal(replication.RoleLearner), "seed %d: %s", seed, n.id)
	}
}

// expectAgreement expects one leader, and that every node has applied everything that any
// node has applied.
func expectAgreement(c *cluster, seed uint64) {
	leaders := 0
	for _, n := range c.present() {
		status := n.group.Status()
		if status.Role == replication.RoleLeader {
			leaders++
		}
		Expect(status.Applied).To(Equal(c.highestApplied), "seed %d: %s has not applied all entries", seed, n.id)
		Expect(n.applied).To(Equal(c.digests[c.highestApplied]), "seed %d: the state of %s differs", seed, n.id)
	}
	Expect(leaders).To(Equal(1), "seed %d: number of leaders", seed)
	switch {
	case c.elastic:
		expectAllMembersVote(c, seed)
	case !c.neverRepaired:
		expectRepaired(c, seed)
	}
	Expect(c.leaseHolders()).To(Equal(1), "seed %d: number of lease holders", seed)
}
