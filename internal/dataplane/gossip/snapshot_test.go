package gossip_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// serving returns a live node that serves callers.
func serving(id, zone string) member.Info {
	return member.Info{ID: member.ID(id), Zone: zone, TrafficAddress: "served"}
}

var _ = Describe("SnapshotClient", func() {
	const self = member.ID("self")
	var client *gossip.SnapshotClient
	var live []member.Info
	BeforeEach(func() {
		client = gossip.NewSnapshotClient(self, "a")
		live = []member.Info{serving("self", "a"), serving("far", "b"), serving("near", "a"), {ID: "core", Zone: "a"}}
	})

	// expectRequest expects that Tick returns one request to one node, and returns the node.
	expectRequest := func(at time.Duration) member.ID {
		sends := client.Tick(at, live)
		ExpectWithOffset(1, sends).To(HaveLen(1))
		ExpectWithOffset(1, sends[0].To).To(HaveLen(1))
		ExpectWithOffset(1, sends[0].Batch.Stage).To(Equal(gossip.SnapshotRequest))
		ExpectWithOffset(1, sends[0].Batch.Updates).To(Equal([]gossip.Update{{Node: self}}))
		return sends[0].To[0].ID
	}
	expectNothingDue := func(at time.Duration) { ExpectWithOffset(1, client.Tick(at, live)).To(BeEmpty()) }
	responseOf := func(node member.ID, reports int) gossip.Update {
		return gossip.Update{Node: node, Reports: make([]gossip.Report, reports)}
	}

	It("sends a request to a node of its zone that serves callers, and is done after the end of the snapshot", func() {
		Expect(expectRequest(0)).To(Equal(member.ID("near")))
		expectNothingDue(900 * time.Millisecond)
		Expect(client.HandleResponse(900*time.Millisecond, gossip.SnapshotChunk, responseOf("near", 2))).To(BeTrue())
		expectNothingDue(1800 * time.Millisecond)
		Expect(client.Pending(1800 * time.Millisecond)).To(BeTrue())
		Expect(client.Done(1800 * time.Millisecond)).To(BeFalse())
		Expect(client.HandleResponse(1800*time.Millisecond, gossip.SnapshotEnd, responseOf("near", 0))).To(BeTrue())
		Expect(client.Done(1800 * time.Millisecond)).To(BeTrue())
		Expect(client.Pending(1800 * time.Millisecond)).To(BeFalse())
		expectNothingDue(4 * time.Second)
	})

	It("sends a request to the next node at once after an empty snapshot", func() {
		expectRequest(0)
		client.HandleResponse(10*time.Millisecond, gossip.SnapshotEnd, responseOf("near", 0))
		Expect(client.Done(10 * time.Millisecond)).To(BeFalse())
		Expect(client.Pending(10 * time.Millisecond)).To(BeFalse())
		Expect(expectRequest(20 * time.Millisecond)).To(Equal(member.ID("far")))
	})

	It("sends a request to the next node if the current node sends no further part for a second", func() {
		expectRequest(0)
		client.HandleResponse(500*time.Millisecond, gossip.SnapshotChunk, responseOf("near", 1))
		expectNothingDue(1400 * time.Millisecond)
		Expect(expectRequest(1500 * time.Millisecond)).To(Equal(member.ID("far")))
	})

	It("ignores a response that is not from the current node", func() {
		Expect(client.HandleResponse(0, gossip.SnapshotEnd, responseOf("near", 1))).To(BeFalse())
		expectRequest(0)
		Expect(client.HandleResponse(0, gossip.SnapshotEnd, responseOf("far", 1))).To(BeFalse())
		Expect(client.Done(0)).To(BeFalse())
	})

	It("waits for other nodes to become known", func() {
		all := live
		live = live[:1]
		expectNothingDue(0)
		expectNothingDue(1400 * time.Millisecond)
		Expect(client.Done(1400 * time.Millisecond)).To(BeFalse())
		live = all
		expectRequest(1450 * time.Millisecond)
	})

	It("is done if no other node becomes known within 1.5 seconds", func() {
		live = live[:1]
		expectNothingDue(0)
		expectNothingDue(1500 * time.Millisecond)
		Expect(client.Done(1500 * time.Millisecond)).To(BeTrue())
	})

	It("is done after five seconds even if a peer is still sending its snapshot", func() {
		response := responseOf(expectRequest(0), 1)
		for at := time.Duration(0); at < 5*time.Second; at += 500 * time.Millisecond {
			Expect(client.Done(at)).To(BeFalse())
			client.HandleResponse(at, gossip.SnapshotChunk, response)
			expectNothingDue(at)
		}
		Expect(client.Done(5 * time.Second)).To(BeTrue())
	})

	It("is done after empty snapshots from all nodes, but not before 1.5 seconds", func() {
		for _, at := range []time.Duration{0, 10 * time.Millisecond} {
			client.HandleResponse(at, gossip.SnapshotEnd, responseOf(expectRequest(at), 0))
		}
		expectNothingDue(time.Second)
		Expect(client.Done(time.Second)).To(BeFalse())
		expectNothingDue(1500 * time.Millisecond)
		Expect(client.Done(1500 * time.Millisecond)).To(BeTrue())
	})

	It("sends requests to at most six nodes", func() {
		live = lo.Times(20, func(number int) member.Info { return serving(fmt.Sprint("node ", number), "a") })
		for number := range 6 {
			at := time.Duration(number) * time.Millisecond
			client.HandleResponse(at, gossip.SnapshotEnd, responseOf(expectRequest(at), 0))
		}
		expectNothingDue(10 * time.Millisecond)
	})
})

