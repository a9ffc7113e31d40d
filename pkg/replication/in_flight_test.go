package replication_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// boundedLeader returns the leader n1 of a group of three whose MaxLogBytes is maxLogBytes,
// after n2 has acknowledged its whole log.
func boundedLeader(maxLogBytes int) *replication.Group {
	g, err := replication.New(replication.Config{
		Self: "n1", Incarnation: replication.FoundingIncarnation, Founders: []member.ID{"n1", "n2", "n3"},
		HeartbeatEvery: heartbeatEvery, ElectionTimeout: electionTimeout, MaxLogBytes: maxLogBytes,
	}, replication.Restored{}, 0)
	Expect(err).NotTo(HaveOccurred())
	g.Tick(electedAt)
	for _, preVote := range []bool{true, false} {
		Expect(g.Step(electedAt, "n2", replication.Message{Type: replication.MessageVoteReply, Incarnation: 1, Term: 1, PreVote: preVote})).To(Succeed())
		sentTo("n2", g)
	}
	Expect(g.Status().Role).To(Equal(replication.RoleLeader))
	Expect(g.Step(electedAt, "n2", appendReply(1, 1))).To(Succeed())
	sentTo("n2", g)
	Expect(g.Status().Commit).To(BeEquivalentTo(1))
	return g
}

// sentTo handles all Readies. It returns the messages to a member that carry entries or a
// snapshot, and the number of the last heartbeat to it.
func sentTo(to member.ID, g *replication.Group) (carrying []replication.Message, heartbeat uint64) {
	for g.HasReady() {
		for _, outbound := range g.Ready().Messages {
			message := outbound.Message
			switch {
			case outbound.To != to:
			case message.Type == replication.MessageHeartbeat:
				heartbeat = message.HeartbeatNumber
			case len(message.Entries) > 0 || message.Snapshot != nil:
				carrying = append(carrying, message)
			}
		}
		g.Advance()
	}
	return carrying, heartbeat
}

// sendHeartbeat lets a leader send its next heartbeat, and returns the number of the
// heartbeat.
func sendHeartbeat(g *replication.Group, now time.Duration) uint64 {
	g.Tick(now)
	carrying, heartbeat := sentTo("n2", g)
	Expect(carrying).To(BeEmpty())
	Expect(heartbeat).NotTo(BeZero())
	return heartbeat
}

func firstTermHeartbeatReply(number uint64) replication.Message {
	return replication.Message{Type: replication.MessageHeartbeatReply, Incarnation: 1, Term: 1, HeartbeatNumber: number}
}

var _ = Describe("The transfer of a large log", func() {
	const large = 256 << 10

	// Guards against sending a large document again while the first transfer is in progress
	// (issue 37).
	It("sends an entry once, unless a heartbeat sent after it is acknowledged first", func() {
		g := boundedLeader(4 * large)
		now := electedAt + heartbeatEvery
		before := sendHeartbeat(g, now)
		_, err := g.Propose(now, make([]byte, large))
		Expect(err).NotTo(HaveOccurred())
		sent, _ := sentTo("n2", g)
		Expect(sent).To(HaveLen(1))
		By("receiving a heartbeat reply that was sent before the entry arrived")
		Expect(g.Step(now, "n2", firstTermHeartbeatReply(before))).To(Succeed())
		sent, _ = sentTo("n2", g)
		Expect(sent).To(BeEmpty())
		By("receiving a reply to a later heartbeat, which shows that the entry was lost")
		after := sendHeartbeat(g, now+heartbeatEvery)
		Expect(g.Step(now+heartbeatEvery, "n2", firstTermHeartbeatReply(after))).To(Succeed())
		reject := appendReply(1, 2)
		reject.Reject, reject.RejectHint, reject.IndexTerm = true, 1, 1
		Expect(g.Step(now+heartbeatEvery, "n2", reject)).To(Succeed())
		sent, _ = sentTo("n2", g)
		Expect(sent).To(HaveLen(1))
	})

	// Guards against sending a member that was delayed by its disk everything that was
	// appended meanwhile at once, which it can neither hold in memory nor write (issue 37).
	It("limits the bytes in flight, and continues with each acknowledgement", func() {
		const entries, inFlight = 20, 3
		g := boundedLeader(inFlight * large)
		unacknowledged := 0
		for range entries {
			_, err := g.Propose(electedAt, make([]byte, large))
			Expect(err).NotTo(HaveOccurred())
			sent, _ := sentTo("n2", g)
			for _, message := range sent {
				unacknowledged += len(message.Entries)
			}
		}
		Expect(unacknowledged).To(Equal(inFlight))
		last := uint64(1)
		for last < entries+1 {
			last++
			Expect(g.Step(electedAt, "n2", appendReply(1, last))).To(Succeed())
			sent, _ := sentTo("n2", g)
			for _, message := range sent {
				unacknowledged += len(message.Entries)
			}
			unacknowledged--
			Expect(unacknowledged).To(BeNumerically("<=", inFlight+3), "the last append, of up to 1 MiB, may exceed the limit")
		}
		Expect(g.Status().Commit).To(BeEquivalentTo(last))
	})

	// Guards against sending the whole snapshot again at each election timeout while the
	// first transfer is in progress (issue 37).
	It("sends a snapshot again only when it was lost", func() {
		g := boundedLeader(large / 2)
		now := electedAt
		_, err := g.Propose(now, make([]byte, large))
		Expect(err).NotTo(HaveOccurred())
		sentTo("n2", g)
		Expect(g.Step(now, "n2", appendReply(1, 2))).To(Succeed())
		sentTo("n2", g)
		Expect(g.Compact(2, make([]byte, large))).To(Succeed())
		snapshots := func(from time.Duration, number uint64) int {
			Expect(g.Step(from, "n2", appendReply(1, 2))).To(Succeed())
			Expect(g.Step(from, "n3", firstTermHeartbeatReply(number))).To(Succeed())
			sent, _ := sentTo("n3", g)
			return len(sent)
		}
		reject := appendReply(1, 0)
		reject.Reject = true
		Expect(g.Step(now, "n3", firstTermHeartbeatReply(1))).To(Succeed())
		Expect(g.Step(now, "n3", reject)).To(Succeed())
		sent, _ := sentTo("n3", g)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Snapshot).NotTo(BeNil())
		beforeSnapshot := sendHeartbeat(g, now+heartbeatEvery) - 1
		Expect(snapshots(now+electionTimeout, beforeSnapshot)).To(BeZero(), "the snapshot may still be in transit")
		Expect(snapshots(now+electionTimeout, beforeSnapshot+1)).To(Equal(1), "a heartbeat sent after the snapshot was acknowledged")
	})
})
