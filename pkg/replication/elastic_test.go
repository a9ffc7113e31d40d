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

var elasticSchedules = flag.Int("elastic", 120, "how many random schedules are run in which members come and go")

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

	It("survives that all go down, with founders that are not told who founded it", func() {
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
