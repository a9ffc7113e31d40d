package replication_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// tookAt is when electedLeader becomes the leader of term 2.
const tookAt = electionTimeout

// electedLeader returns the leader n1 of a group of three, whose log holds an
// entry of term 1 and its own barrier, both durable here only.
func electedLeader() *replication.Group {
	g, err := replication.New(replication.Config{
		Self: "n1", Incarnation: replication.FoundingIncarnation, Group: []member.ID{"n1", "n2", "n3"},
		HeartbeatEvery: heartbeatEvery, ElectionTimeout: electionTimeout,
		LeaseDuration: leaseDuration, LeaseMargin: leaseMargin,
	}, replication.Restored{
		HardState: replication.HardState{Term: 1},
		Entries:   []replication.Entry{entry(1, 1)},
	}, 0)
	Expect(err).NotTo(HaveOccurred())
	g.Tick(tookAt)
	granted := replication.Message{Type: replication.MessagePromiseReply, Incarnation: 1, Term: 2, Trial: true}
	Expect(g.Step(tookAt, "n2", granted)).To(Succeed())
	settle(g)
	granted.Trial = false
	Expect(g.Step(tookAt, "n2", granted)).To(Succeed())
	settle(g)
	Expect(g.Status().Role).To(Equal(replication.RoleLeader))
	return g
}

// settle passes all Readies and returns the rounds of the heartbeats to n2.
func settle(g *replication.Group) (rounds []uint64) {
	for g.HasReady() {
		for _, outbound := range g.Ready().Messages {
			if outbound.To == "n2" && outbound.Message.Type == replication.MessageHeartbeat {
				rounds = append(rounds, outbound.Message.Round)
			}
		}
		g.Advance()
	}
	return rounds
}

func matched(term, index uint64) replication.Message {
	return replication.Message{Type: replication.MessageAppendReply, Incarnation: 1, Term: term, Index: index}
}

// beatUntil answers every heartbeat at once until then.
func beatUntil(g *replication.Group, from, until time.Duration) {
	for now := from; now <= until; now += tickEvery {
		g.Tick(now)
		for _, round := range settle(g) {
			answerRound(g, now, round)
		}
	}
}

func answerRound(g *replication.Group, now time.Duration, round uint64) {
	reply := replication.Message{Type: replication.MessageHeartbeatReply, Incarnation: 1, Term: 2, Round: round}
	Expect(g.Step(now, "n2", reply)).To(Succeed())
}

var _ = Describe("trials", func() {
	It("are won by grants of one asking only", func() {
		g := newMember("n1", "n1", "n2", "n3", "n4", "n5")
		granted := replication.Message{Type: replication.MessagePromiseReply, Incarnation: 1, Term: 1, Trial: true}
		g.Tick(electionTimeout)
		Expect(g.Step(electionTimeout, "n2", granted)).To(Succeed())
		g.Tick(electionTimeout + heartbeatEvery)
		Expect(g.Step(electionTimeout+heartbeatEvery, "n3", granted)).To(Succeed())
		Expect(g.Status().Term).To(BeZero())
		Expect(g.Step(electionTimeout+heartbeatEvery, "n2", granted)).To(Succeed())
		Expect(g.Status().Term).To(Equal(uint64(1)))
	})
})

var _ = Describe("leadership", func() {
	It("commits an entry of an earlier term only together with its barrier", func() {
		g := electedLeader()
		Expect(g.Step(tookAt, "n2", matched(2, 1))).To(Succeed())
		Expect(g.Step(tookAt, "n3", matched(2, 1))).To(Succeed())
		Expect(g.Status().Commit).To(BeZero())
		Expect(g.Step(tookAt, "n3", matched(1, 2))).To(Succeed())
		Expect(g.Status().Commit).To(BeZero(), "an answer to an earlier term counted")
		Expect(g.Step(tookAt, "n3", matched(2, 2))).To(Succeed())
		Expect(g.Status().Commit).To(Equal(uint64(2)))
	})

	It("does not command before its barrier is applied", func() {
		g := electedLeader()
		late := tookAt + leaseDuration + leaseMargin
		beatUntil(g, tookAt, late)
		Expect(g.MayCommand(late)).To(BeFalse())
		Expect(g.Step(late, "n2", matched(2, 2))).To(Succeed())
		Expect(g.MayCommand(late)).To(BeFalse())
		settle(g)
		Expect(g.MayCommand(late)).To(BeTrue())
	})

	It("counts the lease from the sending of the round, not from its answer", func() {
		g := electedLeader()
		Expect(g.Step(tookAt, "n2", matched(2, 2))).To(Succeed())
		sent := tookAt + leaseDuration + leaseMargin
		beatUntil(g, tookAt, sent-tickEvery)
		var rounds []uint64
		for len(rounds) == 0 {
			sent += tickEvery
			g.Tick(sent)
			rounds = settle(g)
		}
		answerRound(g, sent+2*tickEvery, rounds[0])
		end := sent + leaseDuration - leaseMargin
		Expect(g.MayCommand(end - 1)).To(BeTrue())
		Expect(g.MayCommand(end)).To(BeFalse())
		answerRound(g, end, rounds[0])
		Expect(g.MayCommand(end)).To(BeFalse())
	})

	It("is not moved in time by a question about a later instant", func() {
		g := electedLeader()
		Expect(g.MayCommand(time.Hour)).To(BeFalse())
		g.Tick(tookAt + heartbeatEvery)
		Expect(g.Status().Role).To(Equal(replication.RoleLeader))
	})

	It("refuses work that can't be bounded, and tells when it failed reads", func() {
		g := electedLeader()
		read, err := g.RequestRead(tookAt)
		Expect(err).NotTo(HaveOccurred())
		for err == nil {
			_, err = g.Propose(tookAt, nil)
		}
		Expect(err).To(MatchError(replication.ErrBacklogFull))
		Expect(g.HandOver(tookAt + electionTimeout)).To(MatchError(replication.ErrNoSuccessor))
		g.Tick(tookAt + electionTimeout)
		Expect(g.Ready().ReadsFailed).To(Equal([]uint64{read}))
	})
})
