package replication_test

import (
	"encoding/json"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

var (
	lostN3       = replication.Voter{ID: "n3", Incarnation: replication.FoundingIncarnation}
	newN3        = replication.Voter{ID: "n3", Incarnation: 7}
	removeLostN3 = replication.GroupChange{Kind: replication.ChangeRemoveVoter, Voter: lostN3, Successor: newN3}
	addNewN3     = replication.GroupChange{Kind: replication.ChangeAddVoter, Voter: newN3}
)

// slotsWithLearner returns the group of n1, n2 and the slot that is reserved for the new
// incarnation of n3.
func slotsWithLearner() []replication.Slot {
	return append(founderSlots("n1", "n2"), replication.Slot{Voter: newN3, Learner: true})
}

func changeEntry(index, term uint64, group []replication.Slot) replication.Entry {
	command, err := json.Marshal(group)
	Expect(err).NotTo(HaveOccurred())
	return replication.Entry{Index: index, Term: term, Kind: replication.EntryGroupChange, Command: command}
}

func inIncarnation(incarnation uint64, m replication.Message) replication.Message {
	m.Incarnation = incarnation
	return m
}

// leaderWithCommittedBarrier returns electedLeader after its barrier is committed and the new
// incarnation of n3 has caught up.
func leaderWithCommittedBarrier() *replication.Group {
	g := electedLeader()
	Expect(g.Step(electedAt, "n2", appendReply(2, 2))).To(Succeed())
	newIncarnationMatches(g, electedAt)
	drainReadies(g)
	return g
}

// heartbeatReply returns the acknowledgement of a heartbeat of term 2.
func heartbeatReply(heartbeat uint64) replication.Message {
	return replication.Message{Type: replication.MessageHeartbeatReply, Incarnation: replication.FoundingIncarnation, Term: 2, HeartbeatNumber: heartbeat}
}

// newIncarnationMatches makes the new incarnation of n3 acknowledge the first heartbeat and
// the whole log.
func newIncarnationMatches(g *replication.Group, now time.Duration) {
	Expect(g.Step(now, "n3", inIncarnation(newN3.Incarnation, heartbeatReply(1)))).To(Succeed())
	Expect(g.Step(now, "n3", inIncarnation(newN3.Incarnation, appendReply(2, 2)))).To(Succeed())
}

func problemOf(err error) replication.GroupChangeProblem {
	var rejected *replication.GroupChangeError
	ExpectWithOffset(1, errors.As(err, &rejected)).To(BeTrue(), "%v", err)
	ExpectWithOffset(1, err.Error()).To(ContainSubstring(": "))
	return rejected.Problem
}

var _ = Describe("a change of the group", func() {
	It("requires that the leader's own barrier and the previous change are committed", func() {
		g := electedLeader()
		newIncarnationMatches(g, electedAt)
		Expect(problemOf(g.ProposeGroupChange(electedAt, removeLostN3))).To(Equal(replication.ProblemTermUncommitted))
		Expect(g.Step(electedAt, "n2", appendReply(2, 2))).To(Succeed())
		Expect(g.ProposeGroupChange(electedAt, removeLostN3)).To(Succeed())
		Expect(g.Status().Slots).To(Equal(slotsWithLearner()))
		Expect(problemOf(g.ProposeGroupChange(electedAt, addNewN3))).To(Equal(replication.ProblemChangePending))
		drainReadies(g)
		Expect(g.Step(electedAt, "n2", appendReply(2, 3))).To(Succeed())
		fullGroup := append(founderSlots("n1", "n2"), replication.Slot{Voter: newN3})
		Expect(g.Status().Slots).To(Equal(fullGroup), "the reserved slot must get its vote at the commit of the removal")
		Expect(g.Status().Voters).To(Equal([]member.ID{"n1", "n2", "n3"}))
		Expect(problemOf(g.ProposeGroupChange(electedAt, addNewN3))).To(Equal(replication.ProblemChangePending))
	})

	It("is rejected when it names the wrong member", func() {
		g := leaderWithCommittedBarrier()
		for _, invalidate := range []func(*replication.GroupChange){
			func(c *replication.GroupChange) { c.Voter.ID = "n9" },
			func(c *replication.GroupChange) { c.Voter.Incarnation = 2 },
			func(c *replication.GroupChange) { c.Successor = lostN3 },
			func(c *replication.GroupChange) { c.Successor.ID = "n2" },
			func(c *replication.GroupChange) { c.Kind = replication.ChangeAddVoter },
		} {
			change := removeLostN3
			invalidate(&change)
			Expect(problemOf(g.ProposeGroupChange(electedAt, change))).To(Equal(replication.ProblemNoSuchSlot))
		}
		leader := removeLostN3
		leader.Voter.ID = "n1"
		Expect(problemOf(g.ProposeGroupChange(electedAt, leader))).To(Equal(replication.ProblemLeader))
		Expect(problemOf(g.ProposeGroupChange(electedAt, replication.GroupChange{}))).To(Equal(replication.ProblemUnknownKind))
		follower := newMember("n2", "n1", "n2", "n3")
		Expect(follower.ProposeGroupChange(0, removeLostN3)).To(Equal(&replication.NotLeaderError{}))
	})

	It("is rejected while the successor lacks entries, or no majority is live", func() {
		g := electedLeader()
		Expect(g.Step(electedAt, "n2", appendReply(2, 2))).To(Succeed())
		Expect(problemOf(g.ProposeGroupChange(electedAt, removeLostN3))).To(Equal(replication.ProblemNotCaughtUp))
		late := electedAt + electionTimeout
		newIncarnationMatches(g, late)
		Expect(problemOf(g.ProposeGroupChange(late, removeLostN3))).To(Equal(replication.ProblemNoMajority))
	})

	It("does not let a lost incarnation or a new one without a vote count for commits", func() {
		g := electedLeader()
		newIncarnationMatches(g, electedAt)
		Expect(g.Step(electedAt, "n3", inIncarnation(lostN3.Incarnation, appendReply(2, 2)))).To(Succeed())
		Expect(g.Status().Commit).To(BeZero())
	})

	It("discards the acknowledgements of the lost incarnation, also those that arrive late", func() {
		g := electedLeader()
		Expect(g.Step(electedAt, "n3", appendReply(2, 1))).To(Succeed())
		Expect(g.Status().Followers[1].Match).To(Equal(uint64(1)))
		later := electedAt + heartbeatEvery
		g.Tick(later)
		Expect(g.Step(later, "n3", inIncarnation(newN3.Incarnation, heartbeatReply(2)))).To(Succeed())
		Expect(g.Status().Followers[1].Match).To(BeZero())
		Expect(g.Step(later, "n3", appendReply(2, 2))).To(Succeed())
		Expect(g.Step(later, "n3", heartbeatReply(2))).To(Succeed())
		Expect(g.Status().Followers[1].Match).To(BeZero())
		Expect(g.Status().Followers[1].Incarnation).To(Equal(newN3.Incarnation))
	})

	It("accepts an incarnation as a later one only if it acknowledges a heartbeat sent after the last contact with the other", func() {
		g := electedLeader()
		Expect(g.Step(electedAt, "n3", appendReply(2, 1))).To(Succeed())
		for _, late := range []replication.Message{heartbeatReply(1), appendReply(2, 2)} {
			Expect(g.Step(electedAt, "n3", inIncarnation(newN3.Incarnation, late))).To(Succeed())
			Expect(g.Status().Followers[1].Incarnation).To(Equal(lostN3.Incarnation))
		}
		later := electedAt + heartbeatEvery
		g.Tick(later)
		Expect(g.Step(later, "n3", inIncarnation(newN3.Incarnation, heartbeatReply(2)))).To(Succeed())
		Expect(g.Status().Followers[1].Incarnation).To(Equal(newN3.Incarnation))
	})

	It("does not grant a term again to another incarnation of the candidate", func() {
		g := newMember("n1", "n1", "n2", "n3")
		request := replication.Message{Type: replication.MessageVoteRequest, Incarnation: lostN3.Incarnation, Term: 4}
		Expect(g.Step(0, "n3", request)).To(Succeed())
		Expect(g.Step(0, "n3", inIncarnation(newN3.Incarnation, request))).To(Succeed())
		messages := g.Ready().Messages
		Expect(messages[0].Message.Reject).To(BeFalse())
		Expect(messages[1].Message.Reject).To(BeTrue())
	})

	It("is part of snapshots from its index on, and is undone when its entry is truncated", func() {
		g := newMember("n1", "n1", "n2", "n3")
		change := changeEntry(2, 1, slotsWithLearner())
		Expect(g.Step(0, "n2", appendMessage(1, 0, 0, 1, entry(1, 1), change, entry(3, 1)))).To(Succeed())
		drainReadies(g)
		Expect(g.Status().Slots).To(Equal(slotsWithLearner()))
		Expect(g.Compact(1, nil)).To(Succeed())
		kept := g.Checkpoint()
		Expect(kept.Snapshot.Slots).To(Equal(founderSlots("n1", "n2", "n3")))

		config := replication.Config{
			Self: "n1", Incarnation: replication.FoundingIncarnation, Founders: []member.ID{"n1", "n2", "n3"},
			HeartbeatEvery: heartbeatEvery, ElectionTimeout: electionTimeout,
		}
		restarted, err := replication.New(config, kept, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(restarted.Status().Slots).To(Equal(slotsWithLearner()))
		Expect(restarted.Step(time.Second, "n3", appendMessage(2, 1, 1, 1, entry(2, 2)))).To(Succeed())
		Expect(restarted.Status().Slots).To(Equal(founderSlots("n1", "n2", "n3")))

		Expect(g.Step(0, "n2", appendMessage(1, 3, 1, 3))).To(Succeed())
		drainReadies(g)
		Expect(g.Compact(3, nil)).To(Succeed())
		restarted, err = replication.New(config, g.Checkpoint(), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(restarted.Status().Slots).To(Equal(slotsWithLearner()))
	})
})

var _ = Describe("a change that adds or removes a slot", func() {
	It("removes a voter without a successor, and adds a new one at the end", func() {
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
