package view

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

var _ = Describe("The deadline of a weight version", func() {
	const (
		deadline = 10 * time.Second
		now      = 30 * time.Second
	)

	poolOf := func(versions ...string) *routing.Pool {
		return &routing.Pool{Replicas: lo.Map(versions, func(version string, _ int) routing.Replica {
			return routing.Replica{WeightVersion: version, Admitting: true}
		})}
	}
	admitting := func(pool *routing.Pool) []string {
		return lo.FilterMap(pool.Replicas, func(replica routing.Replica, _ int) (string, bool) {
			return replica.WeightVersion, replica.Admitting
		})
	}
	passed, pending := now-deadline, now-deadline+time.Millisecond

	DescribeTable("excludes outdated replicas",
		func(pool *routing.Pool, versions []namedweights.Version, overdue bool, expected []string) {
			builder := NewBuilder(Config{WeightsDeadline: deadline})
			builder.excludeOutdated(now, pool, versions)
			Expect(lo.SomeBy(versions, func(version namedweights.Version) bool { return builder.overdue(now, version) })).To(Equal(overdue))
			Expect(admitting(pool)).To(Equal(expected))
		},
		Entry("only after it has passed",
			poolOf("1", "2"), []namedweights.Version{{Name: "2", Since: pending}}, false, []string{"1", "2"}),
		Entry("if a quarter of the pool runs the version, by the node's own clock",
			poolOf("1", "2", "1", "1"), []namedweights.Version{{Name: "2", Since: passed}}, true, []string{"2"}),
		Entry("not if less than a quarter of the pool runs the version, by the node's own clock",
			poolOf("1", "2", "1", "1", "1"), []namedweights.Version{{Name: "2", Since: passed}}, true, []string{"1", "2", "1", "1", "1"}),
		Entry("whatever the rest of the pool runs, if the leader has replicated that it passed",
			poolOf("1", "1"), []namedweights.Version{{Name: "2", Since: passed, ReplicatedAge: deadline}}, true, []string{}),
		Entry("whatever the rest of the pool runs, if the leader has replicated all but MaxLeaderGap",
			poolOf("1", "1"), []namedweights.Version{{Name: "2", Since: passed, ReplicatedAge: deadline - namedweights.MaxLeaderGap}}, true, []string{}),
		Entry("not if the leader has replicated less",
			poolOf("1", "1"), []namedweights.Version{{Name: "2", Since: passed, ReplicatedAge: deadline - namedweights.MaxLeaderGap - 1}}, true, []string{"1", "1"}),
		Entry("for each version separately, even if another one was named since",
			poolOf("1", "2", "3"),
			[]namedweights.Version{{Name: "2", Since: passed, ReplicatedAge: deadline}, {Name: "3", Since: pending}},
			true, []string{"2", "3"}),
		Entry("except those that run a version that was named later, whatever its name",
			poolOf("b", "a", "c"),
			[]namedweights.Version{{Name: "b", Since: passed, ReplicatedAge: deadline}, {Name: "a", Since: pending}},
			true, []string{"b", "a"}),
	)

	It("is that of the oldest version that a replica lacks, before and after it has passed", func() {
		pool := poolOf("1", "2", "3")
		builder := NewBuilder(Config{WeightsDeadline: deadline})
		builder.excludeOutdated(now, pool, []namedweights.Version{{Name: "2", Since: passed}, {Name: "3", Since: pending}})
		Expect(pool.Replicas).To(Equal([]routing.Replica{
			{WeightVersion: "1", Outdated: true, WeightsDeadline: passed + deadline},
			{WeightVersion: "2", Admitting: true, Outdated: true, WeightsDeadline: pending + deadline},
			{WeightVersion: "3", Admitting: true},
		}))
	})

	It("is earlier on a node that does not know how old the version was when it started", func() {
		pool := poolOf("1")
		NewBuilder(Config{WeightsDeadline: deadline}).excludeOutdated(now, pool, []namedweights.Version{{Name: "2", Since: now, Uncertain: true}})
		Expect(pool.Replicas[0].WeightsDeadline).To(Equal(now + deadline - namedweights.MaxLeaderGap))
	})

	It("is not set where it is waived", func() {
		pool := poolOf("1", "1")
		NewBuilder(Config{WeightsDeadline: deadline}).excludeOutdated(now, pool, []namedweights.Version{{Name: "2", Since: passed}})
		Expect(pool.Replicas[0].WeightsDeadline).To(Equal(routing.NoDeadline))
		Expect(pool.Replicas[0].AdmitsAt(now + time.Hour)).To(BeTrue())
	})

	It("excludes nothing if it is not configured", func() {
		pool := poolOf("1", "2")
		builder := NewBuilder(Config{})
		builder.excludeOutdated(now, pool, []namedweights.Version{{Name: "2"}})
		Expect(builder.overdue(now, namedweights.Version{Name: "2"})).To(BeFalse())
		Expect(admitting(pool)).To(HaveLen(2))
	})
})
