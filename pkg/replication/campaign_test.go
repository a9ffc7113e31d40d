package replication

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// voterOf returns a member in the founding incarnation.
func voterOf(id member.ID) Voter {
	return Voter{ID: id, Incarnation: FoundingIncarnation}
}

var _ = ginkgo.Describe("A campaign", func() {
	group := foundingSlots([]member.ID{"a", "b", "c", "d", "e"})

	ginkgo.It("is won by a majority of the voters", func() {
		c := campaign{granted: grants{voterOf("a"), voterOf("b")}}
		Expect(c.won(group)).To(BeFalse())
		c.granted = c.granted.with(voterOf("b"))
		Expect(c.won(group)).To(BeFalse())
		c.granted = c.granted.with(voterOf("c"))
		Expect(c.won(group)).To(BeTrue())
	})

	ginkgo.It("is lost when too few voters are left that could grant", func() {
		c := campaign{granted: grants{voterOf("a")}}
		Expect(c.reject(voterOf("b"), group)).To(BeFalse())
		Expect(c.reject(voterOf("b"), group)).To(BeFalse())
		Expect(c.reject(voterOf("c"), group)).To(BeFalse())
		Expect(c.reject(voterOf("d"), group)).To(BeTrue())
	})

	ginkgo.It("is not lost by a late rejection of a voter that has granted", func() {
		c := campaign{granted: grants{voterOf("a"), voterOf("b")}}
		for range group {
			Expect(c.reject(voterOf("b"), group)).To(BeFalse())
		}
		Expect(c.rejected).To(BeEmpty())
	})

	ginkgo.It("is not lost by rejections in a pre-vote", func() {
		c := campaign{preVote: true}
		for _, voter := range group.voters() {
			Expect(c.reject(voter, group)).To(BeFalse())
		}
	})

	ginkgo.It("discards earlier grants in each round of a pre-vote, and keeps those of a vote", func() {
		granted := grants{voterOf("a"), voterOf("b")}
		preVote := campaign{preVote: true, granted: granted}
		preVote.startRound(voterOf("a"), time.Second)
		Expect(preVote.granted).To(Equal(grants{voterOf("a")}))
		vote := campaign{granted: granted, rejected: grants{voterOf("c")}}
		vote.startRound(voterOf("a"), time.Second)
		Expect(vote.granted).To(Equal(granted))
		Expect(vote.rejected).To(BeEmpty())
		Expect(vote.requestedAt).To(Equal(time.Second))
	})
})

var _ = ginkgo.Describe("Grants", func() {
	group := foundingSlots([]member.ID{"a", "b", "c"})
	newB := Voter{ID: "b", Incarnation: 7}

	ginkgo.It("form a majority only if they are of the incarnations that have a vote", func() {
		Expect(grants{voterOf("a"), newB}.includeMajority(group)).To(BeFalse())
		Expect(grants{voterOf("a"), voterOf("b")}.includeMajority(group)).To(BeTrue())
	})

	ginkgo.It("cover the slots in any incarnation", func() {
		Expect(grants{voterOf("a"), newB}.includeSlots(group)).To(BeFalse())
		Expect(grants{voterOf("a"), newB, voterOf("c")}.includeSlots(group)).To(BeTrue())
	})

	ginkgo.It("cover the peers except those that stop", func() {
		peers := peerSet{{ID: "x"}, {ID: "y", Left: true}}
		Expect(grants{voterOf("a")}.includePeers(peers)).To(BeFalse())
		Expect(grants{voterOf("x")}.includePeers(peers)).To(BeTrue())
	})

	ginkgo.It("give each slot to the incarnation that has granted, with a vote", func() {
		waiting := group.with(2, Slot{Voter: voterOf("c"), Learner: true})
		recovered := grants{voterOf("a"), newB, voterOf("c"), voterOf("x")}.recoveredGroup(waiting)
		Expect(recovered).To(Equal(slots{{Voter: voterOf("a")}, {Voter: newB}, {Voter: voterOf("c")}}))
		Expect(waiting[1].Incarnation).To(Equal(uint64(FoundingIncarnation)), "the given group must not be modified")
	})
})
