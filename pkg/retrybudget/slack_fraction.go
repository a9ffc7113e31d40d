package retrybudget

import "time"

// fractionChange is a fraction of the slack and the time at which it became valid.
type fractionChange struct {
	since    time.Duration
	fraction float64
}

// fractionHistory holds the fractions of the slack that this node had in the last window.
type fractionHistory struct {
	// startedAt is Options.StartedAt.
	startedAt time.Duration
	// changes are in order of time, and each is valid until the next one.
	changes []fractionChange
}

// add records the current fraction. Only the smallest fraction since a given time is ever
// needed, so earlier fractions that are no smaller than the new one are dropped. The
// fractions in the history therefore increase, and there are no more of them than increases
// in a window.
func (h *fractionHistory) add(now time.Duration, fraction float64) {
	since := now
	if len(h.changes) == 0 {
		since = h.startedAt
	}
	for last := len(h.changes) - 1; last >= 0 && h.changes[last].fraction >= fraction; last-- {
		since = h.changes[last].since
		h.changes = h.changes[:last]
	}
	h.changes = append(h.changes, fractionChange{since: since, fraction: fraction})
}

// minimum returns the smallest fraction in the window that ends now, or 0 if the node has
// been running for less than a window.
func (h *fractionHistory) minimum(now, window time.Duration) float64 {
	windowStart := now - window
	if len(h.changes) == 0 || h.startedAt > windowStart {
		return 0
	}
	for len(h.changes) > 1 && h.changes[1].since <= windowStart {
		h.changes = h.changes[1:]
	}
	return h.changes[0].fraction
}

// usedSlackFraction is the fraction of the slack that a fleet uses. The rest is a reserve
// for bursts: of the first attempts that permit the retries of several nodes, one half may
// fall into one of the windows to which the limit for the fleet refers (see the package
// comment), and the other half into another.
const usedSlackFraction = 0.7

// FleetSlackFraction returns a function for Options.SlackFraction in a fleet whose
// membership changes. The function live returns how many nodes this node knows to be live,
// and margin is how many more nodes may be live without this node knowing it.
//
// Nodes that have left need no margin: when they leave, the fractions of the others grow,
// but the larger fractions apply only a window later, when the window no longer contains
// retries of the nodes that left. Nodes that join use no slack for a window, and the other
// nodes know them by then.
func FleetSlackFraction(live func() int, margin int) func(now time.Duration) float64 {
	return func(time.Duration) float64 {
		return usedSlackFraction / float64(max(live(), 1)+max(margin, 0))
	}
}
