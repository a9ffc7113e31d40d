package replication_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// firstLeader returns the leader n1 of three founders with empty logs, after its
// barrier is durable.
func firstLeader() *replication.Group {
	g := newMember("n1", "n1", "n2", "n3")
	g.Tick(electionTimeout)
	for _, preVote := range []bool{true, false} {
		granted := replication.Message{Type: replication.MessageVoteReply, Incarnation: 1, Term: 1, PreVote: preVote}
		Expect(g.Step(electionTimeout, "n2", granted)).To(Succeed())
		drainReadies(g)
	}
	Expect(g.Status().Role).To(Equal(replication.RoleLeader))
	return g
}

// recipientsOf passes all Readies and returns who was sent messages of that type.
func recipientsOf(g *replication.Group, kind replication.MessageType) []member.ID {
	var ids []member.ID
	for g.HasReady() {
		for _, outbound := range g.Ready().Messages {
			if outbound.Message.Type == kind {
				ids = append(ids, outbound.To)
			}
		}
		g.Advance()
	}
	return ids
}

var _ = Describe("the founders", func() {
	It("are told by the first entry to whoever does not know them", func() {
		leader := firstLeader()
		first := leader.Checkpoint().Entries
		Expect(first).To(Equal([]replication.Entry{changeEntry(1, 1, founderSlots("n1", "n2", "n3"))}))

		joined := newMember("n4")
		Expect(joined.Status().Role).To(Equal(replication.RoleLearner))
		Expect(joined.Step(0, "n1", appendMessage(1, 0, 0, 1, first...))).To(Succeed())
		drainReadies(joined)
		Expect(joined.Status().Voters).To(Equal([]member.ID{"n1", "n2", "n3"}))
		Expect(joined.Status().Role).To(Equal(replication.RoleLearner))

		founder := newMember("n2", "n1", "n2", "n3")
		Expect(founder.Step(0, "n1", appendMessage(1, 0, 0, 1, first...))).To(Succeed())
		drainReadies(founder)
		again, err := replication.New(replication.Config{
			Self: "n2", Incarnation: replication.FoundingIncarnation, HeartbeatEvery: heartbeatEvery, ElectionTimeout: electionTimeout,
		}, founder.Checkpoint(), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Status().Slots).To(Equal(founderSlots("n1", "n2", "n3")))
		Expect(again.Status().Role).To(Equal(replication.RoleFollower))
	})

	It("are not invented by a member that knows of no group", func() {
		g := newMember("n4")
		g.ExpectState()
		g.SetPeers(0, []replication.Peer{{ID: "n1"}, {ID: "n2"}})
		for now := time.Duration(0); now < time.Minute; now += heartbeatEvery {
			g.Tick(now)
		}
		Expect(g.HasReady()).To(BeFalse())
		Expect(g.Status().Role).To(Equal(replication.RoleLearner))
	})

	It("stay in doubt in a log that does not tell of them, which is not compacted", func() {
		g := newMember("n4")
		Expect(g.Step(0, "n1", appendMessage(1, 0, 0, 1, entry(1, 1)))).To(Succeed())
		drainReadies(g)
		Expect(g.Compact(1, nil)).To(BeAssignableToTypeOf(&replication.CompactError{}))
	})
})

