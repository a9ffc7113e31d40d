package claims

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// claimID names a claim among those of all nodes.
type claimID struct {
	claimant    member.ID
	incarnation member.Incarnation
	number      Number
}

// entry is a claim that a home remembers.
type entry struct {
	claim     claimID
	expiresAt time.Duration
}

// home is what a node remembers for others.
type home struct {
	retention  time.Duration
	maxEntries int
	// readyAt is when all that an earlier life granted is forgotten.
	readyAt time.Duration
	entries map[Key]entry
	// sweepAt is when forgotten entries are next removed.
	sweepAt time.Duration
}

// newHome returns the memory of a node that starts at the time now.
func newHome(config Config, now time.Duration) *home {
	return &home{
		retention:  config.Retention,
		maxEntries: config.MaxEntries,
		readyAt:    now + config.Retention + config.margin(),
		entries:    make(map[Key]entry),
		sweepAt:    now + config.renewInterval(),
	}
}

// handleRequest decides over an asking or a renewal, and remembers what it grants.
func (h *home) handleRequest(now time.Duration, from member.ID, asked Message) Kind {
	claim := claimID{claimant: from, incarnation: asked.Incarnation, number: asked.Number}
	known, present := h.entries[asked.Key]
	present = present && known.expiresAt > now
	switch {
	case present && known.claim != claim:
		return Conflict
	case !present && asked.Kind == Acquire && now < h.readyAt:
		return NotReady
	case !present && h.full(now):
		return Full
	}
	h.entries[asked.Key] = entry{claim: claim, expiresAt: now + h.retention}
	return Granted
}

// release forgets a claim whose request has not run.
func (h *home) release(from member.ID, released Message) {
	claim := claimID{claimant: from, incarnation: released.Incarnation, number: released.Number}
	if known, present := h.entries[released.Key]; present && known.claim == claim {
		delete(h.entries, released.Key)
	}
}

// full tells whether there is no room even after what is forgotten is removed.
func (h *home) full(now time.Duration) bool {
	if len(h.entries) < h.maxEntries {
		return false
	}
	h.sweep(now)
	return len(h.entries) >= h.maxEntries
}

// sweep removes what is forgotten.
func (h *home) sweep(now time.Duration) {
	for key, remembered := range h.entries {
		if remembered.expiresAt <= now {
			delete(h.entries, key)
		}
	}
}

// tick sweeps now and then.
func (h *home) tick(now time.Duration) {
	if now < h.sweepAt {
		return
	}
	h.sweepAt = now + h.retention/renewDivisor
	h.sweep(now)
}
