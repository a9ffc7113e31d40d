package claims

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// claimID identifies a claim among those of all nodes.
type claimID struct {
	claimant    member.ID
	incarnation member.Incarnation
	number      Number
}

func idOf(from member.ID, message Message) claimID {
	return claimID{claimant: from, incarnation: message.Incarnation, number: message.Number}
}

// entry is a claim that a home remembers.
type entry struct {
	claim     claimID
	expiresAt time.Duration
}

// home implements the role of this node as a home. It owns the claims, of all nodes, that
// this node remembers as a home. Its invariant is that it has at most one claim of each
// key: an entry is removed, or replaced by that of another claim, only when it has expired
// or its claimant releases the claim.
type home struct {
	retention  time.Duration
	maxEntries int
	// readyAt is when all claims that an earlier incarnation may have granted have expired.
	readyAt time.Duration
	entries map[Key]entry
	// nextSweepAt is when tick next removes expired entries.
	nextSweepAt time.Duration
	// newestEpoch is the newest epoch in the requests and renewals of claimants.
	newestEpoch uint64
}

// newHome returns the home of a node that starts at the time now.
func newHome(config Config, now time.Duration) *home {
	return &home{
		retention:   config.Retention,
		maxEntries:  config.MaxEntries,
		readyAt:     now + config.Retention + config.clockMargin(),
		entries:     make(map[Key]entry),
		nextSweepAt: now + config.renewInterval(),
	}
}

// handleRequest returns the reply to a request or a renewal, and remembers the claim if it is
// granted. The parameter epoch is the epoch of this node's newest set. A claimant whose
// directory is older than that epoch, or than the epoch of another claimant, might not know
// all the homes that have to grant; only renewals of such a claimant are accepted.
func (h *home) handleRequest(now time.Duration, from member.ID, request Message, epoch uint64) Kind {
	if request.Kind == Acquire && request.Epoch < max(epoch, h.newestEpoch) {
		return Outdated
	}
	h.newestEpoch = max(h.newestEpoch, request.Epoch)
	claim := idOf(from, request)
	remembered, present := h.entries[request.Key]
	present = present && remembered.expiresAt > now
	switch {
	case present && remembered.claim != claim:
		return Conflict
	case !present && request.Kind == Acquire && now < h.readyAt:
		return NotReady
	case !present && h.isFull(now):
		return Full
	}
	h.entries[request.Key] = entry{claim: claim, expiresAt: now + h.retention}
	return Granted
}

// release removes the entry of a claim whose request has not run.
func (h *home) release(from member.ID, message Message) {
	if remembered, present := h.entries[message.Key]; present && remembered.claim == idOf(from, message) {
		delete(h.entries, message.Key)
	}
}

// isFull reports whether the home can remember no more claims. If maxEntries is reached, it
// first removes the expired entries.
func (h *home) isFull(now time.Duration) bool {
	if len(h.entries) < h.maxEntries {
		return false
	}
	h.sweep(now)
	return len(h.entries) >= h.maxEntries
}

// sweep removes the entries that have expired.
func (h *home) sweep(now time.Duration) {
	for key, remembered := range h.entries {
		if remembered.expiresAt <= now {
			delete(h.entries, key)
		}
	}
}

// tick removes the expired entries renewDivisor times per retention.
func (h *home) tick(now time.Duration) {
	if now < h.nextSweepAt {
		return
	}
	h.nextSweepAt = now + h.retention/renewDivisor
	h.sweep(now)
}
