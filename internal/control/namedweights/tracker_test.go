package namedweights

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

func TestNamedWeights(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "namedweights")
}

const (
	deadline = 10 * time.Second
	chat     = "chat"
)

func pool(version string) *ridgeswitchv1.Pool {
	return &ridgeswitchv1.Pool{Name: chat, WeightVersion: version}
}

func age(version string, length time.Duration) *controlpb.WeightsAge {
	return &controlpb.WeightsAge{Pool: chat, WeightVersion: version, AgeMs: uint64(length.Milliseconds())}
}

var _ = Describe("A tracker of named weights", func() {
	var tracker *Tracker

	BeforeEach(func() { tracker = New(deadline) })

	names := func() []string {
		return lo.Map(tracker.Versions(chat), func(version Version, _ int) string { return version.Name })
	}

	It("keeps the time of a version when another one is named", func() {
		tracker.Follow(time.Second, pool("2"), nil)
		tracker.Follow(4*time.Second, pool("3"), nil)
		Expect(tracker.Versions(chat)).To(Equal([]Version{{Name: "2", Since: time.Second}, {Name: "3", Since: 4 * time.Second}}))
		Expect(tracker.DeadlinePassed(10*time.Second, 11*time.Second)).To(BeTrue())
		Expect(tracker.DeadlinePassed(11*time.Second, 13*time.Second)).To(BeFalse())
		Expect(tracker.DeadlinePassed(13*time.Second, 14*time.Second)).To(BeTrue())
	})

	It("counts on from the replicated ages after a start, of versions that it never saw in force too", func() {
		tracker.Follow(time.Second, pool("3"), []*controlpb.WeightsAge{age("2", 8*time.Second), age("3", 3*time.Second)})
		Expect(tracker.Versions(chat)).To(Equal([]Version{
			{Name: "2", Since: -7 * time.Second, ReplicatedAge: 8 * time.Second},
			{Name: "3", Since: -2 * time.Second, ReplicatedAge: 3 * time.Second},
		}))
		// The same ages, read later, make nothing younger.
		tracker.Follow(5*time.Second, pool("3"), []*controlpb.WeightsAge{age("2", 8*time.Second), age("3", 3*time.Second)})
		Expect(tracker.Versions(chat)[0].Since).To(Equal(-7 * time.Second))
	})

	It("drops what a version whose deadline has passed implies, and never takes it for newer", func() {
		tracker.Follow(0, pool("2"), nil)
		tracker.Follow(time.Second, pool("3"), nil)
		tracker.Follow(2*time.Second, pool("4"), nil)
		tracker.Follow(11*time.Second, pool("4"), []*controlpb.WeightsAge{age("3", deadline), age("4", 9*time.Second)})
		Expect(names()).To(Equal([]string{"3", "4"}))
	})

	It("keeps a version in force that the leader has not replicated yet as the last one", func() {
		tracker.Follow(0, pool("2"), nil)
		tracker.Follow(time.Second, pool("3"), []*controlpb.WeightsAge{age("2", time.Second)})
		Expect(names()).To(Equal([]string{"2", "3"}))
		Expect(tracker.Versions(chat)[1].ReplicatedAge).To(BeZero())
	})

	It("takes a version that is named again for a new naming", func() {
		tracker.Follow(0, pool("a"), nil)
		tracker.Follow(time.Second, pool("b"), []*controlpb.WeightsAge{age("a", deadline), age("b", 0)})
		tracker.Follow(20*time.Second, pool("a"), []*controlpb.WeightsAge{age("a", deadline), age("b", deadline)})
		Expect(names()).To(Equal([]string{"b", "a"}))
		Expect(tracker.Versions(chat)[1]).To(Equal(Version{Name: "a", Since: 20 * time.Second}))
	})

	It("is bounded, and gives no version more time when it drops another", func() {
		for number := range 100 {
			tracker.Follow(time.Duration(number)*10*time.Millisecond, pool(fmt.Sprint(number+1)), nil)
		}
		Expect(names()).To(HaveLen(maxVersions))
		Expect(names()[0]).To(Equal("1"))
		Expect(names()[maxVersions-1]).To(Equal("100"))
		Expect(tracker.Versions(chat)[1].Since).To(Equal(10 * time.Millisecond))
	})

	It("forgets pools that left the configuration", func() {
		tracker.Follow(0, pool("2"), nil)
		tracker.Retain(nil)
		Expect(tracker.Versions(chat)).To(BeEmpty())
	})

	It("knows no versions of a pool without any, and drops none where there is no deadline", func() {
		tracker.Follow(0, pool(""), nil)
		Expect(tracker.Versions(chat)).To(BeEmpty())
		withoutDeadline := New(0)
		withoutDeadline.Follow(0, pool("2"), nil)
		withoutDeadline.Follow(time.Second, pool("3"), []*controlpb.WeightsAge{age("2", time.Hour), age("3", time.Hour)})
		Expect(withoutDeadline.Versions(chat)).To(HaveLen(2))
		Expect(withoutDeadline.DeadlinePassed(0, time.Hour)).To(BeFalse())
	})
})
