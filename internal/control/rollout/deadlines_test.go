package rollout

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
)

var _ = Describe("The ages of weight versions on a leader", func() {
	const deadline = 10 * time.Second

	var ages *weightsAges
	chat := &ridgeswitchv1.Pool{Name: "chat"}

	BeforeEach(func() { ages = newWeightsAges() })

	replicated := func(now time.Duration, versions ...namedweights.Version) []*controlpb.WeightsAge {
		ages.update(now, "chat", versions)
		return ages.toReplicate(now, []Pool{{Config: chat, Named: versions}}, deadline)
	}

	It("continue from the ages of the earlier leader and include a short time without a leader", func() {
		version := namedweights.Version{Name: "2", Since: 0, ReplicatedAge: 5 * time.Second}
		ages.update(7*time.Second, "chat", []namedweights.Version{version})
		Expect(ages.since("chat", version)).To(BeZero())
	})

	It("include at most MaxLeaderGap of a long time without a leader", func() {
		version := namedweights.Version{Name: "2", Since: 0, ReplicatedAge: 5 * time.Second}
		ages.update(30*time.Second, "chat", []namedweights.Version{version})
		Expect(30*time.Second - ages.since("chat", version)).To(Equal(5*time.Second + namedweights.MaxLeaderGap))
		version.ReplicatedAge = 9 * time.Second
		ages.update(31*time.Second, "chat", []namedweights.Version{version})
		Expect(31*time.Second - ages.since("chat", version)).To(Equal(6*time.Second + namedweights.MaxLeaderGap))
	})

	It("are replicated every ageInterval and when the deadline passes, but not after that", func() {
		version := namedweights.Version{Name: "2", Since: time.Second}
		Expect(replicated(time.Second+ageInterval-time.Millisecond, version)).To(BeNil())
		Expect(replicated(time.Second+ageInterval, version)).To(HaveLen(1))
		version.ReplicatedAge = deadline - 100*time.Millisecond
		Expect(replicated(time.Second+deadline-time.Millisecond, version)).To(BeNil())
		Expect(replicated(time.Second+deadline, version)[0].GetAgeMs()).To(BeEquivalentTo(deadline.Milliseconds()))
		version.ReplicatedAge = deadline
		Expect(replicated(time.Hour, version)).To(BeNil())
	})

	It("are replicated for the newest version whose deadline has passed and for all later versions", func() {
		versions := []namedweights.Version{{Name: "2", Since: 0}, {Name: "3", Since: 2 * time.Second}, {Name: "4", Since: 9 * time.Second}}
		ages.update(0, "chat", versions)
		var names []string
		for _, age := range replicated(13*time.Second, versions...) {
			names = append(names, age.GetWeightVersion())
		}
		Expect(names).To(Equal([]string{"3", "4"}))
	})

	It("determine the oldest version that a replica has not reached", func() {
		versions := []namedweights.Version{{Name: "2", Since: time.Second}, {Name: "3", Since: 2 * time.Second}}
		ages.update(3*time.Second, "chat", versions)
		since, found := ages.firstUnreached("chat", "1", versions)
		Expect(found).To(BeTrue())
		Expect(since).To(Equal(time.Second))
		since, found = ages.firstUnreached("chat", "2", versions)
		Expect(found).To(BeTrue())
		Expect(since).To(Equal(2 * time.Second))
		_, found = ages.firstUnreached("chat", "3", versions)
		Expect(found).To(BeFalse())
	})
})