var _ = Describe("SnapshotServer", func() {
	var snapshots *gossip.SnapshotServer
	var live []member.Info
	// changes is the number of changes in the report about each back end.
	var changes int
	BeforeEach(func() {
		snapshots = gossip.NewSnapshotServer("self")
		live = []member.Info{serving("one", "a"), serving("two", "b")}
		changes = 400
	})
	snapshot := func(address string) (gossip.Report, bool) {
		return gossip.Report{Address: address, Complete: true, Changes: make([]gossip.Change, changes)}, address != "unknown"
	}
	// describe returns the recipient of a batch, whether the batch ends the snapshot, and the
	// back ends that it reports.
	describe := func(send gossip.Outbound) string {
		addresses := lo.Map(send.Batch.Updates[0].Reports, func(report gossip.Report, _ int) string { return report.Address })
		return fmt.Sprint(send.To[0].ID, " ", send.Batch.Stage == gossip.SnapshotEnd, " ", addresses)
	}
	tick := func() []string {
		return lo.Map(snapshots.Tick(live, snapshot), func(send gossip.Outbound, _ int) string { return describe(send) })
	}

	It("sends a snapshot in parts, with about 1024 changes per tick", func() {
		snapshots.HandleRequest("one", []string{"a", "b", "unknown", "c", "d"})
		Expect(tick()).To(Equal([]string{"one false [a b c]"}))
		Expect(tick()).To(Equal([]string{"one true [d]"}))
		Expect(tick()).To(BeEmpty())
	})

	It("serves nodes one after the other, and restarts the transfer of a node that requests again", func() {
		snapshots.HandleRequest("one", []string{"a", "b", "c", "d"})
		snapshots.HandleRequest("two", []string{"a"})
		Expect(tick()).To(Equal([]string{"one false [a b c]"}))
		snapshots.HandleRequest("one", []string{"a"})
		Expect(tick()).To(Equal([]string{"two true [a]", "one true [a]"}))
	})

	It("sends an empty snapshot at once if there are no addresses", func() {
		snapshots.HandleRequest("one", nil)
		Expect(tick()).To(Equal([]string{"one true []"}))
	})

	It("sends nothing to a node that is no longer live", func() {
		snapshots.HandleRequest("gone", []string{"a"})
		Expect(tick()).To(BeEmpty())
		live = append(live, serving("gone", "a"))
		Expect(tick()).To(BeEmpty())
	})

	It("serves a bounded number of nodes at a time", func() {
		changes = 0
		for number := range 40 {
			live = append(live, serving(fmt.Sprint("peer ", number), "a"))
			snapshots.HandleRequest(member.ID(fmt.Sprint("peer ", number)), []string{"a"})
		}
		Expect(tick()).To(HaveLen(16))
	})
})
