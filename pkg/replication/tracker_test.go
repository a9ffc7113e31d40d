package replication

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

var _ = ginkgo.Describe("The tracker of a leader", func() {
	group := foundingSlots([]member.ID{"a", "b", "c"})
	match := func(p *progress) uint64 { return p.match }

	newFollowers := func() tracker {
		followers := newTracker(voterOf("a"), time.Second)
		followers.track([]member.ID{"b", "c"}, progress{next: 1})
		followers.assumeIncarnations(group.voters())
		return followers
	}

	ginkgo.It("counts the leader with its own value in a majority", func() {
		followers := newFollowers()
		followers.get("b").match = 4
		Expect(followers.reachedByMajority(group.voters(), 9, match)).To(Equal(uint64(4)))
		Expect(followers.reachedByMajority(group.voters(), 3, match)).To(Equal(uint64(3)))
	})

	ginkgo.It("does not count a voter that was last heard from in another incarnation", func() {
		followers := newFollowers()
		followers.get("b").beginIncarnation(7)
		followers.get("b").match = 4
		Expect(followers.reachedByMajority(group.voters(), 9, match)).To(BeZero())
		Expect(followers.isLiveVoter(voterOf("b"), 0)).To(BeFalse())
		Expect(followers.lastHeard(group[1])).To(Equal(Voter{ID: "b", Incarnation: 7}))
	})

	ginkgo.It("keeps the progress of a member that is tracked already", func() {
		followers := newFollowers()
		followers.get("b").match = 4
		followers.track([]member.ID{"b", "d"}, progress{next: 9})
		Expect(followers.get("b").match).To(Equal(uint64(4)))
		Expect(followers.get("d").next).To(Equal(uint64(9)))
	})

	ginkgo.It("has a live majority until the last contact with too many voters is too old", func() {
		followers := newFollowers()
		followers.get("b").recordContact(Message{}, 500*time.Millisecond, 1)
		Expect(followers.hasLiveMajority(group, 1400*time.Millisecond)).To(BeTrue())
		Expect(followers.hasLiveMajority(group, 1500*time.Millisecond)).To(BeFalse())
	})
})

var _ = ginkgo.Describe("The progress of a follower", func() {
	ginkgo.It("changes from probing to replicating at an acknowledgement, and back at a rejection", func() {
		follower := progress{next: 10}
		follower.sent(make([]Entry, 3), 1)
		Expect(follower.isPaused()).To(BeTrue(), "a probe sends one append at a time")
		Expect(follower.rejected(9, 4)).To(BeTrue())
		Expect(follower.next).To(Equal(uint64(5)))
		Expect(follower.acknowledged(6)).To(BeTrue())
		Expect(follower.state).To(Equal(progressReplicate))
		follower.sent(make([]Entry, 3), 1)
		Expect(follower.next).To(Equal(uint64(10)))
		Expect(follower.rejected(6, 2)).To(BeFalse(), "the follower is known to have that entry")
		Expect(follower.rejected(9, 8)).To(BeTrue())
		Expect(follower.state).To(Equal(progressProbe))
	})

	ginkgo.It("waits for a snapshot until it is installed", func() {
		follower := progress{next: 1}
		follower.becomeSnapshot(20, time.Second, 1)
		Expect(follower.isPaused()).To(BeTrue())
		Expect(follower.rejected(19, 0)).To(BeFalse())
		follower.acknowledged(5)
		Expect(follower.state).To(Equal(progressSnapshot))
		follower.acknowledged(20)
		Expect(follower.state).To(Equal(progressReplicate))
		Expect(follower.next).To(Equal(uint64(21)))
	})

	ginkgo.It("accepts a later incarnation only if it acknowledges a newer heartbeat", func() {
		follower := progress{incarnation: 1}
		follower.recordContact(Message{Incarnation: 1}, time.Second, 5)
		Expect(follower.isLaterIncarnation(Message{Incarnation: 7, HeartbeatNumber: 5})).To(BeFalse())
		Expect(follower.isLaterIncarnation(Message{Incarnation: 7, HeartbeatNumber: 6})).To(BeTrue())
	})
})
