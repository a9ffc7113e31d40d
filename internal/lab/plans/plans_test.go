package plans_test

import (
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/disk"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/fleet"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/plans"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/durable"
)

func deployment(name string) *fleet.Deployment {
	loaded, err := fleet.LoadDeployment(filepath.Join("..", "..", "..", "deploy", name))
	Expect(err).NotTo(HaveOccurred())
	return loaded
}

var _ = Describe("a plan", func() {
	It("is chosen by its name", func() {
		names := lo.Map(plans.All(), func(plan plans.Plan, _ int) string { return plan.Name })
		Expect(names).To(Equal([]string{
			"rolling-restart", "core-loss", "disk-loss-twice", "zone-cut",
			"freeze-core-25s", "machine-swap", "config-storm", "kill-third",
		}))
		for _, name := range names {
			plan, err := plans.ByName(name)
			Expect(err).NotTo(HaveOccurred())
			Expect(plan.Name).To(Equal(name))
			Expect(plan.Summary).NotTo(BeEmpty())
		}
		Expect(lo.Filter(plans.All(), func(plan plans.Plan, _ int) bool { return plan.Links })).To(HaveLen(1))
	})

	It("that nobody knows is refused with the names of all", func() {
		for _, name := range []string{"", "core", "list"} {
			_, err := plans.ByName(name)
			Expect(err).To(BeAssignableToTypeOf(&plans.UnknownPlanError{}))
			Expect(err).To(MatchError(ContainSubstring("rolling-restart, core-loss")))
		}
	})
})

// acknowledged returns submissions that were acknowledged at some seconds.
func acknowledged(seconds ...int) []checker.Order {
	return lo.Map(seconds, func(at, number int) checker.Order {
		return checker.Order{OrderID: string(rune('a' + number)), Outcome: checker.OutcomeAcknowledged, Answered: time.Duration(at) * time.Second}
	})
}

// answered returns requests to a service, each answered in the second in which
// it was sent.
func answered(service string, seconds ...int) []checker.Request {
	return lo.Map(seconds, func(at, _ int) checker.Request {
		moment := time.Duration(at) * time.Second
		return checker.Request{Service: service, Sent: moment, Ended: moment, Result: checker.ResultComplete}
	})
}

func disturbedAt(seconds ...int) []plans.Disturbance {
	return lo.Map(seconds, func(at, _ int) plans.Disturbance {
		return plans.Disturbance{Name: "fault", At: time.Duration(at) * time.Second}
	})
}

var _ = DescribeTable("the recovery of orders", func(orders []checker.Order, disturbances []plans.Disturbance, seconds int) {
	records := &checker.Records{Orders: orders}
	recovery := plans.MeasureRecovery(records, disturbances, 40*time.Second)
	Expect(recovery.Orders).To(Equal(time.Duration(seconds) * time.Second))
	Expect(recovery.Longest()).To(Equal(recovery.Orders))
	if recovery.Orders > checker.OutageBound {
		Expect(recovery.CheckOrders()).To(ConsistOf(HaveField("Invariant", plans.OrdersReturn)))
	} else {
		Expect(recovery.CheckOrders()).To(BeEmpty())
	}
},
	Entry("counts from the disturbance", acknowledged(1, 9, 18, 30, 38), disturbedAt(22), 8),
	Entry("takes the longest of several", acknowledged(1, 11, 19, 25, 29, 39), disturbedAt(10, 20), 10),
	Entry("counts from the first of two within one silence", acknowledged(1, 11, 12, 25, 30, 35), disturbedAt(13, 20), 12),
	Entry("counts from the last order before a fault ends that keeps others away", acknowledged(1, 9, 11, 31, 38), disturbedAt(10, 30), 20),
	Entry("finds a service that goes away again later", acknowledged(10, 11, 12, 25, 30, 35), disturbedAt(10), 13),
	Entry("counts to the end when nothing came back", acknowledged(1, 2, 3), disturbedAt(20), 20),
	Entry("is nothing without a disturbance", acknowledged(30), nil, 0),
	Entry("does not take the answer to a resend for a new change",
		append(acknowledged(1, 25, 36), checker.Order{OrderID: "a", Outcome: checker.OutcomeAcknowledged, Answered: 12 * time.Second}),
		disturbedAt(10), 15),
	Entry("does not take a pending order for an acknowledged one",
		append(acknowledged(1, 25, 36), checker.Order{OrderID: "z", Outcome: checker.OutcomePending, Answered: 12 * time.Second}),
		disturbedAt(10), 15),
)

var _ = Describe("the recovery of callers", func() {
	It("is that of the service that was away longest", func() {
		requests := append(answered("model", 1, 2, 14, 16, 18), answered("pages", 1, 3, 9, 17)...)
		requests = append(requests, checker.Request{Service: "model", Sent: 6 * time.Second, Ended: 6 * time.Second, Result: checker.ResultRefused})
		recovery := plans.MeasureRecovery(&checker.Records{Requests: requests, Orders: acknowledged(3, 5)}, disturbedAt(4), 6*time.Second)
		Expect(recovery.Callers).To(Equal(10 * time.Second))
		Expect(recovery.Orders).To(Equal(time.Second))
		Expect(recovery.Longest()).To(Equal(10 * time.Second))
	})

	It("is not over while nobody is answered", func() {
		requests := append(answered("model", 1), checker.Request{Service: "model", Sent: 20 * time.Second, Result: checker.ResultLost})
		recovery := plans.MeasureRecovery(&checker.Records{Requests: requests}, disturbedAt(5), 5*time.Second)
		Expect(recovery.Callers).To(Equal(15 * time.Second))
	})
})

