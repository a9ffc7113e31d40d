package dynamic_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

func header(id string, base uint64) *ridgeswitchv1.OrderHeader {
	return &ridgeswitchv1.OrderHeader{OrderId: id, BaseRevision: base}
}

// command returns the command of the log for a request.
func command(request proto.Message) *controlpb.Command {
	order, err := dynamic.OrderFromRequest(request)
	Expect(err).NotTo(HaveOccurred())
	return &controlpb.Command{Command: &controlpb.Command_Order{Order: order}}
}

func applyCommand(id string, base uint64, configuration *config) *controlpb.Command {
	return command(&ridgeswitchv1.ApplyConfigurationRequest{Order: header(id, base), Configuration: configuration})
}

func evacuate(id string, base uint64, zone string) *controlpb.Command {
	return command(&ridgeswitchv1.EvacuateZoneRequest{Order: header(id, base), Zone: zone})
}

func wallCommand(id, tenant string, walled bool) *controlpb.Command {
	order, err := dynamic.WallOrder(&ridgeswitchv1.SetTenantWallRequest{Order: header(id, 0), Tenant: tenant}, walled)
	Expect(err).NotTo(HaveOccurred())
	return &controlpb.Command{Command: &controlpb.Command_Order{Order: order}}
}

func register(node string, incarnation uint64) *controlpb.Command {
	return &controlpb.Command{Command: &controlpb.Command_RegisterNode{
		RegisterNode: &controlpb.RegisterNode{Node: node, Incarnation: incarnation},
	}}
}

func forget(node string, incarnation uint64) *controlpb.Command {
	return &controlpb.Command{Command: &controlpb.Command_ForgetNode{
		ForgetNode: &controlpb.ForgetNode{Node: node, Incarnation: incarnation},
	}}
}

// outcome returns the revision of an answer, or the kind and the revision of its problem.
func outcome(answer *controlpb.Answer) string {
	if answer.GetProblem() != nil {
		return fmt.Sprint(answer.GetProblem().GetKind(), " ", answer.GetProblem().GetRevision())
	}
	return fmt.Sprint(answer.GetRevision())
}

