package replication_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

var elasticSchedules = flag.Int("elastic", 120, "how many random schedules are run in which members come and go")

const (
	elasticTicks = 600
	stableTicks  = 100
	// elasticRemoveAfter lets a schedule see many removals.
	elasticRemoveAfter = 300 * time.Millisecond
	maxNodes           = 9
)

// replacement is a node that comes because another goes.
type replacement struct {
	old *node
	// at is when the next step is due: a new node for one that is gone, or the
	// end of one that a new node stands in for.
	at      time.Duration
	planned bool
}

// elasticSchedule is a cluster whose nodes come and go.
type elasticSchedule struct {
	*cluster
	replacements []replacement
	started      int
	// killed counts how often all nodes went down at once.
	killed, planned, unplanned int
}

func newElasticSchedule(seed uint64) *elasticSchedule {
	random := rand.New(rand.NewPCG(seed, 11))
	c := newCluster(random, "n1", "n2", "n3")
	c.elastic, c.forgetful = true, true
	c.config.RemoveAfter = elasticRemoveAfter
	c.faults = faults{lose: 0.05, double: 0.05, stall: 0.05, maxDelay: 20 * time.Millisecond}
	for _, n := range c.nodes {
		n.offset = time.Duration(random.Int64N(int64(time.Hour)))
		n.drift = time.Duration(random.IntN(21) - 10)
		c.start(n)
	}
	return &elasticSchedule{cluster: c, started: len(c.nodes)}
}

// join starts a node that nobody knew before.
func (s *elasticSchedule) join() {
	if len(s.present()) >= maxNodes {
		return
	}
	s.started++
	s.addNode(laterPrefix + "n" + strconv.Itoa(s.started))
	n := s.nodes[len(s.nodes)-1]
	n.incarnation = uint64(1 + s.random.IntN(100))
	n.offset = time.Duration(s.random.Int64N(int64(time.Hour)))
	s.start(n)
}

// event is one of those of a fixed group, or one of an elastic group.
func (s *elasticSchedule) event() {
	s.replace()
	s.restart()
	nodes := s.present()
	n := nodes[s.random.IntN(len(nodes))]
	switch roll := s.random.IntN(200); {
	case roll < 2:
		s.join()
	case roll < 4 && !n.left:
		// Planned: the new one comes first.
		s.join()
		n.left = true
		s.gossip()
		s.replacements = append(s.replacements, replacement{old: n, at: s.now, planned: true})
	case roll < 7 && !n.left && s.intactAfter(n):
		// Unplanned: the new one comes 1 to 2 s later.
		s.end(n)
		s.unplanned++
		wait := time.Second + time.Duration(s.random.Int64N(int64(time.Second)))
		s.replacements = append(s.replacements, replacement{at: s.now + wait})
	case roll < 8 && s.random.IntN(8) == 0:
		s.killed++
		for _, n := range nodes {
			s.crash(n, s.random.IntN(2) == 0)
		}
	case roll < 9:
		s.gossip()
	case roll < 17:
		clear(s.blocked)
	case roll < 57:
		randomEvent(s.cluster)
	case roll < 97 && s.leader() != nil:
		leader := s.leader()
		if _, err := leader.group.Propose(s.clock(leader), fmt.Append(nil, s.now)); err == nil {
			s.drain(leader)
		}
	}
}

// restart starts nodes that are down, some time later.
func (s *elasticSchedule) restart() {
	for _, n := range s.present() {
		if n.group == nil && s.random.IntN(30) == 0 {
			s.start(n)
		}
	}
}

// replace goes on with the replacements that are due.
func (s *elasticSchedule) replace() {
	s.replacements = slices.DeleteFunc(s.replacements, func(r replacement) bool {
		switch {
		case s.now < r.at:
			return false
		case !r.planned:
			s.join()
			return true
		case !s.intactAfter(r.old):
			return false
		default:
			s.end(r.old)
			s.planned++
			return true
		}
	})
}

// endAndVerify ends what was begun, lets the nodes come to rest, and has the group
// prove that it goes on.
func (s *elasticSchedule) endAndVerify(seed uint64) {
	for _, n := range s.present() {
		n.left = false
	}
	s.replacements = nil
	s.gossip()
	healAll(s.cluster)
	for range stableTicks {
		s.advance()
	}
	leader := s.leader()
	Expect(leader).NotTo(BeNil(), "seed %d: no leader", seed)
	before := s.highestApplied
	_, err := leader.group.Propose(s.clock(leader), []byte("last"))
	Expect(err).NotTo(HaveOccurred())
	s.drain(leader)
	for range stableTicks {
		s.advance()
	}
	Expect(s.highestApplied).To(BeNumerically(">", before), "seed %d: nothing is committed", seed)
	expectAgreement(s.cluster, seed)
}

func (c *cluster) leader() *node {
	var leader *node
	for _, n := range c.nodes {
		if n.group == nil {
			continue
		}
		status := n.group.Status()
		if status.Role == replication.RoleLeader && (leader == nil || status.Term > leader.group.Status().Term) {
			leader = n
		}
	}
	return leader
}

