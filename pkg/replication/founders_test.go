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

var _ = Describe("the founders of a group", func() {
	It("are read from the first entry by members whose settings do not contain them", func() {
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
		restarted, err := replication.New(replication.Config{
			Self: "n2", Incarnation: replication.FoundingIncarnation, HeartbeatEvery: heartbeatEvery, ElectionTimeout: electionTimeout,
		}, founder.Checkpoint(), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(restarted.Status().Slots).To(Equal(founderSlots("n1", "n2", "n3")))
		Expect(restarted.Status().Role).To(Equal(replication.RoleFollower))
	})

	It("are not made up by a member that knows no group", func() {
		g := newMember("n4")
		g.ExpectState()
		g.SetPeers(0, []replication.Peer{{ID: "n1"}, {ID: "n2"}})
		for now := time.Duration(0); now < time.Minute; now += heartbeatEvery {
			g.Tick(now)
		}
		Expect(g.HasReady()).To(BeFalse())
		Expect(g.Status().Role).To(Equal(replication.RoleLearner))
	})

	It("are required for compaction: a log that does not contain them is not compacted", func() {
		g := newMember("n4")
		Expect(g.Step(0, "n1", appendMessage(1, 0, 0, 1, entry(1, 1)))).To(Succeed())
		drainReadies(g)
		Expect(g.Compact(1, nil)).To(BeAssignableToTypeOf(&replication.CompactError{}))
	})
})