var _ = Describe("Machine", func() {
	var machine *dynamic.Machine

	BeforeEach(func() {
		machine = dynamic.NewMachine(nil)
		Expect(outcome(machine.Apply(applyCommand("first", 0, validConfiguration())))).To(Equal("1"))
	})

	It("compares the base revision, and stores the answers to accepted orders only", func() {
		second := validConfiguration()
		second.Evacuations = nil
		By("accepting one of two concurrent changes on the same base")
		Expect(outcome(machine.Apply(applyCommand("a", 1, second)))).To(Equal("2"))
		Expect(outcome(machine.Apply(applyCommand("b", 1, validConfiguration())))).To(Equal("base_revision_stale 2"))
		Expect(outcome(machine.Apply(applyCommand("b", 0, validConfiguration())))).To(Equal("base_revision_stale 2"))
		Expect(outcome(machine.Apply(evacuate("b", 1, "a")))).To(Equal("base_revision_stale 2"))
		Expect(machine.Answer("b")).To(BeNil())
		By("accepting a corrected order under the identity of a refused one")
		Expect(outcome(machine.Apply(applyCommand("b", 2, validConfiguration())))).To(Equal("3"))
		By("giving a resend the first answer, whatever revision is in force")
		Expect(outcome(machine.Apply(applyCommand("a", 1, second)))).To(Equal("2"))
		Expect(machine.Answer("a").GetRevision()).To(Equal(uint64(2)))
		By("refusing other content under the identity of an accepted order")
		Expect(outcome(machine.Apply(applyCommand("a", 3, second)))).To(Equal("order_id_conflict 3"))
		Expect(outcome(machine.Apply(evacuate("a", 0, "a")))).To(Equal("order_id_conflict 3"))
		By("accepting a single change without a base")
		Expect(outcome(machine.Apply(evacuate("c", 0, "a")))).To(Equal("4"))
		By("accepting orders that change nothing at the revision in force")
		Expect(outcome(machine.Apply(evacuate("d", 4, "a")))).To(Equal("4"))
		Expect(outcome(machine.Apply(applyCommand("e", 4, machine.Configuration())))).To(Equal("4"))
	})

	DescribeTable("carries out or refuses a single change", func(id string, request proto.Message, want string) {
		Expect(outcome(machine.Apply(command(request)))).To(Equal(want))
	},
		Entry("add a key", "a", &ridgeswitchv1.AddKeyRequest{Order: header("a", 0), Tenant: "chamber", Key: &ridgeswitchv1.Key{Name: "k", Sha256: dynamic.KeyDigest("s")}}, "2"),
		Entry("add the same key again", "a", &ridgeswitchv1.AddKeyRequest{Order: header("a", 0), Tenant: "registry", Key: &ridgeswitchv1.Key{Name: "desk", Sha256: dynamic.KeyDigest("")}}, "1"),
		Entry("add another key of the same name", "a", &ridgeswitchv1.AddKeyRequest{Order: header("a", 0), Tenant: "registry", Key: &ridgeswitchv1.Key{Name: "desk", Sha256: dynamic.KeyDigest("s")}}, "duplicate 1"),
		Entry("add a key with the digest of another tenant's key", "a", &ridgeswitchv1.AddKeyRequest{Order: header("a", 0), Tenant: "chamber", Key: &ridgeswitchv1.Key{Name: "k", Sha256: dynamic.KeyDigest("")}}, "duplicate 1"),
		Entry("add a key to an unknown tenant", "a", &ridgeswitchv1.AddKeyRequest{Order: header("a", 0), Tenant: "x", Key: &ridgeswitchv1.Key{Name: "k", Sha256: dynamic.KeyDigest("s")}}, "not_found 1"),
		Entry("revoke a key", "a", &ridgeswitchv1.RevokeKeyRequest{Order: header("a", 0), Tenant: "registry", Key: "desk"}, "2"),
		Entry("revoke an unknown key", "a", &ridgeswitchv1.RevokeKeyRequest{Order: header("a", 0), Tenant: "registry", Key: "x"}, "not_found 1"),
		Entry("name weights", "a", &ridgeswitchv1.NameWeightsRequest{Order: header("a", 1), Pool: "summaries", WeightVersion: "w2"}, "2"),
		Entry("name weights of an unknown pool", "a", &ridgeswitchv1.NameWeightsRequest{Order: header("a", 0), Pool: "x", WeightVersion: "w2"}, "not_found 1"),
		Entry("restore a zone", "a", &ridgeswitchv1.RestoreZoneRequest{Order: header("a", 0), Zone: "d"}, "2"),
		Entry("restore a zone that is not evacuated", "a", &ridgeswitchv1.RestoreZoneRequest{Order: header("a", 0), Zone: "c"}, "1"),
		Entry("evacuate for another reason", "a", &ridgeswitchv1.EvacuateZoneRequest{Order: header("a", 0), Zone: "d", Reason: "fire"}, "2"),
	)

	DescribeTable("refuses a request before it becomes an order", func(request proto.Message, fault string) {
		_, err := dynamic.OrderFromRequest(request)
		Expect(faultsOf(err)).To(ContainElement(fault))
	},
		Entry("no identity", &ridgeswitchv1.RestoreZoneRequest{Zone: "a"}, "order_id_missing order.order_id"),
		Entry("identity with a space", &ridgeswitchv1.RestoreZoneRequest{Order: header("a b", 0), Zone: "a"}, "invalid order.order_id"),
		Entry("no configuration", &ridgeswitchv1.ApplyConfigurationRequest{Order: header("a", 0)}, "missing configuration"),
		Entry("empty key", &ridgeswitchv1.AddKeyRequest{Order: header("a", 0), Tenant: "t"}, "missing key.sha256"),
		Entry("no key name", &ridgeswitchv1.RevokeKeyRequest{Order: header("a", 0), Tenant: "t"}, "missing key"),
		Entry("no zone", &ridgeswitchv1.EvacuateZoneRequest{Order: header("a", 0)}, "missing zone"),
		Entry("no weight version", &ridgeswitchv1.NameWeightsRequest{Order: header("a", 0), Pool: "p"}, "missing weight_version"),
	)

	It("refuses commands of other shards, and invalid orders that were not made by OrderFromRequest", func() {
		before := machine.State()
		bare := &controlpb.Order{OrderId: "x", Change: &controlpb.Order_Apply{Apply: &config{Tenants: []*ridgeswitchv1.Tenant{{}}}}, BaseRevision: 1}
		for _, refused := range []*controlpb.Command{
			nil,
			{},
			{Command: &controlpb.Command_SetReplicas{SetReplicas: &controlpb.SetReplicas{}}},
			{Command: &controlpb.Command_Order{Order: &controlpb.Order{OrderId: "x"}}},
			{Command: &controlpb.Command_Order{Order: &controlpb.Order{}}},
			{Command: &controlpb.Command_Order{Order: bare}},
		} {
			Expect(machine.Apply(refused).GetProblem().GetMessage()).NotTo(BeEmpty())
		}
		Expect(machine.State()).To(equalMessage(before))
		_, err := dynamic.OrderFromRequest(&ridgeswitchv1.GetStatusRequest{})
		Expect(err).To(MatchError(ContainSubstring("is no order")))
	})

	It("treats an order that differs only in assigned fields as a resend", func() {
		read := proto.CloneOf(machine.Configuration())
		Expect(read.GetTenants()[0].GetWallEpoch()).NotTo(BeZero())
		resent := applyCommand("first", 0, read)
		Expect(resent.GetOrder()).To(equalMessage(applyCommand("first", 0, validConfiguration()).GetOrder()))
		Expect(outcome(machine.Apply(resent))).To(Equal("1"))
	})

	It("modifies no configuration that it has returned, and shares no data with commands, answers and states", func() {
		next := applyCommand("own", 1, &config{})
		machine.Apply(next)
		next.GetOrder().GetApply().Revision = 99
		Expect(outcome(machine.Apply(applyCommand("back", 2, validConfiguration())))).To(Equal("3"))
		published := machine.Configuration()
		copied := proto.Clone(published)
		answer := machine.Apply(evacuate("a", 0, "a"))
		answer.Revision = 99
		machine.State().Configuration.Tenants[0].Name = "x"
		machine.Answer("a").Revision = 99
		Expect(published).To(equalMessage(copied))
		Expect(outcome(machine.Apply(evacuate("a", 0, "a")))).To(Equal("4"))
		Expect(machine.Configuration().GetTenants()[0].GetName()).To(Equal("registry"))
	})

	It("registers the newest incarnation of each node, and does not remove a newer incarnation than the given one", func() {
		for _, c := range []*controlpb.Command{register("b", 3), register("a", 1), register("b", 2), register("c", 5), forget("c", 5), forget("b", 2), forget("x", 1)} {
			Expect(outcome(machine.Apply(c))).To(Equal("1"))
		}
		Expect(machine.Nodes()).To(HaveExactElements(
			equalMessage(&controlpb.RegisterNode{Node: "a", Incarnation: 1}),
			equalMessage(&controlpb.RegisterNode{Node: "b", Incarnation: 3})))
	})

	It("removes the oldest answers beyond the bound, before and after a snapshot", func() {
		for i := range dynamic.MaxAnswers {
			machine.Apply(evacuate(fmt.Sprint("order-", i), 0, "a"))
		}
		snapshot, err := machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored, err := dynamic.RestoreMachine(snapshot)
		Expect(err).NotTo(HaveOccurred())
		for _, m := range []*dynamic.Machine{machine, restored} {
			Expect(m.Answer("first")).To(BeNil())
			Expect(m.Answer("order-0")).NotTo(BeNil())
			Expect(m.State().GetAnswers()).To(HaveLen(dynamic.MaxAnswers))
		}
		_, err = dynamic.RestoreMachine([]byte("no snapshot"))
		Expect(err).To(HaveOccurred())
	})

	It("replaces sharing domains when a tenant leaves them", func() {
		domains := func() string {
			c := machine.Configuration()
			return dynamic.SharingDomain(c, "registry") + " " + dynamic.SharingDomain(c, "chamber") + " " + dynamic.SharingDomain(c, "x")
		}
		Expect(domains()).To(Equal("shared/0 walled/chamber/1 unknown/x/1"))
		machine.Apply(wallCommand("a", "chamber", false))
		Expect(domains()).To(Equal("shared/0 shared/0 unknown/x/2"))
		machine.Apply(wallCommand("b", "registry", true))
		Expect(domains()).To(Equal("walled/registry/3 shared/3 unknown/x/3"))
		machine.Apply(wallCommand("c", "registry", false))
		machine.Apply(wallCommand("d", "registry", true))
		Expect(domains()).To(Equal("walled/registry/5 shared/5 unknown/x/5"))
		By("removing a tenant of the shared domain, and ignoring assigned fields in the input")
		next := validConfiguration()
		next.Tenants = next.Tenants[:1]
		next.Revision, next.SharedEpoch, next.Tenants[0].WallEpoch = 77, 77, 77
		Expect(outcome(machine.Apply(applyCommand("e", 5, next)))).To(Equal("6"))
		Expect(domains()).To(Equal("shared/6 unknown/chamber/6 unknown/x/6"))
		By("adding a removed tenant again")
		Expect(outcome(machine.Apply(applyCommand("f", 6, validConfiguration())))).To(Equal("7"))
		Expect(domains()).To(Equal("shared/6 walled/chamber/7 unknown/x/7"))
	})
})