var _ = Describe("members without a vote, or about to lose it", func() {
	It("are sent the log and the heartbeats, and are not asked for votes", func() {
		g := newMember("n1", "n1", "n2", "n3")
		g.SetPeers(0, []replication.Peer{{ID: "n4"}, {ID: "n1"}, {ID: "n4"}, {ID: "n2"}, {ID: ""}})
		g.Tick(electionTimeout)
		Expect(recipientsOf(g, replication.MessageVoteRequest)).To(Equal([]member.ID{"n2", "n3"}))

		leader := firstLeader()
		leader.SetPeers(electionTimeout, []replication.Peer{{ID: "n4"}})
		leader.Tick(electionTimeout + heartbeatEvery)
		Expect(recipientsOf(leader, replication.MessageHeartbeat)).To(Equal([]member.ID{"n2", "n3", "n4"}))
	})

	It("disturb no live leader, whatever term they tell of", func() {
		leader := electedLeader()
		follower := newMember("n2", "n1", "n2", "n3")
		Expect(follower.Step(0, "n1", appendMessage(1, 0, 0, 0))).To(Succeed())
		for _, g := range []*replication.Group{leader, follower} {
			before := g.Status()
			for _, m := range []replication.Message{
				{Type: replication.MessageVoteRequest, PreVote: true},
				{Type: replication.MessageVoteRequest},
				{Type: replication.MessageVoteReply, Reject: true},
				{Type: replication.MessageVoteReply},
				{Type: replication.MessageAppendReply, Reject: true},
				{Type: replication.MessageHeartbeatReply},
				{Type: replication.MessageRecoveryReply, Reject: true},
				{Type: replication.MessageRecoveryRequest, PreVote: true},
				{Type: replication.MessageRecoveryRequest},
			} {
				m.Term, m.Incarnation, m.Index, m.IndexTerm = 90, 5, 90, 90
				Expect(g.Step(0, "n9", m)).To(Succeed())
			}
			Expect(g.Status()).To(Equal(before))
		}
		for follower.HasReady() {
			for _, outbound := range follower.Ready().Messages {
				Expect(outbound.To != "n9" || outbound.Message.Reject).To(BeTrue(), "%v is granted", outbound)
			}
			follower.Advance()
		}
	})

	It("take nothing over when they leave, though they still vote", func() {
		g := electedLeader()
		Expect(g.Step(electedAt, "n2", appendReply(2, 2))).To(Succeed())
		g.SetPeers(electedAt, []replication.Peer{{ID: "n2", Left: true}, {ID: "n3"}})
		Expect(g.TransferLeadership(electedAt)).To(Succeed())
		_, err := g.Propose(electedAt, nil)
		Expect(err).To(Equal(&replication.NotLeaderError{Leader: "n3"}))
	})

	It("do not count when they grant votes", func() {
		g := newMember("n1", "n1", "n2", "n3")
		g.SetPeers(0, []replication.Peer{{ID: "n4"}})
		g.Tick(electionTimeout)
		for _, id := range []member.ID{"n4", "n9"} {
			granted := replication.Message{Type: replication.MessageVoteReply, Incarnation: 1, Term: 1, PreVote: true}
			Expect(g.Step(electionTimeout, id, granted)).To(Succeed())
		}
		Expect(g.Status().Term).To(BeZero())
	})

	It("get one when they have caught up, unless they leave", func() {
		c := stableCluster("n1", "n2", "n3", "-n4", "-n5")
		c.node("n4").left = true
		c.start(c.node("n4"))
		c.start(c.node("n5"))
		c.advanceBy(10 * heartbeatEvery)
		Expect(c.leader().group.Status().Voters).To(Equal([]member.ID{"n1", "n2", "n3", "n5"}))
	})

	It("get none while an unresponsive voter of an odd group may yet be back", func() {
		c := stableCluster("n1", "n2", "n3", "-n4")
		c.crash(c.node("n3"), true)
		c.advanceBy(electionTimeout + tickEvery)
		c.start(c.node("n4"))
		c.advanceBy(time.Second)
		Expect(c.leader().group.Status().Voters).To(HaveLen(3))
		c.start(c.node("n3"))
		c.advanceBy(10 * heartbeatEvery)
		Expect(c.leader().group.Status().Voters).To(HaveLen(4))
	})
})

