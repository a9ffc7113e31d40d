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

	// Guards against requests on older weights at a pool that comes into the configuration, or
	// returns to it, after its model's weights were named (review/6).
	Context("for a pool that inherits the version of its model", func() {
		modelPool := func(name, version string, inherited bool) *ridgeswitchv1.Pool {
			return &ridgeswitchv1.Pool{Name: name, Model: "m", WeightVersion: version, WeightsInherited: inherited}
		}
		overdue := Version{Name: "2", ReplicatedAge: deadline}

		It("continues the times of another pool of the model, also those of earlier versions", func() {
			tracker.Update(time.Second, modelPool("a", "2", false), nil)
			tracker.Update(9*time.Second, modelPool("a", "3", false), nil)
			tracker.Update(10*time.Second, modelPool(chat, "3", true), nil)
			Expect(tracker.Versions(chat)).To(Equal(tracker.Versions("a")))
			Expect(names()).To(Equal([]string{"2", "3"}))
			By("not sharing them")
			tracker.Update(11*time.Second, modelPool("a", "4", false), nil)
			Expect(names()).To(Equal([]string{"2", "3"}))
		})

		It("counts the version as overdue if no pool of the model has it", func() {
			tracker.Update(time.Second, &ridgeswitchv1.Pool{Name: "other", Model: "n", WeightVersion: "2"}, nil)
			tracker.Update(time.Second, modelPool("older", "1", false), nil)
			tracker.Update(30*time.Second, modelPool(chat, "2", true), []*controlpb.WeightsAge{age("2", time.Second)})
			overdue.Since = 20 * time.Second
			Expect(tracker.Versions(chat)).To(Equal([]Version{overdue}))
			By("also after further updates and a newer version")
			tracker.Update(31*time.Second, modelPool(chat, "3", false), []*controlpb.WeightsAge{age("2", 2*time.Second)})
			Expect(tracker.Versions(chat)).To(Equal([]Version{overdue, {Name: "3", Since: 31 * time.Second}}))
		})

		It("keeps what it knows of a pool that did not leave as far as this node saw", func() {
			tracker.Update(time.Second, modelPool(chat, "2", false), nil)
			tracker.Update(9*time.Second, modelPool(chat, "2", true), nil)
			Expect(tracker.Versions(chat)[0].Since).To(Equal(time.Second))
		})
	})

	It("forgets the versions of the model that a pool had before, and ignores their ages", func() {
		before := &ridgeswitchv1.Pool{Name: chat, Model: "m", WeightVersion: "5"}
		tracker.Update(time.Second, before, nil)
		ofModel := func(model, version string) *controlpb.WeightsAge {
			return &controlpb.WeightsAge{Pool: chat, Model: model, WeightVersion: version, AgeMs: uint64(deadline.Milliseconds())}
		}
		tracker.Update(2*time.Second, &ridgeswitchv1.Pool{Name: chat, Model: "n"}, []*controlpb.WeightsAge{ofModel("m", "5")})
		Expect(tracker.Versions(chat)).To(BeEmpty())
		tracker.Update(3*time.Second, &ridgeswitchv1.Pool{Name: chat, Model: "n", WeightVersion: "2"}, []*controlpb.WeightsAge{ofModel("m", "5")})
		Expect(names()).To(Equal([]string{"2"}))
		Expect(tracker.Versions(chat)[0].Since).To(Equal(3 * time.Second))
	})

	It("keeps the time and deadline of a version when another one is named", func() {
		tracker.Update(time.Second, pool("2"), nil)
		tracker.Update(4*time.Second, pool("3"), nil)
		Expect(tracker.Versions(chat)).To(Equal([]Version{{Name: "2", Since: time.Second, Uncertain: true}, {Name: "3", Since: 4 * time.Second}}))
		Expect(tracker.DeadlinePassed(10*time.Second, 11*time.Second)).To(BeTrue())
		Expect(tracker.DeadlinePassed(11*time.Second, 13*time.Second)).To(BeFalse())
		Expect(tracker.DeadlinePassed(13*time.Second, 14*time.Second)).To(BeTrue())
	})

	It("continues from the replicated ages after a start, including those of earlier versions", func() {
		tracker.Update(time.Second, pool("3"), []*controlpb.WeightsAge{age("2", 8*time.Second), age("3", 3*time.Second)})
		Expect(tracker.Versions(chat)).To(Equal([]Version{
			{Name: "2", Since: -7 * time.Second, ReplicatedAge: 8 * time.Second, Uncertain: true},
			{Name: "3", Since: -2 * time.Second, ReplicatedAge: 3 * time.Second, Uncertain: true},
		}))
		// The same replicated ages do not make a version younger when they are read later.
		tracker.Update(5*time.Second, pool("3"), []*controlpb.WeightsAge{age("2", 8*time.Second), age("3", 3*time.Second)})
		Expect(tracker.Versions(chat)[0].Since).To(Equal(-7 * time.Second))
	})

	It("counts an age as replicated if at most MaxLeaderGap is missing", func() {
		version := Version{Name: "2", ReplicatedAge: 8 * time.Second}
		Expect(version.ReplicatedUpTo(8*time.Second + MaxLeaderGap)).To(BeTrue())
		Expect(version.ReplicatedUpTo(8*time.Second + MaxLeaderGap + 1)).To(BeFalse())
		Expect(Version{Name: "2"}.ReplicatedUpTo(time.Second)).To(BeFalse())
	})

	// Guards against nodes that start while a roll-out is under way and count its age from too late.
	It("takes a version that was named before the process started for older, until the leader replicates a greater age", func() {
		tracker.Update(time.Second, pool("2"), nil)
		tracker.Update(2*time.Second, pool("2"), []*controlpb.WeightsAge{age("2", 5*time.Second)})
		Expect(tracker.Versions(chat)[0].EarliestSince()).To(Equal(-3*time.Second - MaxLeaderGap))
		tracker.Update(2500*time.Millisecond, pool("2"), []*controlpb.WeightsAge{age("2", 6*time.Second)})
		Expect(tracker.Versions(chat)[0].EarliestSince()).To(Equal(-3500 * time.Millisecond))
	})

	It("knows when a version was named that it sees named", func() {
		tracker.Update(0, pool(""), nil)
		tracker.Update(time.Second, pool("2"), nil)
		Expect(tracker.Versions(chat)[0].EarliestSince()).To(Equal(time.Second))
	})

	It("drops the versions that one whose deadline has passed supersedes, and does not append them again", func() {
		tracker.Update(0, pool("2"), nil)
		tracker.Update(time.Second, pool("3"), nil)
		tracker.Update(2*time.Second, pool("4"), nil)
		tracker.Update(11*time.Second, pool("4"), []*controlpb.WeightsAge{age("3", deadline), age("4", 9*time.Second)})
		Expect(names()).To(Equal([]string{"3", "4"}))
	})

	It("keeps the current version last while the leader has not replicated its age", func() {
		tracker.Update(0, pool("2"), nil)
		tracker.Update(time.Second, pool("3"), []*controlpb.WeightsAge{age("2", time.Second)})
		Expect(names()).To(Equal([]string{"2", "3"}))
		Expect(tracker.Versions(chat)[1].ReplicatedAge).To(BeZero())
	})

	It("starts with age 0 for a version that is named again after another one", func() {
		tracker.Update(0, pool("a"), nil)
		tracker.Update(time.Second, pool("b"), []*controlpb.WeightsAge{age("a", deadline), age("b", 0)})
		tracker.Update(20*time.Second, pool("a"), []*controlpb.WeightsAge{age("a", deadline), age("b", deadline)})
		Expect(names()).To(Equal([]string{"b", "a"}))
		Expect(tracker.Versions(chat)[1]).To(Equal(Version{Name: "a", Since: 20 * time.Second}))
	})

	It("limits the number of versions, and extends no deadline when it drops a version", func() {
		for number := range 100 {
			tracker.Update(time.Duration(number)*10*time.Millisecond, pool(fmt.Sprint(number+1)), nil)
		}
		Expect(names()).To(HaveLen(maxVersions))
		Expect(names()[0]).To(Equal("1"))
		Expect(names()[maxVersions-1]).To(Equal("100"))
		Expect(tracker.Versions(chat)[1].Since).To(Equal(10 * time.Millisecond))
	})

	It("drops pools that left the configuration", func() {
		tracker.Update(0, pool("2"), nil)
		tracker.Retain(nil)
		Expect(tracker.Versions(chat)).To(BeEmpty())
	})

	It("has no versions of a pool that names none, and drops no versions without a deadline", func() {
		tracker.Update(0, pool(""), nil)
		Expect(tracker.Versions(chat)).To(BeEmpty())
		withoutDeadline := New(0)
		withoutDeadline.Update(0, pool("2"), nil)
		withoutDeadline.Update(time.Second, pool("3"), []*controlpb.WeightsAge{age("2", time.Hour), age("3", time.Hour)})
		Expect(withoutDeadline.Versions(chat)).To(HaveLen(2))
		Expect(withoutDeadline.DeadlinePassed(0, time.Hour)).To(BeFalse())
	})
})
