package dynamic_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// Guards against pools that came into the configuration, or returned to it, after weights of
// their model were named, and knew nothing of that (review/6).
var _ = Describe("Weights that are named for a model", func() {
	var (
		machine *dynamic.Machine
		version uint64
	)

	// document applies a document with the given pools, each of which is written as
	// name/model, or name/model/version if the document itself names a version.
	document := func(pools ...[]string) {
		configuration := &config{Pools: lo.Map(pools, func(fields []string, _ int) *ridgeswitchv1.Pool {
			pool := proto.CloneOf(validConfiguration().GetPools()[0])
			pool.Name, pool.Model, pool.Service, pool.Store, pool.WeightVersion = fields[0], fields[1], fields[0], "", ""
			if len(fields) > 2 {
				pool.WeightVersion = fields[2]
			}
			return pool
		})}
		order, err := dynamic.ModelDocumentOrder(configuration, source(version+1, version, fmt.Sprint("document ", version)))
		Expect(err).NotTo(HaveOccurred())
		answer := machine.Apply(&controlpb.Command{Command: &controlpb.Command_Order{Order: order}})
		ExpectWithOffset(1, answer.GetProblem()).To(BeNil())
		version++
	}

	// name names a version for a model. The pool is what a node of an earlier release reads.
	name := func(model, pool string, named uint64) {
		order, err := dynamic.RaiseModelWeightsOrder(fmt.Sprint("w", model, pool, named), model, pool, named)
		Expect(err).NotTo(HaveOccurred())
		answer := machine.Apply(&controlpb.Command{Command: &controlpb.Command_Order{Order: order}})
		ExpectWithOffset(1, answer.GetProblem()).To(BeNil())
	}

	// restart replaces the machine by one that is restored from its snapshot.
	restart := func() {
		snapshot, err := machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		machine, err = dynamic.RestoreMachine(snapshot)
		Expect(err).NotTo(HaveOccurred())
	}

	// pools describes the pools in force as name, version and whether it is inherited.
	pools := func() []string {
		return lo.Map(machine.Configuration().GetPools(), func(pool *ridgeswitchv1.Pool, _ int) string {
			return fmt.Sprintf("%s=%s%s", pool.GetName(), pool.GetWeightVersion(), lo.Ternary(pool.GetWeightsInherited(), " inherited", ""))
		})
	}

	BeforeEach(func() {
		machine, version = dynamic.NewMachine(nil), 0
	})

	It("hold for all its pools at once, and for those that come later", func() {
		document([]string{"a", "m"}, []string{"b", "m"}, []string{"c", "n"})
		name("m", "a", 2)
		Expect(pools()).To(Equal([]string{"a=2", "b=2", "c="}))
		restart()
		document([]string{"a", "m"}, []string{"d", "m"}, []string{"c", "n"})
		Expect(pools()).To(Equal([]string{"a=2", "d=2 inherited", "c="}))
	})

	It("hold for a pool that leaves and returns, also if no other pool has the model", func() {
		document([]string{"a", "m"}, []string{"c", "n"})
		name("m", "a", 2)
		document([]string{"c", "n"})
		restart()
		document([]string{"c", "n"})
		document([]string{"c", "n"}, []string{"a", "m"})
		Expect(pools()).To(Equal([]string{"c=", "a=2 inherited"}))
		By("staying inherited until a newer version is named")
		document([]string{"c", "n"}, []string{"a", "m"})
		name("m", "a", 2)
		Expect(pools()).To(Equal([]string{"c=", "a=2 inherited"}))
		name("m", "a", 3)
		Expect(pools()).To(Equal([]string{"c=", "a=3"}))
	})

	It("hold for a pool that changes its model", func() {
		document([]string{"a", "m"}, []string{"b", "n"})
		name("m", "a", 7)
		name("n", "b", 2)
		document([]string{"a", "n"}, []string{"b", "o"})
		Expect(pools()).To(Equal([]string{"a=2 inherited", "b="}))
		document([]string{"a", "m"}, []string{"b", "n"})
		Expect(pools()).To(Equal([]string{"a=7 inherited", "b=2 inherited"}))
	})

	It("are kept if the last pool of the model left before the order was applied", func() {
		document([]string{"a", "m"})
		document([]string{"c", "n"})
		revision := machine.Revision()
		name("m", "a", 4)
		Expect(machine.Revision()).To(Equal(revision))
		document([]string{"a", "m"})
		Expect(pools()).To(Equal([]string{"a=4 inherited"}))
	})

	It("only rise, and leave a higher version of the document alone", func() {
		document([]string{"a", "m"})
		name("m", "a", 10)
		name("m", "a", 9)
		document([]string{"b", "m", "11"}, []string{"c", "m", "9"})
		Expect(pools()).To(Equal([]string{"b=11", "c=10 inherited"}))
	})

	It("are found in the pools of a state of an earlier release", func() {
		state := machine.State()
		state.Configuration = &config{Revision: 1, Pools: validConfiguration().GetPools()}
		state.Configuration.Pools[0].Name, state.Configuration.Pools[0].Model = "a", "m"
		state.Configuration.Pools[0].WeightVersion = "3"
		machine = dynamic.NewMachine(state)
		document([]string{"b", "m"})
		Expect(pools()).To(Equal([]string{"b=3 inherited"}))
		document([]string{"c", "n"})
		document([]string{"a", "m"})
		Expect(pools()).To(Equal([]string{"a=3 inherited"}))
	})

	It("are not inherited by a document of a deployment that names weights by pool", func() {
		document([]string{"a", "m"})
		name("m", "a", 2)
		configuration := proto.CloneOf(machine.Configuration())
		configuration.Pools[0].Name, configuration.Pools[0].WeightVersion = "b", ""
		order, err := dynamic.DocumentOrder(configuration, source(version+1, version, "by pool"))
		Expect(err).NotTo(HaveOccurred())
		machine.Apply(&controlpb.Command{Command: &controlpb.Command_Order{Order: order}})
		Expect(pools()).To(Equal([]string{"b="}))
	})

	It("are stored for a bounded number of models, those named last", func() {
		for model := range dynamic.MaxModelWeights + 1 {
			name(fmt.Sprint("m", model), "a", 1)
		}
		Expect(machine.State().GetModelWeights()).To(HaveLen(dynamic.MaxModelWeights))
		Expect(machine.State().GetModelWeights()[0].GetModel()).To(Equal("m1"))
	})
})
