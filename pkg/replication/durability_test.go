package replication_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

func newMember(self member.ID, group ...member.ID) *replication.Group {
	g, err := replication.New(replication.Config{
		Self: self, Incarnation: replication.FoundingIncarnation, Founders: group, HeartbeatEvery: heartbeatEvery, ElectionTimeout: electionTimeout,
	}, replication.Restored{}, 0)
	Expect(err).NotTo(HaveOccurred())
	return g
}

func founderSlots(ids ...member.ID) []replication.Slot {
	var group []replication.Slot
	for _, id := range ids {
		group = append(group, replication.Slot{Voter: replication.Voter{ID: id, Incarnation: replication.FoundingIncarnation}})
	}
	return group
}

func entry(index, term uint64) replication.Entry {
	return replication.Entry{Index: index, Term: term, Kind: replication.EntryCommand, Command: []byte("c")}
}

func appendMessage(term, index, indexTerm, commit uint64, entries ...replication.Entry) replication.Message {
	return replication.Message{
		Type: replication.MessageAppend, Term: term, Index: index, IndexTerm: indexTerm, Commit: commit, Entries: entries,
	}
}

var _ = Describe("durability", func() {
	It("counts a member's vote for itself and its own entries only after Advance", func() {
		g := newMember("n1", "n1")
		g.Tick(electionTimeout)
		Expect(g.Ready().HardState).To(Equal(&replication.HardState{Term: 1, VotedFor: "n1", VotedForIncarnation: replication.FoundingIncarnation}))
		Expect(g.Status().Role).To(Equal(replication.RoleCandidate))
		g.Advance()
		Expect(g.Status().Role).To(Equal(replication.RoleLeader))
		barrier := g.Ready()
		Expect(barrier.Entries).To(HaveLen(1))
		Expect(barrier.Committed).To(BeEmpty())
		_, err := g.Propose(electionTimeout, []byte("next"))
		Expect(err).NotTo(HaveOccurred())
		g.Advance()
		Expect(g.Ready().Committed).To(Equal(barrier.Entries))
	})

	It("returns a vote as HardState in the Ready of the reply, also if the term was durable before", func() {
		g := newMember("n1", "n1", "n2", "n3")
		Expect(g.Step(0, "n2", replication.Message{Type: replication.MessageVoteReply, Term: 4, Reject: true})).To(Succeed())
		Expect(g.Ready().HardState).To(Equal(&replication.HardState{Term: 4}))
		g.Advance()
		request := replication.Message{Type: replication.MessageVoteRequest, Term: 4, Incarnation: 1}
		Expect(g.Step(0, "n3", request)).To(Succeed())
		ready := g.Ready()
		Expect(ready.HardState).To(Equal(&replication.HardState{Term: 4, VotedFor: "n3", VotedForIncarnation: 1}))
		Expect(ready.MustSync()).To(BeTrue())
		Expect(ready.Messages).To(HaveLen(1))
		Expect(ready.Messages[0].Message.Reject).To(BeFalse())
		Expect(g.Step(0, "n2", request)).To(Succeed())
		g.Advance()
		Expect(g.Ready().Messages[0].Message.Reject).To(BeTrue())
	})

	It("acknowledges entries received during a sync in the next Ready", func() {
		g := newMember("n1", "n1", "n2", "n3")
		Expect(g.Step(0, "n2", appendMessage(1, 0, 0, 0, entry(1, 1)))).To(Succeed())
		Expect(g.Ready().Messages).To(HaveLen(1))
		Expect(g.Step(0, "n2", appendMessage(1, 1, 1, 0, entry(2, 1)))).To(Succeed())
		Expect(g.HasReady()).To(BeFalse())
		Expect(g.Ready()).To(Equal(replication.Ready{}))
		g.Advance()
		ready := g.Ready()
		Expect(ready.Entries).To(Equal([]replication.Entry{entry(2, 1)}))
		Expect(ready.Messages[0].Message.Index).To(Equal(uint64(2)))
	})

	It("limits the queued messages while a sync stalls", func() {
		g := newMember("n1", "n1", "n2", "n3")
		Expect(g.Step(0, "n2", appendMessage(1, 0, 0, 0, entry(1, 1)))).To(Succeed())
		g.Ready()
		for range 10000 {
			Expect(g.Step(0, "n2", replication.Message{Type: replication.MessageHeartbeat, Term: 1})).To(Succeed())
		}
		g.Advance()
		Expect(len(g.Ready().Messages)).To(BeNumerically("<", 5000))
	})

	It("keeps the durable part of a sync whose last entries were truncated in the meantime", func() {
		g := newMember("n1", "n1", "n2", "n3")
		Expect(g.Step(0, "n2", appendMessage(1, 0, 0, 2, entry(1, 1), entry(2, 1), entry(3, 1)))).To(Succeed())
		Expect(g.Ready().Committed).To(HaveLen(2))
		Expect(g.Step(time.Second, "n3", appendMessage(2, 2, 1, 2, entry(3, 2)))).To(Succeed())
		g.Advance()
		Expect(g.Compact(2, []byte("state"))).To(Succeed())
		Expect(g.Ready().Entries).To(Equal([]replication.Entry{entry(3, 2)}))
	})

	It("commits no further than the last entry that the leader's message confirms", func() {
		g := newMember("n1", "n1", "n2", "n3")
		Expect(g.Step(0, "n2", appendMessage(1, 0, 0, 0, entry(1, 1), entry(2, 1)))).To(Succeed())
		Expect(g.Step(0, "n3", appendMessage(2, 1, 1, 2))).To(Succeed())
		Expect(g.Status().Commit).To(Equal(uint64(1)))
	})
})