// expectAllMembersVote expects every node that is there to vote in the incarnation of its
// disk, on all nodes and finally, and of those that are gone only what an odd
// group keeps.
func expectAllMembersVote(c *cluster, seed uint64) {
	var fullGroup []replication.Slot
	for _, n := range c.present() {
		fullGroup = append(fullGroup, replication.Slot{Voter: n.voter()})
	}
	group := c.leader().group.Status().Slots
	Expect(group).To(ContainElements(fullGroup), "seed %d: a live peer has no vote", seed)
	for _, slot := range group {
		Expect(slot.Learner).To(BeFalse(), "seed %d: a slot is reserved for %s", seed, slot.ID)
	}
	if len(group) > len(fullGroup) {
		Expect(len(group)%2).To(Equal(1), "seed %d: an even group keeps an unresponsive voter", seed)
	}
	for _, n := range c.present() {
		status := n.group.Status()
		Expect(status.Slots).To(Equal(group), "seed %d: %s has another group", seed, n.id)
		Expect(status.ChangeIndex).To(BeNumerically("<=", status.Commit), "seed %d: %s", seed, n.id)
		Expect(status.Role).NotTo(Equal(replication.RoleLearner), "seed %d: %s", seed, n.id)
	}
}

// advanceBy lets time pass.
func (c *cluster) advanceBy(length time.Duration) {
	for end := c.now + length; c.now < end; {
		c.advance()
	}
}

// propose has the present leader commit a command.
func (c *cluster) propose(command string) {
	leader := c.leader()
	ExpectWithOffset(1, leader).NotTo(BeNil())
	index, err := leader.group.Propose(c.clock(leader), []byte(command))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	c.drain(leader)
	c.advanceBy(5 * heartbeatEvery)
	ExpectWithOffset(1, c.highestApplied).To(BeNumerically(">=", index), "%q is not committed", command)
}

func stableCluster(ids ...member.ID) *cluster {
	c := newCluster(rand.New(rand.NewPCG(3, 3)), ids...)
	c.elastic = true
	c.advanceBy(time.Second)
	return c
}

