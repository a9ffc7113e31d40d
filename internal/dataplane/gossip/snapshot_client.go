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
	// responseTimeout is how long a requested peer may take until its first, or its next,
	// response.
	responseTimeout = time.Second
	// maxRequested bounds the peers that are requested one after the other. More than one is
	// needed, since some may have started lately themselves and have nothing to send.
	maxRequested = 6
	// membershipKnownAfter is how long after its start a node waits to hear of a peer before
	// it concludes that there is none.
	membershipKnownAfter = 1500 * time.Millisecond
	// maxTransferTime bounds the whole transfer, from the first call on.
	maxTransferTime = 5 * time.Second
)

// SnapshotClient transfers a peer's snapshot of the cached chunks to a node that has
// started: it requests the live nodes one after the other, those of its zone first, until
// one has responded with something.
type SnapshotClient struct {
	self member.ID
	zone string

	started   bool
	startedAt time.Duration
	done      bool
	// requested are the peers that were requested; the last of them is the present one.
	requested []member.ID
	// lastActivity is when that one was requested, or sent a part of its response.
	lastActivity time.Duration
	// received reports whether the present peer has sent anything in its snapshot.
	received bool
}

// NewSnapshotClient returns the client of a node in a zone.
func NewSnapshotClient(self member.ID, zone string) *SnapshotClient {
	return &SnapshotClient{self: self, zone: zone}
}

// Done reports whether the transfer has ended, or can bring nothing any more.
func (c *SnapshotClient) Done(now time.Duration) bool {
	c.start(now)
	if now-c.startedAt >= maxTransferTime {
		c.done = true
	}
	return c.done
}

// Tick returns the request that is due, if there is one, given the live nodes.
func (c *SnapshotClient) Tick(now time.Duration, live []member.Info) []Outbound {
	if c.Done(now) || c.awaitingResponse(now) {
		return nil
	}
	next, found := c.nextPeer(live)
	if !found {
		c.done = now-c.startedAt >= membershipKnownAfter
		return nil
	}
	c.requested = append(c.requested, next.ID)
	c.lastActivity = now
	c.received = false
	return []Outbound{{To: []member.Info{next}, Batch: Batch{Stage: SnapshotRequest, Updates: []Update{{Node: c.self}}}}}
}

// HandleResponse handles a part of a response, or its end. Current is false for a
// response that is not expected, and must be ignored.
func (c *SnapshotClient) HandleResponse(now time.Duration, stage Stage, update Update) (current bool) {
	if c.done || len(c.requested) == 0 || update.Node != c.requested[len(c.requested)-1] {
		return false
	}
	c.lastActivity = now
	c.received = c.received || len(update.Reports) > 0
	if stage == SnapshotEnd {
		// After an empty snapshot the next peer is requested, without waiting for more.
		c.done = c.received
		c.lastActivity = now - responseTimeout
	}
	return true
}

// Pending reports whether a response has been requested and may still arrive.
func (c *SnapshotClient) Pending(now time.Duration) bool {
	return !c.Done(now) && c.awaitingResponse(now)
}

// start sets the time from which the bounds of the transfer count, at the first call.
func (c *SnapshotClient) start(now time.Duration) {
	if !c.started {
		c.started = true
		c.startedAt = now
	}
}

// awaitingResponse reports whether the last requested peer may still respond.
func (c *SnapshotClient) awaitingResponse(now time.Duration) bool {
	return len(c.requested) > 0 && now-c.lastActivity < responseTimeout
}

// nextPeer returns the peer to request now: those in the zone first, and then in an order
// that differs from node to node, so that nodes that start together request different
// peers.
func (c *SnapshotClient) nextPeer(live []member.Info) (member.Info, bool) {
	candidates := lo.Filter(live, func(node member.Info, _ int) bool {
		return node.ID != c.self && servesCallers(node) && !slices.Contains(c.requested, node.ID)
	})
	if len(candidates) == 0 || len(c.requested) >= maxRequested {
		return member.Info{}, false
	}
	return slices.MinFunc(candidates, func(one, other member.Info) int {
		return cmp.Or(
			cmp.Compare(c.distance(one), c.distance(other)),
			cmp.Compare(c.weight(one), c.weight(other)),
			cmp.Compare(one.ID, other.ID),
		)
	}), true
}

// distance is 0 for a node in the zone, and 1 for any other.
func (c *SnapshotClient) distance(node member.Info) int {
	if node.Zone == c.zone {
		return 0
	}
	return 1
}

// weight orders the other nodes for this one.
func (c *SnapshotClient) weight(node member.Info) uint64 {
	return xxhash.Sum64String("adoption\x00" + string(c.self) + "\x00" + string(node.ID))
}
