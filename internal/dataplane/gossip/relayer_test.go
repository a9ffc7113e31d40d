package gossip_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gossip Suite")
}

// network is a set of relayers whose batches are delivered immediately.
type network struct {
	peers    []member.Info
	relayers map[member.ID]*gossip.Relayer
	// received counts the updates that each node received, by receiver and origin.
	received map[member.ID]map[member.ID]int
	// crossings counts the batches between zones, and sent counts all batches.
	crossings, sent int
}

func newNetwork(zones, perZone int) *network {
	n := &network{relayers: map[member.ID]*gossip.Relayer{}, received: map[member.ID]map[member.ID]int{}}
	for zone := range zones {
		for number := range perZone {
			info := member.Info{
				ID:             member.ID(fmt.Sprintf("node-%d-%d", zone, number)),
				Zone:           fmt.Sprintf("zone-%d", zone),
				TrafficAddress: "served",
			}
			n.peers = append(n.peers, info)
			n.relayers[info.ID] = gossip.NewRelayer(info.ID, info.Zone)
			n.received[info.ID] = map[member.ID]int{}
		}
	}
	return n
}

// round flushes every relayer once. The argument views overrides the live nodes for some of the
// nodes; the others regard all peers as live.
func (n *network) round(views map[member.ID][]member.Info) {
	for _, peer := range n.peers {
		view, given := views[peer.ID]
		if !given {
			view = n.peers
		}
		for _, send := range n.relayers[peer.ID].Flush(view) {
			for _, to := range send.To {
				n.deliver(peer, to, send.Batch)
			}
		}
	}
}

// deliver passes a batch to its receiver and counts it.
func (n *network) deliver(from, to member.Info, batch gossip.Batch) {
	n.sent++
	if from.Zone != to.Zone {
		n.crossings++
	}
	for _, update := range n.relayers[to.ID].Receive(batch) {
		n.received[to.ID][update.Node]++
	}
}

// idleZone is the zone of the node that serves no callers.
const idleZone = "zone-0"

var _ = Describe("Relayer", func() {
	It("delivers each node's updates to every other node exactly once", func() {
		n := newNetwork(4, 18)
		for id, relayer := range n.relayers {
			relayer.Add(gossip.Update{Node: id})
		}
		for range 4 {
			n.round(nil)
		}
		for id, received := range n.received {
			Expect(received).To(HaveLen(len(n.peers)-1), "nodes whose updates %s received", id)
			Expect(received).NotTo(HaveKey(id))
			for from, times := range received {
				Expect(times).To(Equal(1), "deliveries to %s of updates from %s", id, from)
			}
		}
	})

	It("sends batches to other zones only between relays", func() {
		n := newNetwork(4, 18)
		for range 20 {
			for _, relayer := range n.relayers {
				relayer.Add(gossip.Update{})
			}
			n.round(nil)
		}
		Expect(n.crossings).To(BeNumerically("<=", 20*4*3))
		Expect(n.sent).To(BeNumerically("<=", 20*(72+4*17+4*3)))
	})

	It("delivers updates to the other zones even if nodes disagree on which nodes are live", func() {
		n := newNetwork(3, 3)
		relay, _ := gossip.RelayFor("zone-0", n.peers)
		var withoutRelay []member.Info
		for _, peer := range n.peers {
			if peer.ID != relay.ID {
				withoutRelay = append(withoutRelay, peer)
			}
		}
		sender := withoutRelay[0]
		Expect(sender.Zone).To(Equal("zone-0"))
		n.relayers[sender.ID].Add(gossip.Update{})
		for range 4 {
			// Only the sender regards the relay as dead.
			n.round(map[member.ID][]member.Info{sender.ID: withoutRelay})
		}
		for _, peer := range withoutRelay {
			if peer.ID != sender.ID && peer.Zone != "zone-0" {
				Expect(n.received[peer.ID]).To(HaveKey(sender.ID), "nodes whose updates %s received", peer.ID)
			}
		}
	})

	It("relays through a node that serves no callers, and delivers each update exactly once", func() {
		n := newNetwork(2, 5)
		idle := member.Info{ID: "idle", Zone: idleZone}
		n.peers = append(n.peers, idle)
		n.relayers[idle.ID] = gossip.NewRelayer(idle.ID, idle.Zone)
		n.received[idle.ID] = map[member.ID]int{}
		relay, found := gossip.RelayFor(idleZone, n.peers)
		Expect(found).To(BeTrue())
		Expect(relay.ID).To(Equal(idle.ID))
		for id, relayer := range n.relayers {
			if id != idle.ID {
				relayer.Add(gossip.Update{Node: id})
			}
		}
		for range 4 {
			n.round(nil)
		}
		for id, received := range n.received {
			for from, times := range received {
				Expect(times).To(Equal(1), "deliveries to %s of updates from %s", id, from)
			}
		}
		Expect(n.received["node-0-0"]).To(HaveLen(9))
		Expect(n.received["node-1-0"]).To(HaveLen(9))
	})

	It("drops updates beyond the capacity of its queues", func() {
		relayer := gossip.NewRelayer("relay", "zone")
		update := make([]gossip.Update, 10000)
		for i := range update {
			update[i].Node = "other"
		}
		Expect(relayer.Receive(gossip.Batch{Stage: gossip.NodeToRelay, Updates: update})).To(HaveLen(len(update)))
		peers := []member.Info{{ID: "relay", Zone: "zone"}, {ID: "listener", Zone: "zone", TrafficAddress: "served"}}
		sends := relayer.Flush(peers)
		Expect(sends).To(HaveLen(1))
		Expect(len(sends[0].Batch.Updates)).To(Equal(4096))
	})

	It("sends nothing without updates, or without live nodes", func() {
		relayer := gossip.NewRelayer("a", "zone")
		Expect(relayer.Flush([]member.Info{{ID: "a", Zone: "zone"}, {ID: "b", Zone: "zone"}})).To(BeEmpty())
		relayer.Add(gossip.Update{})
		Expect(relayer.Flush(nil)).To(BeEmpty())
	})
})
