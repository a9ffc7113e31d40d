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
		builder := NewBuilder(Config{})
		builder.recordProgress(&routing.Pool{
			Config: &ridgeswitchv1.Pool{Name: "chat"},
			Replicas: []routing.Replica{
				{WeightVersion: "2", Admitting: true},
				{WeightVersion: "1", Admitting: true},
				{WeightVersion: "1"},
				{WeightVersion: "3", Admitting: true},
			},
		}, []namedweights.Version{{Name: "2", Since: time.Second}}, true)
		Expect(builder.Rollouts()).To(Equal([]RolloutProgress{{
			Pool: "chat", Version: "2", NamedAt: time.Second, Overdue: true, Replicas: 4, Outdated: 2, OutdatedAdmitting: 1,
		}}))
	})

	It("contains no pool without named weights", func() {
		builder := NewBuilder(Config{})
		builder.recordProgress(&routing.Pool{Config: &ridgeswitchv1.Pool{Name: "chat"}}, nil, false)
		Expect(builder.Rollouts()).To(BeEmpty())
	})
})
