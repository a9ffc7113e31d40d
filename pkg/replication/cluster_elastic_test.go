package replication_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

const (
	elasticTicks = 600
	stableTicks  = 100
	// elasticRemoveAfter is short so that a schedule contains many removals.
	elasticRemoveAfter = 300 * time.Millisecond
	maxNodes           = 9
)

// replacement is a node that joins because another one leaves.
type replacement struct {
	old *node
	// at is when the next step is due: if planned, the end of old, which a new node has
	// replaced; otherwise the start of a new node for one that is gone.
	at      time.Duration
	planned bool
}

// elasticSchedule is a cluster in which nodes join and leave.
type elasticSchedule struct {
	*cluster
	replacements []replacement
	started      int
	// killed counts how often all nodes crashed at once; planned and unplanned count the
	// replacements of each kind.
	killed, planned, unplanned int
}

func newElasticSchedule(seed uint64) *elasticSchedule {
	random := rand.New(rand.NewPCG(seed, 11))
	c := newCluster(random, "n1", "n2", "n3")
	c.elastic, c.withoutFounders = true, true
	c.config.RemoveAfter = elasticRemoveAfter
	c.faults = faults{lose: 0.05, duplicate: 0.05, stall: 0.05, maxDelay: 20 * time.Millisecond}
	for _, n := range c.nodes {
		n.offset = time.Duration(random.Int64N(int64(time.Hour)))
		n.drift = time.Duration(random.IntN(21) - 10)
		c.start(n)
	}
	return &elasticSchedule{cluster: c, started: len(c.nodes)}
}

// join starts a node that no other node knew before.
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

// event performs a random event: one of a fixed group, or one of an elastic group.
func (s *elasticSchedule) event() {
	s.replace()
	s.restart()
	nodes := s.present()
	n := nodes[s.random.IntN(len(nodes))]
	switch roll := s.random.IntN(200); {
	case roll < 2:
		s.join()
	case roll < 4 && !n.left:
		// Planned: the new node starts first.
		s.join()
		n.left = true
		s.gossip()
		s.replacements = append(s.replacements, replacement{old: n, at: s.now, planned: true})
	case roll < 7 && !n.left && s.intactAfter(n):
		// Unplanned: the new node starts 1 to 2 s later.
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

// restart starts the nodes that are down, each after a random delay.
func (s *elasticSchedule) restart() {
	for _, n := range s.present() {
		if n.group == nil && s.random.IntN(30) == 0 {
			s.start(n)
		}
	}
}

// replace performs the replacements that are due.
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

// endAndVerify cancels the open replacements, heals the cluster, and verifies that the group
// commits a new command and that all members agree.
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
	Expect(s.highestApplied).To(BeNumerically(">", before), "seed %d: the last command was not committed", seed)
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

// expectAllMembersVote expects every present node to have a vote in the incarnation of its
// disk, in a committed group that is the same on all nodes. Of the nodes that are gone, only
// a group with an odd number of voters may keep some.
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
		Expect(len(group)%2).To(Equal(1), "seed %d: a group with an even number of voters keeps an unresponsive voter", seed)
	}
	for _, n := range c.present() {
		status := n.group.Status()
		Expect(status.Slots).To(Equal(group), "seed %d: the group of %s differs from the leader's", seed, n.id)
		Expect(status.ChangeIndex).To(BeNumerically("<=", status.Commit), "seed %d: %s", seed, n.id)
		Expect(status.Role).NotTo(Equal(replication.RoleLearner), "seed %d: %s", seed, n.id)
	}
}

// advanceBy advances the simulated time.
func (c *cluster) advanceBy(length time.Duration) {
	for end := c.now + length; c.now < end; {
		c.advance()
	}
}

// propose commits a command through the present leader.
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
