package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// responseTimeout is how long an asked node may be silent.
	responseTimeout = time.Second
	// maxRequested bounds the nodes that are asked in turn, since some may have
	// started lately themselves.
	maxRequested = 6
	// membershipKnownAfter is when a node that has started knows the others, if there
	// are any.
	membershipKnownAfter = 1500 * time.Millisecond
	// maxTransferTime ends the asking in any case.
	maxTransferTime = 5 * time.Second
)

// SnapshotClient is how a node that has started takes over what another node knows of
// the parts that back ends keep: it asks the live nodes one after the other, those
// of its own zone first, until one has answered with something. It does no I/O and
// reads no clock, and is not safe for concurrent use.
type SnapshotClient struct {
	self member.ID
	zone string

	started   bool
	startedAt time.Duration
	done      bool
	// requested are the nodes that were asked, and the last of them is asked now.
	requested []member.ID
	// lastActivity is when that one was asked, or sent a part of its answer.
	lastActivity time.Duration
	// received tells that it knows something.
	received bool
}

// NewSnapshotClient returns the adoption of a node in a zone.
func NewSnapshotClient(self member.ID, zone string) *SnapshotClient {
	return &SnapshotClient{self: self, zone: zone}
}

// Done tells, at a time, whether nothing more is to be waited for.
func (a *SnapshotClient) Done(now time.Duration) bool {
	a.start(now)
	if now-a.startedAt >= maxTransferTime {
		a.done = true
	}
	return a.done
}

// Tick returns the question that is due, if there is one, given the live nodes.
func (a *SnapshotClient) Tick(now time.Duration, live []member.Info) []Outbound {
	if a.Done(now) || a.awaitingResponse(now) {
		return nil
	}
	next, found := a.nextPeer(live)
	if !found {
		a.done = now-a.startedAt >= membershipKnownAfter
		return nil
	}
	a.requested = append(a.requested, next.ID)
	a.lastActivity = now
	a.received = false
	return []Outbound{{To: []member.Info{next}, Batch: Batch{Stage: SnapshotRequest, Updates: []Update{{Node: a.self}}}}}
}

// HandleResponse takes in a part of an answer, or its end. Current is false for an answer
// that is not waited for.
func (a *SnapshotClient) HandleResponse(now time.Duration, stage Stage, update Update) (current bool) {
	if a.done || len(a.requested) == 0 || update.Node != a.requested[len(a.requested)-1] {
		return false
	}
	a.lastActivity = now
	a.received = a.received || len(update.Reports) > 0
	if stage == SnapshotEnd {
		a.done = a.received
		a.lastActivity = now - responseTimeout
	}
	return true
}

// Pending tells whether an answer that has been asked for may still come, or goes
// on.
func (a *SnapshotClient) Pending(now time.Duration) bool {
	return !a.Done(now) && a.awaitingResponse(now)
}

func (a *SnapshotClient) start(now time.Duration) {
	if !a.started {
		a.started = true
		a.startedAt = now
	}
}

// awaitingResponse tells whether the node that was asked last may still answer.
func (a *SnapshotClient) awaitingResponse(now time.Duration) bool {
	return len(a.requested) > 0 && now-a.lastActivity < responseTimeout
}

// nextPeer returns the node to ask now: one in the zone before any other, and then in
// an order of this node's own, so that nodes that start together ask different
// ones.
func (a *SnapshotClient) nextPeer(live []member.Info) (member.Info, bool) {
	candidates := lo.Filter(live, func(node member.Info, _ int) bool {
		return node.ID != a.self && servesCallers(node) && !slices.Contains(a.requested, node.ID)
	})
	if len(candidates) == 0 || len(a.requested) >= maxRequested {
		return member.Info{}, false
	}
	return slices.MinFunc(candidates, func(one, other member.Info) int {
		return cmp.Or(
			cmp.Compare(a.distance(one), a.distance(other)),
			cmp.Compare(a.weight(one), a.weight(other)),
			cmp.Compare(one.ID, other.ID),
		)
	}), true
}

// distance is 0 for a node in the zone, and 1 for any other.
func (a *SnapshotClient) distance(node member.Info) int {
	if node.Zone == a.zone {
		return 0
	}
	return 1
}

// weight orders the other nodes for this one.
func (a *SnapshotClient) weight(node member.Info) uint64 {
	return xxhash.Sum64String("adoption\x00" + string(a.self) + "\x00" + string(node.ID))
}
