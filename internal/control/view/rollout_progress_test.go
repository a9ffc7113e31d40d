package view

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

func TestView(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "view")
}

var _ = Describe("The progress of a roll-out", func() {
	It("counts the replicas that have not reached the named version, and those of them that get requests", func() {
		builder := NewBuilder(Config{WeightsDeadline: time.Second})
		builder.recordProgress(2*time.Second, &routing.Pool{
			Config: &ridgeswitchv1.Pool{Name: "chat"},
			Replicas: []routing.Replica{
				{WeightVersion: "2", Admitting: true},
				{WeightVersion: "1", Admitting: true},
				{WeightVersion: "1"},
				{WeightVersion: "3", Admitting: true},
			},
		}, []namedweights.Version{{Name: "2", Since: time.Second}})
		Expect(builder.Rollouts()).To(Equal([]RolloutProgress{{
			Pool: "chat", Version: "2", NamedAt: time.Second, Overdue: true, OverdueVersion: "2", Replicas: 4, Outdated: 2, OutdatedAdmitting: 1,
		}}))
	})

	It("contains no pool without named weights", func() {
		builder := NewBuilder(Config{})
		builder.recordProgress(0, &routing.Pool{Config: &ridgeswitchv1.Pool{Name: "chat"}}, nil)
		Expect(builder.Rollouts()).To(BeEmpty())
	})
})
