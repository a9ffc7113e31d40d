package admission

import (
	"slices"
	"time"
)

// updateTotals brings the sums over all gates up to date after a change of one.
func (c *Controller) updateTotals(state *tenantState) {
	weight := uint64(0)
	if state.inUse() {
		weight = state.limits.weight()
	}
	c.activeWeight += weight - state.countedWeight
	state.countedWeight = weight
	waiting := len(state.queue) > 0
	if waiting == state.inWaiting {
		return
	}
	state.inWaiting = waiting
	if waiting {
		c.waiting = append(c.waiting, state)
		return
	}
	i := slices.Index(c.waiting, state)
	c.waiting = slices.Delete(c.waiting, i, i+1)
}

// nodeHasCapacity tells whether the node has a place for one more request of a tenant.
// A tenant that holds its share or more takes none of the reserved places.
func (c *Controller) nodeHasCapacity(state *tenantState) bool {
	if c.options.Concurrent == 0 {
		return true
	}
	free := int64(c.options.Concurrent) - int64(len(c.running))
	if c.atFairShare(state) {
		free -= int64(c.options.Reserved)
	}
	return free > 0
}

// atFairShare tells whether a tenant runs as much as it may count on if one more
// tenant comes.
func (c *Controller) atFairShare(state *tenantState) bool {
	weight := state.limits.weight()
	others := c.activeWeight - state.countedWeight
	return uint64(state.running)*(others+weight+1) >= uint64(c.options.Concurrent)*weight
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
func (c *Controller) next(now time.Duration) *tenantState {
	var best *tenantState
	for _, candidate := range slices.Clone(c.waiting) {
		candidate.expireFirst(now)
		c.updateTotals(candidate)
		if len(candidate.queue) == 0 || !candidate.hasCapacity() || !c.nodeHasCapacity(candidate) {
			continue
		}
		if best == nil || precedes(candidate, best) {
			best = candidate
		}
	}
	return best
}

// precedes orders gates by what they hold. No two gates are equal, so that
// the order in which they are looked at does not matter.
func precedes(a, b *tenantState) bool {
	usageA := uint64(a.running) * b.limits.weight()
	usageB := uint64(b.running) * a.limits.weight()
	if usageA != usageB {
		return usageA < usageB
	}
	if a.lastGrant != b.lastGrant {
		return a.lastGrant < b.lastGrant
	}
	return a.name < b.name
}

// expectedWait estimates how long a request that comes now waits: those before
// it, by the time that the tenant's requests have held their places lately and
// by the places that it can count on.
func (c *Controller) expectedWait(state *tenantState) time.Duration {
	position := float64(len(state.queue) + 1)
	return time.Duration(position * float64(state.serviceTime.mean) / c.expectedSlots(state))
}

// expectedSlots returns how many places a tenant can count on: those that it holds,
// or its share of the node if that is more, but at least one.
func (c *Controller) expectedSlots(state *tenantState) float64 {
	slots := float64(max(state.running, 1))
	if c.options.Concurrent > 0 {
		fairShare := float64(c.options.Concurrent) * float64(state.limits.weight()) / float64(max(c.activeWeight, state.limits.weight()))
		slots = max(slots, fairShare)
	}
	if state.limits.Concurrent > 0 {
		slots = min(slots, float64(state.limits.Concurrent))
	}
	return slots
}
