package shared

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// maxWaiting bounds the news that waits at a relay. What comes beyond it is
// dropped.
const maxWaiting = 4096

// Exchange passes news on at one node. It is not safe for concurrent use.
type Exchange struct {
	self member.ID
	zone string
	// toZone waits for the nodes of the zone, and toRelays for the relays of the
	// other zones.
	toZone   []News
	toRelays []News
}

// Outbound is a batch for another node.
type Outbound struct {
	To    member.Info
	Batch Batch
}

// NewExchange returns the exchange of a node in a zone.
func NewExchange(self member.ID, zone string) *Exchange {
	return &Exchange{self: self, zone: zone}
}

// Add takes this node's own news.
func (e *Exchange) Add(news News) {
	news.Node = e.self
	e.toZone = keep(e.toZone, news)
	e.toRelays = keep(e.toRelays, news)
}

// Take takes a batch of another node and returns the news that is new here.
func (e *Exchange) Take(batch Batch) []News {
	foreign := lo.Reject(batch.News, func(news News, _ int) bool { return news.Node == e.self })
	switch batch.Stage {
	case Gathering:
		e.toZone = keep(e.toZone, foreign...)
		e.toRelays = keep(e.toRelays, foreign...)
	case Crossing:
		e.toZone = keep(e.toZone, foreign...)
	}
	return foreign
}

// Flush returns what is to be sent now, given the live nodes.
func (e *Exchange) Flush(peers []member.Info) []Outbound {
	toZone, toRelays := e.toZone, e.toRelays
	e.toZone, e.toRelays = nil, nil
	relay, found := RelayOf(e.zone, peers)
	if !found {
		return nil
	}
	if relay.ID != e.self {
		return outbound(relay, Gathering, toRelays)
	}
	var sends []Outbound
	for _, peer := range peers {
		switch {
		case peer.ID == e.self:
		case peer.Zone == e.zone:
			sends = append(sends, outbound(peer, Spreading, besides(toZone, peer.ID))...)
		}
	}
	for _, zone := range otherZones(e.zone, peers) {
		if foreign, found := RelayOf(zone, peers); found {
			sends = append(sends, outbound(foreign, Crossing, toRelays)...)
		}
	}
	return sends
}

// RelayOf returns the relay of a zone: of the live nodes in it, the one that
// weighs highest.
func RelayOf(zone string, peers []member.Info) (member.Info, bool) {
	candidates := lo.Filter(peers, func(peer member.Info, _ int) bool { return peer.Zone == zone })
	if len(candidates) == 0 {
		return member.Info{}, false
	}
	return slices.MaxFunc(candidates, func(a, b member.Info) int {
		return cmp.Or(cmp.Compare(relayWeight(a.ID), relayWeight(b.ID)), cmp.Compare(a.ID, b.ID))
	}), true
}

// relayWeight orders the nodes of a zone.
func relayWeight(id member.ID) uint64 {
	return xxhash.Sum64String("relay\x00" + string(id))
}

// otherZones returns the zones of the nodes besides one, sorted.
func otherZones(own string, peers []member.Info) []string {
	zones := lo.Uniq(lo.Map(peers, func(peer member.Info, _ int) string { return peer.Zone }))
	zones = lo.Without(zones, own)
	slices.Sort(zones)
	return zones
}

// besides returns the news of all nodes but one.
func besides(news []News, id member.ID) []News {
	return lo.Reject(news, func(item News, _ int) bool { return item.Node == id })
}

// outbound returns a batch for a node, or nothing if there is no news.
func outbound(to member.Info, stage Stage, news []News) []Outbound {
	if len(news) == 0 {
		return nil
	}
	return []Outbound{{To: to, Batch: Batch{Stage: stage, News: news}}}
}

// keep appends news up to the bound.
func keep(waiting []News, added ...News) []News {
	room := max(0, maxWaiting-len(waiting))
	return append(waiting, added[:min(room, len(added))]...)
}