var _ = Describe("what was acknowledged", func() {
	key := func(id, tenant, name, digest string) operator.Order {
		return operator.Order{Request: &ridgeswitchv1.AddKeyRequest{
			Order:  &ridgeswitchv1.OrderHeader{OrderId: id},
			Tenant: tenant, Key: &ridgeswitchv1.Key{Name: name, Sha256: digest},
		}}
	}

	It("must be held with its content", func() {
		held := &ridgeswitchv1.Configuration{Tenants: []*ridgeswitchv1.Tenant{
			{Name: "court", Keys: []*ridgeswitchv1.Key{{Name: "kept", Sha256: "one"}}},
		}}
		Expect(plans.MissingOrders(held, key("1", "court", "kept", "one"))).To(BeEmpty())
		Expect(plans.MissingOrders(held, key("1", "court", "kept", "two"), key("2", "other", "kept", "one"),
			key("3", "court", "lost", "one"))).To(Equal([]string{"1", "2", "3"}))
	})

	It("includes every route of a whole configuration", func() {
		held := deployment("hivatal").Configuration
		grown := proto.CloneOf(held)
		Expect(plans.MissingOrders(held, operator.ApplyOrder("same", 1, grown))).To(BeEmpty())
		grown.Routes = append(grown.Routes, &ridgeswitchv1.Route{Host: "more.example"})
		Expect(plans.MissingOrders(held, operator.ApplyOrder("more", 1, grown))).To(Equal([]string{"more"}))
	})
})

var _ = Describe("a zone's boundary", func() {
	It("has all links over it, each way, and none within", func() {
		topology := deployment("hivatal").Topology
		out, in, err := plans.Boundary(topology, "zone-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(HaveLen(4 * 8))
		Expect(lo.Uniq(out)).To(HaveLen(len(out)))
		zones := lo.SliceToMap(topology.Nodes, func(node fleet.Node) (string, string) { return node.Address, node.Zone })
		for number, link := range out {
			Expect(zones[link.From.String()]).To(Equal("zone-1"))
			Expect(zones[link.To.String()]).NotTo(Equal("zone-1"))
			Expect(in[number].From).To(Equal(link.To))
			Expect(in[number].To).To(Equal(link.From))
		}
	})
})

var _ = Describe("a replacement machine", func() {
	It("gets an address of the same zone that no machine has", func() {
		for _, name := range []string{"hivatal", "lakeshore"} {
			topology := deployment(name).Topology
			for _, node := range topology.Nodes {
				address, err := plans.SpareAddress(node)
				Expect(err).NotTo(HaveOccurred())
				Expect(lo.ContainsBy(topology.Nodes, func(one fleet.Node) bool { return one.Address == address })).To(BeFalse())
			}
		}
		_, err := plans.SpareAddress(fleet.Node{Name: "odd", Address: "host"})
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("a vote", func() {
	It("is one that the last change on a disk gives to that incarnation", func() {
		folder := GinkgoT().TempDir()
		store, err := disk.Open(folder)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
		log, _, err := durable.Open(store, "shard-003")
		Expect(err).NotTo(HaveOccurred())
		voter := replication.Voter{ID: member.ID("core-1"), Incarnation: 9}
		Expect(plans.VotesOn(folder, voter, 3)).NotTo(Succeed())

		change := func(index uint64, places string) {
			entry := replication.Entry{Index: index, Term: 1, Kind: replication.EntryGroupChange, Command: []byte(places)}
			Expect(log.Save(replication.Ready{Entries: []replication.Entry{entry}})).To(Succeed())
		}
		change(1, `[{"ID":"core-1","Incarnation":9,"Learner":true},{"ID":"core-2","Incarnation":1}]`)
		Expect(plans.VotesOn(folder, voter, 3)).NotTo(Succeed(), "it only learns")
		change(2, `[{"ID":"core-1","Incarnation":8},{"ID":"core-2","Incarnation":1}]`)
		Expect(plans.VotesOn(folder, voter, 3)).NotTo(Succeed(), "it is another incarnation's")
		change(3, `[{"ID":"core-1","Incarnation":9},{"ID":"core-2","Incarnation":1}]`)
		Expect(plans.VotesOn(folder, voter, 3)).To(Succeed())
	})
})

var _ = Describe("a pool", func() {
	It("serves with all or with some of its replicas", func() {
		serving, loading := &ridgeswitchv1.ReplicaStatus{Phase: "serving"}, &ridgeswitchv1.ReplicaStatus{Phase: "loading"}
		all := []*ridgeswitchv1.ReplicaStatus{serving, serving}
		some := []*ridgeswitchv1.ReplicaStatus{loading, serving}
		Expect([]bool{plans.AllServing(all), plans.AllServing(some), plans.AllServing(nil)}).To(Equal([]bool{true, false, false}))
		Expect([]bool{plans.AnyServing(some), plans.AnyServing(some[:1]), plans.AnyServing(nil)}).To(Equal([]bool{true, false, false}))
	})
})
