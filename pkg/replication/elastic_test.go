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

var elasticSchedules = flag.Int("elastic", 120, "number of random schedules in which members join and leave")

var _ = Describe("an elastic group", func() {
	It("applies one sequence of entries and has one leader per term in random schedules, and ends with a vote for every member", func() {
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

	It("keeps committing while its voters leave one after the other, each after a new one has joined", func() {
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

	It("replaces a lost voter of a group of MaxVoters by a new member", func() {
		c := stableCluster("max=3", "n1", "n2", "n3", "+n4")
		Expect(c.leader().group.Status().Voters).To(HaveLen(3))
		c.end(c.node("n3"))
		c.advanceBy(replication.DefaultRemoveAfter + 10*heartbeatEvery)
		Expect(c.leader().group.Status().Voters).To(Equal([]member.ID{"n1", "n2", "n4"}))
	})

	It("keeps an unresponsive voter if the number of voters is odd, and until RemoveAfter if it is even", func() {
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
		Expect(c.leader().group.Status().Voters).To(Equal([]member.ID{"n1", "n2", "n4", "n3"}), "n3 is added again in its old incarnation")
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
		Expect(c.recoveries).To(BeZero(), "recovered without n5, a voter of the newest group")
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

	It("is not recovered by founders with new disks while members that had joined are down", func() {
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

	It("keeps everything that a disk still contains when it has grown and loses any number of disks", func() {
		var recoveries int
		for seed := range uint64(*elasticSchedules) {
			c := newCluster(rand.New(rand.NewPCG(seed, 13)), "n1", "n2", "n3", "+n4", "+n5")
			c.majorityLost = true
			c.config.RemoveAfter = time.Hour
			c.advanceBy(time.Second)
			c.faults = faults{lose: 0.1, duplicate: 0.1, stall: 0.1, maxDelay: 20 * time.Millisecond}
			for range faultyTicks {
				randomEvent(c)
				c.advance()
			}
			healAll(c)
			c.elastic = true
			expectAgreement(c, seed)
			recoveries += c.recoveries
		}
		Expect(recoveries).To(BeNumerically(">", *elasticSchedules/4))
	})

	It("continues after all members crashed and restart without the founders in their settings", func() {
		c := stableCluster("n1", "n2", "n3")
		c.withoutFounders = true
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
