package replication_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

var _ = Describe("a group that lost its quorum", func() {
	It("is not recovered by a member whose log is older than that of another voter", func() {
		grant := replication.Message{Type: replication.MessageRecoveryReply, Incarnation: 8, PreVote: true}
		newer := replication.Message{Type: replication.MessageRecoveryReply, Incarnation: 1, PreVote: true, Reject: true, Index: 2, IndexTerm: 1}
		for _, newerLogReplied := range []bool{false, true} {
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
			if newerLogReplied {
				Expect(g.Step(now, "n4", newer)).To(Succeed())
			}
			Expect(g.Step(now, "n2", grant)).To(Succeed())
			term, _ := g.RecoveryTerm()
			Expect(term == 0).To(Equal(newerLogReplied))
		}
	})
})
