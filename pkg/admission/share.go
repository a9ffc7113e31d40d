package admission

import (
	"slices"
	"time"
)

// recount brings the sums over all gates up to date after a change of one.
func (c *Controller) recount(gate *gate) {
	weight := uint64(0)
	if gate.inUse() {
		weight = gate.limits.weight()
	}
	c.activeWeight += weight - gate.countedWeight
	gate.countedWeight = weight
	waits := len(gate.queue) > 0
	if waits == gate.listed {
		return
	}
	gate.listed = waits
	if waits {
		c.waiting = append(c.waiting, gate)
		return
	}
	at := slices.Index(c.waiting, gate)
	c.waiting = slices.Delete(c.waiting, at, at+1)
}

// hasPlace tells whether the node has a place for one more request of a tenant.
// A tenant that holds its share or more takes none of the reserved places.
func (c *Controller) hasPlace(gate *gate) bool {
	if c.options.Concurrent == 0 {
		return true
	}
	free := int64(c.options.Concurrent) - int64(len(c.running))
	if c.holdsShare(gate) {
		free -= int64(c.options.Reserved)
	}
	return free > 0
}

// holdsShare tells whether a tenant runs as much as it may count on if one more
// tenant comes.
func (c *Controller) holdsShare(gate *gate) bool {
	weight := gate.limits.weight()
	others := c.activeWeight - gate.countedWeight
	return uint64(gate.running)*(others+weight+1) >= uint64(c.options.Concurrent)*weight
}

// grantAll gives the free places to waiting requests.
func (c *Controller) grantAll(now time.Duration) []Ticket {
	var granted []Ticket
	for {
		next := c.next(now)
		if next == nil {
			return granted
		}
		ticket := next.queue[0].ticket
		next.queue = next.queue[1:]
		c.run(now, next, ticket)
		granted = append(granted, ticket)
	}
}

// next returns the gate whose first waiting request runs next, or nil if none
// may: of those that may, the one that holds the fewest places in proportion
// to its weight, and among equals the one that has waited longest for a grant.
func (c *Controller) next(now time.Duration) *gate {
	var best *gate
	for _, candidate := range slices.Clone(c.waiting) {
		candidate.expireFirst(now)
		c.recount(candidate)
		if len(candidate.queue) == 0 || !candidate.hasRoom() || !c.hasPlace(candidate) {
			continue
		}
		if best == nil || goesBefore(candidate, best) {
			best = candidate
		}
	}
	return best
}

// goesBefore orders gates by what they hold. No two gates are equal, so that
// the order in which they are looked at does not matter.
func goesBefore(a, b *gate) bool {
	heldByA := uint64(a.running) * b.limits.weight()
	heldByB := uint64(b.running) * a.limits.weight()
	if heldByA != heldByB {
		return heldByA < heldByB
	}
	if a.lastGrant != b.lastGrant {
		return a.lastGrant < b.lastGrant
	}
	return a.tenant < b.tenant
}

// expectedWait estimates how long a request that comes now waits: those before
// it, by the time that the tenant's requests have held their places lately and
// by the places that it can count on.
func (c *Controller) expectedWait(gate *gate) time.Duration {
	ahead := float64(len(gate.queue) + 1)
	return time.Duration(ahead * float64(gate.holding.mean) / c.countsOn(gate))
}

// countsOn returns how many places a tenant can count on: those that it holds,
// or its share of the node if that is more, but at least one.
func (c *Controller) countsOn(gate *gate) float64 {
	places := float64(max(gate.running, 1))
	if c.options.Concurrent > 0 {
		share := float64(c.options.Concurrent) * float64(gate.limits.weight()) / float64(max(c.activeWeight, gate.limits.weight()))
		places = max(places, share)
	}
	if gate.limits.Concurrent > 0 {
		places = min(places, float64(gate.limits.Concurrent))
	}
	return places
}
