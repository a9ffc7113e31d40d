package replication_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// boundedLeader returns the leader n1 of a group of three that keeps few bytes of its log,
// after n2 has acknowledged all of it.
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

// sentTo passes all Readies and returns the messages to a member that carry commands or a
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

// sendHeartbeat lets a leader send its next heartbeat, and returns its number.
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

var _ = Describe("What a leader sends of a large log", func() {
	const large = 256 << 10

	// Guards against a document that is sent whole again while it is under way (issue 37).
	It("is sent once, unless a later heartbeat was answered before it", func() {
		g := boundedLeader(4 * large)
		now := electedAt + heartbeatEvery
		before := sendHeartbeat(g, now)
		_, err := g.Propose(now, make([]byte, large))
		Expect(err).NotTo(HaveOccurred())
		sent, _ := sentTo("n2", g)
		Expect(sent).To(HaveLen(1))
		By("a reply that was sent before the entry arrived")
		Expect(g.Step(now, "n2", firstTermHeartbeatReply(before))).To(Succeed())
		sent, _ = sentTo("n2", g)
		Expect(sent).To(BeEmpty())
		By("a reply that overtakes the acknowledgement of an entry that was lost")
		after := sendHeartbeat(g, now+heartbeatEvery)
		Expect(g.Step(now+heartbeatEvery, "n2", firstTermHeartbeatReply(after))).To(Succeed())
		reject := appendReply(1, 2)
		reject.Reject, reject.RejectHint, reject.IndexTerm = true, 1, 1
		Expect(g.Step(now+heartbeatEvery, "n2", reject)).To(Succeed())
		sent, _ = sentTo("n2", g)
		Expect(sent).To(HaveLen(1))
	})

	// Guards against a member that was held up by its disk and is sent all that came
	// meanwhile at once, which it can neither hold in memory nor write (issue 37).
	It("is in flight in bounded bytes, and goes on with each acknowledgement", func() {
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
			Expect(unacknowledged).To(BeNumerically("<=", inFlight+3), "an append has up to a mebibyte")
		}
		Expect(g.Status().Commit).To(BeEquivalentTo(last))
	})

	// Guards against a snapshot that is sent whole again each election timeout while the
	// first one is under way (issue 37).
	It("is a snapshot that is sent again only when it was lost", func() {
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
		Expect(snapshots(now+electionTimeout, beforeSnapshot)).To(BeZero(), "it may be under way")
		Expect(snapshots(now+electionTimeout, beforeSnapshot+1)).To(Equal(1), "a later heartbeat was answered")
	})
})
