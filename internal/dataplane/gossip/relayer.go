package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// maxPending is the capacity of each queue of a Relayer. Updates beyond it are dropped.
const maxPending = 4096

// Relayer queues and sends the updates of one node. If the node is the relay of its zone, it
// also relays the updates of other nodes; otherwise it sends its own updates to that relay. A
// Relayer must not be used concurrently.
type Relayer struct {
	self member.ID
	zone string
	// toZone holds the pending updates for the nodes of the zone, and toRelays the pending
	// updates for the relays of the other zones.
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

// Receive handles a batch of another node. It queues the batch's updates as far as this node
// has to relay them, and returns them for use at this node, except the node's own updates.
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

// Flush returns the batches to send now, given the live nodes, and empties the queues.
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

// otherZoneRelays returns the relays of the other zones that have nodes which serve callers.
func (r *Relayer) otherZoneRelays(live []member.Info) []member.Info {
	serving := lo.Filter(live, func(node member.Info, _ int) bool { return node.Zone != r.zone && servesCallers(node) })
	zones := lo.Uniq(lo.Map(serving, func(node member.Info, _ int) string { return node.Zone }))
	slices.Sort(zones)
	return lo.FilterMap(zones, func(zone string, _ int) (member.Info, bool) { return RelayFor(zone, live) })
}

// servesCallers reports whether a node serves callers. Only such nodes use updates.
func servesCallers(node member.Info) bool {
	return node.TrafficAddress != ""
}

// RelayFor returns the relay of a zone: the live node in it with the highest rendezvous
// weight, so that nodes with the same set of live nodes choose the same relay without
// communication. Nodes that serve no callers are preferred, because their links and processors
// are less busy.
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

// relayWeight returns the rendezvous weight of a node for the choice of relays.
func relayWeight(id member.ID) uint64 {
	return xxhash.Sum64String("relay\x00" + string(id))
}

// outbound returns a batch for nodes, or nil if there are no updates or no nodes. Updates may be
// sent back to the node that they are from, because a node ignores its own updates.
func outbound(stage Stage, updates []Update, to ...member.Info) []Outbound {
	if len(updates) == 0 || len(to) == 0 {
		return nil
	}
	return []Outbound{{To: to, Batch: Batch{Stage: stage, Updates: updates}}}
}

// appendBounded appends updates to a queue up to maxPending.
func appendBounded(waiting []Update, added ...Update) []Update {
	capacity := max(0, maxPending-len(waiting))
	return append(waiting, added[:min(capacity, len(added))]...)
}
