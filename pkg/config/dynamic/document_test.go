package dynamic_test

import (
	"crypto/sha256"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

func source(version, base uint64, document string) *ridgeswitchv1.Source {
	return &ridgeswitchv1.Source{Version: version, BaseVersion: base, Document: []byte(document)}
}

// documentConfiguration returns a valid configuration for a document: one without
// evacuations.
func documentConfiguration() *config {
	configuration := validConfiguration()
	configuration.Evacuations = nil
	return configuration
}

func documentCommand(configuration *config, source *ridgeswitchv1.Source) *controlpb.Command {
	order, err := dynamic.DocumentOrder(configuration, source)
	Expect(err).NotTo(HaveOccurred())
	return &controlpb.Command{Command: &controlpb.Command_Order{Order: order}}
}

// evacuationCommand returns the command that begins or ends the evacuation of zone a.
func evacuationCommand(id string, evacuated bool) *controlpb.Command {
	order, err := dynamic.EvacuationOrder(id, "a", evacuated, "")
	Expect(err).NotTo(HaveOccurred())
	return &controlpb.Command{Command: &controlpb.Command_Order{Order: order}}
}

var _ = Describe("Documents", func() {
	var machine *dynamic.Machine

	apply := func(source *ridgeswitchv1.Source) string {
		return outcome(machine.Apply(documentCommand(documentConfiguration(), source)))
	}

	// restart replaces the machine by one that is restored from its snapshot.
	restart := func() {
		snapshot, err := machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		machine, err = dynamic.RestoreMachine(snapshot)
		Expect(err).NotTo(HaveOccurred())
	}

	BeforeEach(func() {
		machine = dynamic.NewMachine(nil)
		Expect(apply(source(3, 0, "first"))).To(Equal("1"))
	})

	It("are accepted if based on the version in force and under a higher version", func() {
		Expect(apply(source(9, 0, "second"))).To(Equal("base_revision_stale 1"))
		Expect(apply(source(9, 2, "second"))).To(Equal("base_revision_stale 1"))
		Expect(apply(source(9, 3, "second"))).To(Equal("2"))
		Expect(apply(source(12, 3, "third"))).To(Equal("base_revision_stale 2"))
		Expect(apply(source(12, 9, "third"))).To(Equal("3"))
	})

	It("are refused if their version is not above the base version or the version in force", func() {
		for _, version := range []uint64{0, 2, 3} {
			_, err := dynamic.DocumentOrder(documentConfiguration(), source(version, 3, "x"))
			kind := map[bool]string{true: "missing", false: "source_version_not_above"}[version == 0]
			Expect(faultsOf(err)).To(Equal([]string{kind + " source.version"}))
		}
		By("an order that did not pass through the check of DocumentOrder")
		bare := documentCommand(documentConfiguration(), source(4, 3, "x"))
		bare.GetOrder().GetApplyDocument().Source.Version = 2
		Expect(outcome(machine.Apply(bare))).To(Equal("source_version_not_above 1"))
	})

	It("get the first answer again when resent, also if superseded and after a restart", func() {
		Expect(apply(source(4, 3, "second"))).To(Equal("2"))
		Expect(outcome(machine.Apply(evacuationCommand("e", true)))).To(Equal("3"))
		for range 2 {
			Expect(apply(source(3, 0, "first"))).To(Equal("1"))
			Expect(apply(source(4, 3, "second"))).To(Equal("2"))
			Expect(apply(source(4, 3, "other"))).To(Equal("base_revision_stale 3"))
			Expect(apply(source(3, 0, "other"))).To(Equal("base_revision_stale 3"))
			restart()
		}
	})

	It("are accepted again when resent, also if the translated configuration differs or the answer is no longer stored", func() {
		changed := documentConfiguration()
		changed.Routes = changed.Routes[:1]
		Expect(outcome(machine.Apply(documentCommand(changed, source(3, 0, "first"))))).To(Equal("1"))
		for i := range dynamic.MaxAnswers {
			machine.Apply(evacuationCommand(fmt.Sprint("e", i), true))
		}
		Expect(apply(source(3, 0, "first"))).To(Equal("2"))
		Expect(apply(source(3, 0, "other"))).To(Equal("base_revision_stale 2"))
		Expect(machine.Configuration().GetRoutes()).To(HaveLen(2))
	})

	It("preserve evacuations, and the weight versions of pools that keep their name and model", func() {
		Expect(outcome(machine.Apply(evacuationCommand("e", true)))).To(Equal("2"))
		name, err := dynamic.NameWeightsOrder("w", "summaries", "w9")
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome(machine.Apply(&controlpb.Command{Command: &controlpb.Command_Order{Order: name}}))).To(Equal("3"))
		next := documentConfiguration()
		next.Pools[0].WeightVersion = ""
		other := proto.CloneOf(next.Pools[0])
		other.Name, other.Service, other.WeightVersion = "fresh", "fresh", "w1"
		next.Pools = append(next.Pools, other)
		Expect(outcome(machine.Apply(documentCommand(next, source(5, 3, "second"))))).To(Equal("4"))
		inForce := machine.Configuration()
		Expect(inForce.GetEvacuations()).To(HaveExactElements(equalMessage(&ridgeswitchv1.ZoneEvacuation{Zone: "a"})))
		Expect(inForce.GetPools()[0].GetWeightVersion()).To(Equal("w9"))
		Expect(inForce.GetPools()[1].GetWeightVersion()).To(Equal("w1"))
		By("replacing the model of a pool under the same name")
		next.Pools[0].Model = "other"
		Expect(outcome(machine.Apply(documentCommand(next, source(6, 5, "third"))))).To(Equal("5"))
		Expect(machine.Configuration().GetPools()[0].GetWeightVersion()).To(BeEmpty())
	})

	It("are stored unchanged, and the configuration contains their version and digest", func() {
		restart()
		Expect(machine.Source()).To(equalMessage(source(3, 0, "first")))
		digest := sha256.Sum256([]byte("first"))
		Expect(machine.Configuration().GetSource()).To(equalMessage(&ridgeswitchv1.SourceVersion{Version: 3, Sha256: digest[:]}))
		By("applying a single change")
		machine.Apply(evacuationCommand("e", true))
		Expect(machine.Source().GetVersion()).To(Equal(uint64(3)))
		Expect(machine.Configuration().GetSource().GetVersion()).To(Equal(uint64(3)))
		By("applying a whole configuration without a document")
		Expect(outcome(machine.Apply(applyCommand("a", 2, machine.Configuration())))).To(Equal("3"))
		Expect(machine.Source()).To(BeNil())
		Expect(machine.Configuration().GetSource()).To(BeNil())
	})

	It("are not changed by writes to commands and states outside the machine", func() {
		command := documentCommand(documentConfiguration(), source(4, 3, "second"))
		machine.Apply(command)
		command.GetOrder().GetApplyDocument().GetSource().Document[0] = 'x'
		Expect(machine.Source().GetDocument()).To(Equal([]byte("second")))
		machine.State().GetSource().Document[0] = 'x'
		Expect(machine.Source().GetDocument()).To(Equal([]byte("second")))
	})

	It("need no identity in a request, and no other order may use their identity", func() {
		order, err := dynamic.OrderFromRequest(&ridgeswitchv1.ApplyConfigurationRequest{
			Configuration: documentConfiguration(), Source: source(4, 3, "second"),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(order).To(equalMessage(documentCommand(documentConfiguration(), source(4, 3, "second")).GetOrder()))
		_, err = dynamic.EvacuationOrder(order.GetOrderId(), "a", true, "")
		Expect(faultsOf(err)).To(Equal([]string{"invalid order.order_id"}))
	})

	It("are refused with all faults at once", func() {
		_, err := dynamic.DocumentOrder(validConfiguration(), source(3, 3, strings.Repeat("x", dynamic.MaxSourceBytes+1)))
		Expect(faultsOf(err)).To(Equal([]string{"source_version_not_above source.version", "oversize source.document", "invalid configuration.evacuations"}))
		_, err = dynamic.DocumentOrder(nil, source(3, 2, ""))
		Expect(faultsOf(err)).To(Equal([]string{"missing configuration"}))
		_, err = dynamic.NameWeightsOrder("w", "summaries", "")
		Expect(faultsOf(err)).To(Equal([]string{"missing weight_version"}))
	})
})

var _ = Describe("Orders that are resent under new identities", func() {
	It("are accepted and change nothing if the change is already in force", func() {
		machine := dynamic.NewMachine(nil)
		Expect(outcome(machine.Apply(evacuationCommand("n1/1", true)))).To(Equal("1"))
		Expect(outcome(machine.Apply(evacuationCommand("n2/1", true)))).To(Equal("1"))
		Expect(outcome(machine.Apply(evacuationCommand("n1/2", false)))).To(Equal("2"))
		Expect(outcome(machine.Apply(evacuationCommand("n2/2", false)))).To(Equal("2"))
	})
})

var _ = Describe("Weight versions that only rise", func() {
	It("are compared as whole numbers and never lowered", func() {
		machine := dynamic.NewMachine(nil)
		Expect(outcome(machine.Apply(applyCommand("a", 0, validConfiguration())))).To(Equal("1"))
		for position, step := range []struct {
			named   uint64
			inForce string
		}{{9, "9"}, {10, "10"}, {9, "10"}, {10, "10"}, {11, "11"}} {
			order, err := dynamic.RaiseWeightsOrder(fmt.Sprint("w", position), "summaries", step.named)
			Expect(err).NotTo(HaveOccurred())
			answer := machine.Apply(&controlpb.Command{Command: &controlpb.Command_Order{Order: order}})
			Expect(answer.GetProblem()).To(BeNil())
			Expect(machine.Configuration().GetPools()[0].GetWeightVersion()).To(Equal(step.inForce))
		}
	})
})
