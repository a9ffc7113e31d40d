package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

var _ = Describe("a roll-out", func() {
	var node *soloNode

	BeforeEach(func() {
		node = newSoloNode()
		node.readEndpoints(poolReplicas())
		node.run(3 * time.Second)
		Expect(node.submit(poolConfiguration()).GetConfirmed()).To(BeTrue())
		node.report("v1")
		node.run(time.Second)
		Expect(node.phases()).To(Equal(map[string]int{"serving": poolSize}))
	})

	It("takes no more than half of the replicas out of service at once", func() {
		Expect(node.submit(weightsOrder("v2")).GetConfirmed()).To(BeTrue())
		node.report("v1")
		node.run(time.Second)
		Expect(node.phases()["serving"]).To(Equal(poolSize - poolSize/2))
	})

	It("takes no replica out of service on a leader that has no reports yet", func() {
		node.forgetRollouts()
		Expect(node.submit(weightsOrder("v2")).GetConfirmed()).To(BeTrue())
		node.run(time.Second)
		Expect(node.phases()).To(Equal(map[string]int{"serving": poolSize}))
	})

	It("counts replicas that an earlier leader took out of service, without reports from them", func() {
		Expect(node.submit(weightsOrder("v2")).GetConfirmed()).To(BeTrue())
		node.report("v1")
		node.run(time.Second)
		serving := node.machine.shards.byID[1].State().(*shardstate.Service).Replicas()
		node.forgetRollouts()
		for _, row := range serving {
			if row.GetPhase() == controlpb.ReplicaPhase_SERVING {
				node.perform(node.machine.SetReplicaReport(node.now, ReplicaReport{
					Address: row.GetAddress(), Incarnation: 1, WeightVersion: "v1", MeasuredAt: node.now,
				}))
			}
		}
		node.run(time.Second)
		Expect(node.phases()["serving"]).To(Equal(poolSize - poolSize/2))
	})

	It("orders a newer version in place of an unfinished one", func() {
		Expect(node.submit(weightsOrder("v2")).GetConfirmed()).To(BeTrue())
		node.report("v1")
		node.run(4 * time.Second)
		Expect(node.submit(weightsOrder("v3")).GetConfirmed()).To(BeTrue())
		node.report("v1")
		node.run(4 * time.Second)
		Expect(node.commands).NotTo(BeEmpty())
		Expect(node.commands[len(node.commands)-1].WeightVersion).To(Equal("v3"))
	})
})

var _ = Describe("the first admission of replicas", func() {
	It("admits them with the version that they run even if a newer one is already named", func() {
		node := newSoloNode()
		node.readEndpoints(poolReplicas())
		node.run(3 * time.Second)
		node.report("v0")
		Expect(node.submit(poolConfiguration()).GetConfirmed()).To(BeTrue())
		node.report("v0")
		node.run(time.Second)
		Expect(node.phases()["serving"]).To(Equal(poolSize - poolSize/2))
	})
})
