package replication_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// electedAt is the time at which electedLeader becomes the leader of term 2.
const electedAt = electionTimeout

// electedLeader returns the leader n1 of a group of three. Its log contains an entry of term
// 1 and its own barrier, which are durable on n1 only.
func electedLeader() *replication.Group {
	g, err := replication.New(replication.Config{
		Self: "n1", Incarnation: replication.FoundingIncarnation, Founders: []member.ID{"n1", "n2", "n3"},
		HeartbeatEvery: heartbeatEvery, ElectionTimeout: electionTimeout,
		LeaseDuration: leaseDuration, LeaseMargin: leaseMargin,
	}, replication.Restored{
		HardState: replication.HardState{Term: 1},
		Entries:   []replication.Entry{entry(1, 1)},
	}, 0)
	Expect(err).NotTo(HaveOccurred())
	g.Tick(electedAt)
	granted := replication.Message{Type: replication.MessageVoteReply, Incarnation: 1, Term: 2, PreVote: true}
	Expect(g.Step(electedAt, "n2", granted)).To(Succeed())
	drainReadies(g)
	granted.PreVote = false
	Expect(g.Step(electedAt, "n2", granted)).To(Succeed())
	drainReadies(g)
	Expect(g.Status().Role).To(Equal(replication.RoleLeader))
	return g
}

// drainReadies handles all Readies and returns the numbers of the heartbeats to n2.
func drainReadies(g *replication.Group) (heartbeats []uint64) {
	for g.HasReady() {
		for _, outbound := range g.Ready().Messages {
			if outbound.To == "n2" && outbound.Message.Type == replication.MessageHeartbeat {
				heartbeats = append(heartbeats, outbound.Message.HeartbeatNumber)
			}
		}
		g.Advance()
	}
	return heartbeats
}

func appendReply(term, index uint64) replication.Message {
	return replication.Message{Type: replication.MessageAppendReply, Incarnation: 1, Term: term, Index: index}
}

// acknowledgeHeartbeatsUntil advances the time to until, and acknowledges every heartbeat at
// once.
func acknowledgeHeartbeatsUntil(g *replication.Group, from, until time.Duration) {
	for now := from; now <= until; now += tickEvery {
		g.Tick(now)
		for _, heartbeat := range drainReadies(g) {
			acknowledgeHeartbeat(g, now, heartbeat)
		}
	}
}

func acknowledgeHeartbeat(g *replication.Group, now time.Duration, heartbeat uint64) {
	reply := replication.Message{Type: replication.MessageHeartbeatReply, Incarnation: 1, Term: 2, HeartbeatNumber: heartbeat}
	Expect(g.Step(now, "n2", reply)).To(Succeed())
}

var _ = Describe("pre-votes", func() {
	It("are won only by grants of the same round of requests", func() {
		g := newMember("n1", "n1", "n2", "n3", "n4", "n5")
		granted := replication.Message{Type: replication.MessageVoteReply, Incarnation: 1, Term: 1, PreVote: true}
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
	It("commits an entry of an earlier term only together with the leader's barrier", func() {
		g := electedLeader()
		Expect(g.Step(electedAt, "n2", appendReply(2, 1))).To(Succeed())
		Expect(g.Step(electedAt, "n3", appendReply(2, 1))).To(Succeed())
		Expect(g.Status().Commit).To(BeZero())
		Expect(g.Step(electedAt, "n3", appendReply(1, 2))).To(Succeed())
		Expect(g.Status().Commit).To(BeZero(), "a reply of an earlier term was counted")
		Expect(g.Step(electedAt, "n3", appendReply(2, 2))).To(Succeed())
		Expect(g.Status().Commit).To(Equal(uint64(2)))
	})

	It("has no command lease before the leader's barrier is applied", func() {
		g := electedLeader()
		late := electedAt + leaseDuration + leaseMargin
		acknowledgeHeartbeatsUntil(g, electedAt, late)
		Expect(g.HasCommandLease(late)).To(BeFalse())
		Expect(g.Step(late, "n2", appendReply(2, 2))).To(Succeed())
		Expect(g.HasCommandLease(late)).To(BeFalse())
		drainReadies(g)
		Expect(g.HasCommandLease(late)).To(BeTrue())
	})

	It("starts the command lease when the heartbeat is sent, not when it is acknowledged", func() {
		g := electedLeader()
		Expect(g.Step(electedAt, "n2", appendReply(2, 2))).To(Succeed())
		sent := electedAt + leaseDuration + leaseMargin
		acknowledgeHeartbeatsUntil(g, electedAt, sent-tickEvery)
		var rounds []uint64
		for len(rounds) == 0 {
			sent += tickEvery
			g.Tick(sent)
			rounds = drainReadies(g)
		}
		acknowledgeHeartbeat(g, sent+2*tickEvery, rounds[0])
		end := sent + leaseDuration - leaseMargin
		Expect(g.HasCommandLease(end - 1)).To(BeTrue())
		Expect(g.HasCommandLease(end)).To(BeFalse())
		acknowledgeHeartbeat(g, end, rounds[0])
		Expect(g.HasCommandLease(end)).To(BeFalse())
	})

	It("does not advance its clock when it is asked about a future time", func() {
		g := electedLeader()
		Expect(g.HasCommandLease(time.Hour)).To(BeFalse())
		g.Tick(electedAt + heartbeatEvery)
		Expect(g.Status().Role).To(Equal(replication.RoleLeader))
	})

	It("rejects proposals beyond the limit of uncommitted entries, and reports which reads failed", func() {
		g := electedLeader()
		read, err := g.RequestRead(electedAt)
		Expect(err).NotTo(HaveOccurred())
		for err == nil {
			_, err = g.Propose(electedAt, nil)
		}
		Expect(err).To(MatchError(replication.ErrBacklogFull))
		Expect(g.TransferLeadership(electedAt + electionTimeout)).To(MatchError(replication.ErrNoSuccessor))
		g.Tick(electedAt + electionTimeout)
		Expect(g.Ready().ReadsFailed).To(Equal([]uint64{read}))
	})
})
