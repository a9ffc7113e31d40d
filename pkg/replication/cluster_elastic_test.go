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
