package admission

import (
	"slices"
	"time"
)

// updateTotals updates activeWeight and waiting after a change of a tenant.
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

// nodeHasCapacity reports whether the node has a slot for one more request of a tenant. A
// tenant that has its fair share of slots or more gets none of the reserved slots.
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

// atFairShare reports whether a tenant uses at least its fair share of the node's slots.
// The share is computed as if one more tenant, of weight 1, had requests.
func (c *Controller) atFairShare(state *tenantState) bool {
	weight := state.limits.weight()
	others := c.activeWeight - state.countedWeight
	return uint64(state.running)*(others+weight+1) >= uint64(c.options.Concurrent)*weight
}

// grantAll assigns the free slots to queued requests.
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

// next returns the tenant whose first queued request gets the next slot, or nil if no
// queued request may run. It returns the tenant with the lowest usage in proportion to its
// weight, and among tenants of equal usage the one whose last grant is the oldest.
func (c *Controller) next(now time.Duration) *tenantState {
	var best *tenantState
	for _, candidate := range slices.Clone(c.waiting) {
		candidate.expireFromHead(now)
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

// precedes reports whether tenant a gets a slot before tenant b. Of two tenants one always
// precedes the other, so that the order of iteration does not matter.
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

// expectedWait estimates how long a request that arrives now waits. The estimate is based
// on the requests queued before it, the mean of the tenant's recent service times, and the
// slots that the tenant can expect.
func (c *Controller) expectedWait(state *tenantState) time.Duration {
	position := float64(len(state.queue) + 1)
	return time.Duration(position * float64(state.serviceTime.mean) / c.expectedSlots(state))
}

// expectedSlots returns how many slots a tenant can expect: as many as it uses or its fair
// share of the node, whichever is more, but at least one and no more than its own limit.
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
