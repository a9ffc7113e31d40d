package replication_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// recipientsOf handles all Readies and returns the recipients of messages of that type.
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

var _ = Describe("members without a vote, or about to leave", func() {
	It("are sent heartbeats, and are not asked for votes", func() {
		g := newMember("n1", "n1", "n2", "n3")
		g.SetPeers(0, []replication.Peer{{ID: "n4"}, {ID: "n1"}, {ID: "n4"}, {ID: "n2"}, {ID: ""}})
		g.Tick(electionTimeout)
		Expect(recipientsOf(g, replication.MessageVoteRequest)).To(Equal([]member.ID{"n2", "n3"}))

		leader := firstLeader()
		leader.SetPeers(electionTimeout, []replication.Peer{{ID: "n4"}})
		leader.Tick(electionTimeout + heartbeatEvery)
		Expect(recipientsOf(leader, replication.MessageHeartbeat)).To(Equal([]member.ID{"n2", "n3", "n4"}))
	})

	It("do not disturb a live leader, whatever the term of their messages", func() {
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

	It("are not chosen as the target of a leadership transfer when they are about to leave", func() {
		g := electedLeader()
		Expect(g.Step(electedAt, "n2", appendReply(2, 2))).To(Succeed())
		g.SetPeers(electedAt, []replication.Peer{{ID: "n2", Left: true}, {ID: "n3"}})
		Expect(g.TransferLeadership(electedAt)).To(Succeed())
		_, err := g.Propose(electedAt, nil)
		Expect(err).To(Equal(&replication.NotLeaderError{Leader: "n3"}))
	})

	It("have no effect on an election when they grant a vote", func() {
		g := newMember("n1", "n1", "n2", "n3")
		g.SetPeers(0, []replication.Peer{{ID: "n4"}})
		g.Tick(electionTimeout)
		for _, id := range []member.ID{"n4", "n9"} {
			granted := replication.Message{Type: replication.MessageVoteReply, Incarnation: 1, Term: 1, PreVote: true}
			Expect(g.Step(electionTimeout, id, granted)).To(Succeed())
		}
		Expect(g.Status().Term).To(BeZero())
	})

	It("get a vote when they have caught up, unless they are about to leave", func() {
		c := stableCluster("n1", "n2", "n3", "-n4", "-n5")
		c.node("n4").left = true
		c.start(c.node("n4"))
		c.start(c.node("n5"))
		c.advanceBy(10 * heartbeatEvery)
		Expect(c.leader().group.Status().Voters).To(Equal([]member.ID{"n1", "n2", "n3", "n5"}))
	})

	It("get no vote while an unresponsive voter of a group with an odd number of voters may return", func() {
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
