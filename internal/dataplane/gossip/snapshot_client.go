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
	// responseTimeout is how long the client waits for the first or the next part of the
	// response of a peer.
	responseTimeout = time.Second
	// maxRequested is the maximum number of peers that the client sends a request to, one
	// after the other. More than one is needed, because some peers may have started recently
	// themselves and have nothing to send.
	maxRequested = 6
	// membershipKnownAfter is how long after its start the client waits for further peers to
	// become known before it concludes that there are none.
	membershipKnownAfter = 1500 * time.Millisecond
	// maxTransferTime is the maximum duration of the whole transfer, from the first call of
	// Done, Tick or Pending.
	maxTransferTime = 5 * time.Second
)

// SnapshotClient fetches a peer's snapshot of the cached chunks for a node that has started. It
// sends requests to the live nodes one after the other, to those of its own zone first, until
// one of them has sent a snapshot that is not empty.
type SnapshotClient struct {
	self member.ID
	zone string

	started   bool
	startedAt time.Duration
	done      bool
	// requested holds the peers to which requests were sent. The last one is the current
	// peer.
	requested []member.ID
	// lastActivity is when the request was sent to the current peer, or when the peer last
	// sent a part of its response.
	lastActivity time.Duration
	// received reports whether the current peer has sent a part of a snapshot that is not
	// empty.
	received bool
}

// NewSnapshotClient returns the client of a node in a zone.
func NewSnapshotClient(self member.ID, zone string) *SnapshotClient {
	return &SnapshotClient{self: self, zone: zone}
}

// Done reports whether the transfer has ended, be it with a snapshot, without one, or at its
// maximum duration.
func (c *SnapshotClient) Done(now time.Duration) bool {
	c.start(now)
	if now-c.startedAt >= maxTransferTime {
		c.done = true
	}
	return c.done
}

// Tick returns the request to send now, if any, given the live nodes.
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

// HandleResponse handles a part of a response, or its end. Current is false if the response is
// not from the current peer or the transfer has ended; the caller must ignore it then.
func (c *SnapshotClient) HandleResponse(now time.Duration, stage Stage, update Update) (current bool) {
	if c.done || len(c.requested) == 0 || update.Node != c.requested[len(c.requested)-1] {
		return false
	}
	c.lastActivity = now
	c.received = c.received || len(update.Reports) > 0
	if stage == SnapshotEnd {
		// After an empty snapshot, the next Tick sends a request to the next peer without
		// waiting for responseTimeout.
		c.done = c.received
		c.lastActivity = now - responseTimeout
	}
	return true
}

// Pending reports whether the client waits for a response of the current peer.
func (c *SnapshotClient) Pending(now time.Duration) bool {
	return !c.Done(now) && c.awaitingResponse(now)
}

// start records the start of the transfer at its first call.
func (c *SnapshotClient) start(now time.Duration) {
	if !c.started {
		c.started = true
		c.startedAt = now
	}
}

// awaitingResponse reports whether the response of the current peer has not timed out.
func (c *SnapshotClient) awaitingResponse(now time.Duration) bool {
	return len(c.requested) > 0 && now-c.lastActivity < responseTimeout
}

// nextPeer returns the peer to send the next request to. Peers in the client's zone come first.
// Otherwise the order differs from node to node, so that nodes that start at the same time send
// their requests to different peers.
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

// distance returns 0 for a node in the client's zone, and 1 for any other node.
func (c *SnapshotClient) distance(node member.Info) int {
	if node.Zone == c.zone {
		return 0
	}
	return 1
}

// weight returns a hash of this node and a peer, by which this node orders its peers.
func (c *SnapshotClient) weight(node member.Info) uint64 {
	return xxhash.Sum64String("adoption\x00" + string(c.self) + "\x00" + string(node.ID))
}
