package replication

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("The term and vote", func() {
	restored := HardState{Term: 3, VotedFor: "b", VotedForIncarnation: 1, Commit: 5}

	ginkgo.It("reset the vote only when a later term begins", func() {
		state := newTermState(restored)
		state.raise(3)
		state.raise(2)
		Expect(state.HardState).To(Equal(restored))
		state.raise(4)
		Expect(state.HardState).To(Equal(HardState{Term: 4, Commit: 5}))
	})

	ginkgo.It("grant the term to one incarnation of a member only", func() {
		state := newTermState(restored)
		Expect(state.votedFor(Voter{ID: "b", Incarnation: 1})).To(BeTrue())
		Expect(state.votedFor(Voter{ID: "b", Incarnation: 2})).To(BeFalse())
	})

	ginkgo.It("need a sync when the term or the vote changed, not for the commit index", func() {
		state := newTermState(restored)
		Expect(state.changed()).To(BeFalse())
		state.Commit = 9
		Expect(state.changed()).To(BeFalse())
		state.raise(4)
		Expect(state.changed()).To(BeTrue())
		Expect(*state.takeHardState(10)).To(Equal(HardState{Term: 4, Commit: 10}))
		Expect(state.changed()).To(BeFalse())
		state.vote(Voter{ID: "a", Incarnation: 1})
		Expect(state.changed()).To(BeTrue())
	})
})