var _ = Describe("a change of an elastic group", func() {
	It("drops a voter without a successor, and takes a new one in at the end", func() {
		g := electedLeader()
		Expect(g.Step(electedAt, "n2", appendReply(2, 2))).To(Succeed())
		Expect(problemOf(g.ProposeGroupChange(electedAt, replication.GroupChange{
			Kind: replication.ChangeAddVoter, Voter: replication.Voter{ID: "n4", Incarnation: 1},
		}))).To(Equal(replication.ProblemNotCaughtUp))
		g.SetPeers(electedAt, []replication.Peer{{ID: "n4"}})
		later := electedAt + heartbeatEvery
		g.Tick(later)
		drainReadies(g)
		Expect(g.Step(later, "n4", heartbeatReply(2))).To(Succeed())
		Expect(g.Step(later, "n4", appendReply(2, 2))).To(Succeed())
		add := replication.GroupChange{Kind: replication.ChangeAddVoter, Voter: replication.Voter{ID: "n4", Incarnation: 1}}
		drop := replication.GroupChange{Kind: replication.ChangeRemoveVoter, Voter: lostN3}
		Expect(g.ProposeGroupChange(later, drop)).To(Succeed())
		Expect(g.Status().Slots).To(Equal(founderSlots("n1", "n2")))
		Expect(problemOf(g.ProposeGroupChange(later, add))).To(Equal(replication.ProblemChangePending))
		drainReadies(g)
		Expect(g.Step(later, "n2", appendReply(2, 3))).To(Succeed())
		Expect(g.Step(later, "n4", appendReply(2, 3))).To(Succeed())
		Expect(g.ProposeGroupChange(later, add)).To(Succeed())
		Expect(g.Status().Slots).To(Equal(founderSlots("n1", "n2", "n4")))
	})

	It("drops a reserved slot whose member stays unresponsive", func() {
		g := leaderWithCommittedBarrier()
		Expect(problemOf(g.ProposeGroupChange(electedAt, replication.GroupChange{
			Kind: replication.ChangeDropSlot, Voter: lostN3,
		}))).To(Equal(replication.ProblemNoSuchSlot))
		Expect(g.ProposeGroupChange(electedAt, removeLostN3)).To(Succeed())
		unheard := electedAt + electionTimeout
		acknowledgeHeartbeatsUntil(g, electedAt, unheard)
		Expect(g.Step(unheard, "n2", appendReply(2, 3))).To(Succeed())
		end := electedAt + replication.DefaultRemoveAfter
		acknowledgeHeartbeatsUntil(g, unheard, end-heartbeatEvery)
		Expect(g.Status().Slots).To(Equal(slotsWithLearner()))
		acknowledgeHeartbeatsUntil(g, end-heartbeatEvery, end+heartbeatEvery)
		Expect(g.Status().Slots).To(Equal(founderSlots("n1", "n2")))
	})
})

var _ = Describe("a group that lost its quorum", func() {
	It("is not recovered by a member whose log is older than that of another voter", func() {
		grant := replication.Message{Type: replication.MessageRecoveryReply, Incarnation: 8, PreVote: true}
		newer := replication.Message{Type: replication.MessageRecoveryReply, Incarnation: 1, PreVote: true, Reject: true, Index: 2, IndexTerm: 1}
		for _, objected := range []bool{false, true} {
			g := newMember("n3", "n1", "n2", "n3")
			g.SetPeers(0, []replication.Peer{{ID: "n4"}})
			Expect(g.Step(0, "n1", appendMessage(1, 0, 0, 0, entry(1, 1)))).To(Succeed())
			drainReadies(g)
			now := time.Duration(0)
			for requested := []member.ID(nil); len(requested) == 0; now += tickEvery {
				g.Tick(now)
				if requested = recipientsOf(g, replication.MessageRecoveryRequest); len(requested) > 0 {
					Expect(requested).To(Equal([]member.ID{"n1", "n2", "n4"}))
				}
			}
			Expect(g.Step(now, "n1", grant)).To(Succeed())
			if objected {
				Expect(g.Step(now, "n4", newer)).To(Succeed())
			}
			Expect(g.Step(now, "n2", grant)).To(Succeed())
			term, _ := g.RecoveryTerm()
			Expect(term == 0).To(Equal(objected))
		}
	})
})