var _ = Describe("an elastic group", func() {
	It("keeps one history and one leader per term in random schedules, and ends with a vote for every member", func() {
		var committed, lost, killed, planned, unplanned, started int
		for seed := range uint64(*elasticSchedules) {
			s := newElasticSchedule(seed)
			for range elasticTicks {
				s.event()
				s.advance()
			}
			s.endAndVerify(seed)
			committed += int(s.highestApplied)
			lost += s.disksLost
			killed += s.killed
			planned += s.planned
			unplanned += s.unplanned
			started += s.started
		}
		GinkgoWriter.Println("committed", committed, "lost", lost, "killed", killed, "planned", planned, "unplanned", unplanned, "started", started)
		Expect(committed).To(BeNumerically(">", 30**elasticSchedules))
		Expect(lost).To(BeNumerically(">", *elasticSchedules))
		Expect(killed).To(BeNumerically(">", *elasticSchedules/4))
		Expect(planned).To(BeNumerically(">", *elasticSchedules))
		Expect(unplanned).To(BeNumerically(">", *elasticSchedules))
		Expect(started).To(BeNumerically(">", 6**elasticSchedules))
	})

	It("grows from three to five to nine voters, and no further", func() {
		ids := []member.ID{"n1", "n2", "n3"}
		for i := 4; i <= 10; i++ {
			ids = append(ids, member.ID(fmt.Sprint(laterPrefix, "n", i)))
		}
		c := stableCluster(ids...)
		for i, voters := range []int{4, 5, 6, 7, 8, 9, 9} {
			c.start(c.nodes[3+i])
			c.advanceBy(10 * heartbeatEvery)
			Expect(c.leader().group.Status().Voters).To(HaveLen(voters))
			c.propose("grown")
		}
		Expect(c.nodes[9].group.Status().Role).To(Equal(replication.RoleLearner))
		Expect(c.nodes[9].appliedIndex).To(Equal(c.highestApplied))
	})

	It("goes on with the old voters as they go one after the other, each after a new one came", func() {
		c := stableCluster("n1", "n2", "n3", "-n4", "-n5", "-n6")
		for i := range 3 {
			c.propose("before")
			c.start(c.nodes[3+i])
			c.advanceBy(10 * heartbeatEvery)
			old := c.nodes[i]
			old.left = true
			c.gossip()
			if old == c.leader() {
				Expect(old.group.TransferLeadership(c.clock(old))).To(Succeed())
				c.drain(old)
				c.advanceBy(electionTimeout)
			}
			c.end(old)
			c.advanceBy(2*electionTimeout + 10*heartbeatEvery)
			c.propose("after")
		}
		Expect(c.leader().group.Status().Voters).To(Equal([]member.ID{"n4", "n5", "n6"}))
		expectAgreement(c, 0)
	})

	It("takes a new member in for one of a full group that is gone", func() {
		c := stableCluster("max=3", "n1", "n2", "n3", "+n4")
		Expect(c.leader().group.Status().Voters).To(HaveLen(3))
		c.end(c.node("n3"))
		c.advanceBy(replication.DefaultRemoveAfter + 10*heartbeatEvery)
		Expect(c.leader().group.Status().Voters).To(Equal([]member.ID{"n1", "n2", "n4"}))
	})

	It("keeps the unresponsive voter of an odd group, and that of an even one for a while", func() {
		c := stableCluster("n1", "n2", "n3", "-n4")
		c.crash(c.node("n3"), true)
		c.advanceBy(2 * replication.DefaultRemoveAfter)
		Expect(c.leader().group.Status().Voters).To(HaveLen(3))
		c.start(c.node("n3"))
		c.start(c.node("n4"))
		c.advanceBy(10 * heartbeatEvery)
		c.crash(c.node("n3"), true)
		c.advanceBy(replication.DefaultRemoveAfter - 2*heartbeatEvery)
		Expect(c.leader().group.Status().Voters).To(HaveLen(4))
		c.advanceBy(10 * heartbeatEvery)
		Expect(c.leader().group.Status().Voters).To(Equal([]member.ID{"n1", "n2", "n4"}))
		c.start(c.node("n3"))
		c.advanceBy(10 * heartbeatEvery)
		Expect(c.leader().group.Status().Voters).To(Equal([]member.ID{"n1", "n2", "n4", "n3"}), "in its old incarnation")
	})

	It("is recovered by the voters of the newest known group", func() {
		c := stableCluster("n1", "n2", "n3", "-n4", "-n5")
		c.start(c.node("n4"))
		c.start(c.node("n5"))
		c.advanceBy(10 * heartbeatEvery)
		c.propose("kept")
		kept := c.highestApplied
		for _, id := range []member.ID{"n1", "n2", "n3"} {
			c.loseDisk(c.node(id))
		}
		c.crash(c.node("n4"), true)
		c.crash(c.node("n5"), true)
		for _, id := range []member.ID{"n1", "n2", "n3", "n4"} {
			c.start(c.node(id))
		}
		c.advanceBy(3 * time.Second)
		Expect(c.recoveries).To(BeZero(), "without a voter of the newest group")
		c.start(c.node("n5"))
		c.advanceBy(2 * time.Second)
		Expect(c.recoveries).To(Equal(1))
		Expect(c.highestApplied).To(BeNumerically(">", kept))
		expectAgreement(c, 0)
	})

	It("is recovered by its founders when all disks are lost, and grows again", func() {
		c := stableCluster("n1", "n2", "n3", "-n4", "-n5")
		c.start(c.node("n4"))
		c.start(c.node("n5"))
		c.advanceBy(10 * heartbeatEvery)
		Expect(c.leader().group.Status().Voters).To(HaveLen(5))
		for _, n := range c.nodes {
			c.loseDisk(n)
		}
		for _, n := range c.nodes {
			c.start(n)
		}
		c.advanceBy(3 * time.Second)
		Expect(c.recoveries).To(Equal(1))
		c.propose("after")
		expectAgreement(c, 0)
	})

	It("is not recovered by founders with new disks while another member that had joined is down", func() {
		c := stableCluster("n1", "n2", "n3", "-n4", "-n5")
		c.start(c.node("n4"))
		c.start(c.node("n5"))
		c.advanceBy(10 * heartbeatEvery)
		c.propose("kept")
		for _, n := range c.nodes {
			c.crash(n, true)
		}
		for _, n := range c.nodes[:3] {
			c.loseDisk(n)
			c.start(n)
		}
		c.advanceBy(3 * time.Second)
		Expect(c.recoveries).To(BeZero())
		c.start(c.node("n4"))
		c.start(c.node("n5"))
		c.advanceBy(3 * time.Second)
		Expect(c.recoveries).To(Equal(1))
		expectAgreement(c, 0)
	})

	It("keeps what any disk has when it has grown and loses any number of disks", func() {
		var reformed int
		for seed := range uint64(*elasticSchedules) {
			c := newCluster(rand.New(rand.NewPCG(seed, 13)), "n1", "n2", "n3", "+n4", "+n5")
			c.majorityLost = true
			c.config.RemoveAfter = time.Hour
			c.advanceBy(time.Second)
			c.faults = faults{lose: 0.1, double: 0.1, stall: 0.1, maxDelay: 20 * time.Millisecond}
			for range faultyTicks {
				randomEvent(c)
				c.advance()
			}
			healAll(c)
			c.elastic = true
			expectAgreement(c, seed)
			reformed += c.recoveries
		}
		Expect(reformed).To(BeNumerically(">", *elasticSchedules/4))
	})

	It("survives that all go down, with founders that are not told who founded it", func() {
		c := stableCluster("n1", "n2", "n3")
		c.forgetful = true
		c.propose("kept")
		for _, n := range c.nodes {
			c.crash(n, true)
		}
		for _, n := range c.nodes {
			n.startCount = 1
			c.start(n)
		}
		c.advanceBy(time.Second)
		c.propose("after")
		expectAgreement(c, 0)
	})
})
