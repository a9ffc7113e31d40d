package shardstate

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

var _ = Describe("The ages of weight versions", func() {
	ages := func(version string, milliseconds uint64) []*controlpb.WeightsAge {
		return []*controlpb.WeightsAge{{Pool: "chat", WeightVersion: version, AgeMs: milliseconds}}
	}
	set := func(service *Service, change *controlpb.SetReplicas) {
		service.Apply(&controlpb.Command{Command: &controlpb.Command_SetReplicas{SetReplicas: change}})
	}

	It("are replaced together, stay if a change contains none, survive a snapshot, and are relayed", func() {
		service := NewService(&controlpb.ServiceState{})
		set(service, &controlpb.SetReplicas{WeightsAges: ages("2", 1000)})
		set(service, &controlpb.SetReplicas{WeightsAges: ages("3", 2000)})
		set(service, &controlpb.SetReplicas{Replicas: []*controlpb.ReplicaState{{Address: "a"}}})
		Expect(service.Revision()).To(BeEquivalentTo(3))
		snapshot, err := service.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored, err := Restore(1, snapshot)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Equals(service.relayed())).To(BeTrue())
		sections, err := restored.Sections()
		Expect(err).NotTo(HaveOccurred())
		received := NewReceived()
		_, err = received.Apply(relaytree.Update{Topic: 1, Revision: 3, Sections: sections}, func(relaytree.Topic) []relaytree.Section { return sections })
		Expect(err).NotTo(HaveOccurred())
		Expect(received.Service(1).GetWeightsAges()).To(HaveLen(1))
		Expect(received.Service(1).GetWeightsAges()[0].GetWeightVersion()).To(Equal("3"))
		Expect(received.Service(1).GetWeightsAges()[0].GetAgeMs()).To(BeEquivalentTo(2000))
	})
})
