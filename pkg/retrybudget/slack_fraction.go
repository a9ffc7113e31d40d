package retrybudget

import "time"

// fractionChange is a fraction of the slack and the time from which on it is valid.
type fractionChange struct {
	since    time.Duration
	fraction float64
}

// fractionHistory is which fractions of the slack this node had in the last window.
type fractionHistory struct {
	// startedAt is Options.StartedAt.
	startedAt time.Duration
	// changes are in order of time, and each holds until the next.
	changes []fractionChange
}

// add records the present fraction. Only the smallest fraction after an instant matters,
// so larger ones before a smaller one are dropped: the fractions in the history increase,
// and there are no more of them than increases in a window.
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

// minimum returns the smallest fraction in the window that ends now, and 0 while the node
// has not run for a window.
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

// usedSlackFraction is the fraction of the slack that a fleet uses. The rest is for
// bursts: the first attempts that permit the retries of several nodes may fall half into
// each of two of the windows that the fleet is judged by.
const usedSlackFraction = 0.7

// FleetSlackFraction returns a SlackFraction for a fleet whose membership changes. Live
// returns how many nodes this node knows to be live. Margin is how many more may be live
// at the same time without this node knowing it.
//
// Nodes that have left need no margin: a fraction that grows when they do counts only
// after a window, when their retries have left it. Nodes that join use no slack for a
// window, and by then are known.
func FleetSlackFraction(live func() int, margin int) func(now time.Duration) float64 {
	return func(time.Duration) float64 {
		return usedSlackFraction / float64(max(live(), 1)+max(margin, 0))
	}
}
