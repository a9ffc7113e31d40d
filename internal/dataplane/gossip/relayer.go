package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// maxPending bounds the updates that wait at a relay. What comes beyond it is dropped.
const maxPending = 4096

// Relayer passes updates on at one node: as the relay of its zone those of other nodes too,
// otherwise its own to that relay. It must not be used concurrently.
type Relayer struct {
	self member.ID
	zone string
	// toZone are the pending updates for the nodes of the zone, and toRelays those for
	// the relays of the other zones.
	toZone   []Update
	toRelays []Update
}

// NewRelayer returns the relayer of a node in a zone.
func NewRelayer(self member.ID, zone string) *Relayer {
	return &Relayer{self: self, zone: zone}
}

// Add adds an update of this node.
func (r *Relayer) Add(update Update) {
	update.Node = r.self
	r.toZone = appendBounded(r.toZone, update)
	r.toRelays = appendBounded(r.toRelays, update)
}

// Receive handles a batch of another node and returns the updates for this node.
func (r *Relayer) Receive(batch Batch) []Update {
	fromOthers := lo.Reject(batch.Updates, func(update Update, _ int) bool { return update.Node == r.self })
	switch batch.Stage {
	case NodeToRelay:
		r.toZone = appendBounded(r.toZone, fromOthers...)
		r.toRelays = appendBounded(r.toRelays, fromOthers...)
	case RelayToRelay:
		r.toZone = appendBounded(r.toZone, fromOthers...)
	}
	return fromOthers
}

// Flush returns what is to be sent now, given the live nodes.
func (r *Relayer) Flush(live []member.Info) []Outbound {
	toZone, toRelays := r.toZone, r.toRelays
	r.toZone, r.toRelays = nil, nil
	relay, found := RelayFor(r.zone, live)
	if !found {
		return nil
	}
	if relay.ID != r.self {
		return outbound(NodeToRelay, toRelays, relay)
	}
	recipients := lo.Filter(live, func(node member.Info, _ int) bool {
		return node.Zone == r.zone && node.ID != r.self && servesCallers(node)
	})
	sends := outbound(RelayToNodes, toZone, recipients...)
	return append(sends, outbound(RelayToRelay, toRelays, r.otherZoneRelays(live)...)...)
}

// otherZoneRelays returns the relays of the other zones in which callers are
// served.
func (r *Relayer) otherZoneRelays(live []member.Info) []member.Info {
	serving := lo.Filter(live, func(node member.Info, _ int) bool { return node.Zone != r.zone && servesCallers(node) })
	zones := lo.Uniq(lo.Map(serving, func(node member.Info, _ int) string { return node.Zone }))
	slices.Sort(zones)
	return lo.FilterMap(zones, func(zone string, _ int) (member.Info, bool) { return RelayFor(zone, live) })
}

// servesCallers reports whether a node has traffic, and so a use for updates.
func servesCallers(node member.Info) bool {
	return node.TrafficAddress != ""
}

// RelayFor returns the relay of a zone: the live node in it with the highest rendezvous
// weight, so that nodes which see the same live nodes agree without asking each other. Nodes
// that serve no callers precede those that do, as their links and processors are less busy.
func RelayFor(zone string, live []member.Info) (member.Info, bool) {
	candidates := lo.Filter(live, func(node member.Info, _ int) bool { return node.Zone == zone })
	if idle := lo.Reject(candidates, func(node member.Info, _ int) bool { return servesCallers(node) }); len(idle) > 0 {
		candidates = idle
	}
	if len(candidates) == 0 {
		return member.Info{}, false
	}
	return slices.MaxFunc(candidates, func(a, b member.Info) int {
		return cmp.Or(cmp.Compare(relayWeight(a.ID), relayWeight(b.ID)), cmp.Compare(a.ID, b.ID))
	}), true
}

// relayWeight is the rendezvous weight of a node as the relay of its zone.
func relayWeight(id member.ID) uint64 {
	return xxhash.Sum64String("relay\x00" + string(id))
}

// outbound returns a batch for nodes, or nothing if there are no updates or no nodes. A
// node ignores its own updates when they come back.
func outbound(stage Stage, updates []Update, to ...member.Info) []Outbound {
	if len(updates) == 0 || len(to) == 0 {
		return nil
	}
	return []Outbound{{To: to, Batch: Batch{Stage: stage, Updates: updates}}}
}

// appendBounded appends updates up to the bound.
func appendBounded(waiting []Update, added ...Update) []Update {
	capacity := max(0, maxPending-len(waiting))
	return append(waiting, added[:min(capacity, len(added))]...)
}
