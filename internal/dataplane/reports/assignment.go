package reports

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// assignment is the set of back ends that a node reads for a given view and membership.
type assignment struct {
	view     *routing.View
	peers    []member.Info
	backends map[string]bool
}

// validFor reports whether the assignment was computed for this view and membership.
func (a *assignment) validFor(view *routing.View, peers []member.Info) bool {
	same := func(one, other member.Info) bool { return one.ID == other.ID && one.Zone == other.Zone }
	return a.backends != nil && a.view == view && slices.EqualFunc(a.peers, peers, same)
}

// assign computes the assignment of a node.
func assign(self member.ID, view *routing.View, peers []member.Info) assignment {
	backends := make(map[string]bool)
	for address, zone := range reportingZones(view) {
		if readerFor(address, zone, peers) == self {
			backends[address] = true
		}
	}
	return assignment{view: view, peers: slices.Clone(peers), backends: backends}
}

// reportingZones returns the zone of each back end that reports cached chunks, by address.
func reportingZones(view *routing.View) map[string]string {
	zones := make(map[string]string)
	for _, pool := range view.Pools {
		for _, replica := range pool.Replicas {
			zones[replica.Address] = replica.Zone
		}
		if address := pool.Store.GetAddress(); address != "" {
			zones[address] = pool.Store.GetZone()
		}
	}
	return zones
}

// readerFor returns the node that reads a back end: the one with the highest rendezvous
// weight among the nodes in the back end's zone, or among all nodes if the zone has none.
func readerFor(address, zone string, peers []member.Info) member.ID {
	inZone, found := heaviest(address, peers, func(peer member.Info) bool { return peer.Zone == zone })
	if found {
		return inZone
	}
	anywhere, _ := heaviest(address, peers, func(member.Info) bool { return true })
	return anywhere
}

// heaviest returns the node with the highest rendezvous weight for a back end, among the
// nodes for which mayRead is true.
func heaviest(address string, peers []member.Info, mayRead func(member.Info) bool) (best member.ID, found bool) {
	highest := uint64(0)
	for _, peer := range peers {
		if !mayRead(peer) {
			continue
		}
		weight := readerWeight(address, peer.ID)
		if !found || cmp.Or(cmp.Compare(weight, highest), cmp.Compare(peer.ID, best)) > 0 {
			best, highest, found = peer.ID, weight, true
		}
	}
	return best, found
}

// readerWeight returns the rendezvous weight of a node for a back end.
func readerWeight(address string, id member.ID) uint64 {
	return xxhash.Sum64String(address + "\x00" + string(id))
}
