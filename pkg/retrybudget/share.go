package retrybudget

import "time"

// shareChange is a share and the time from which on it held.
type shareChange struct {
	at    time.Duration
	share float64
}

// shareHistory is the share of this node over the last window.
type shareHistory struct {
	startedAt time.Duration
	// changes are in order of time, and each holds until the next.
	changes []shareChange
}

// add records the share at present. Only the smallest share after an instant
// matters, so greater ones before a smaller one are dropped: the shares in the
// history rise, and there are no more of them than rises in a window.
func (h *shareHistory) add(now time.Duration, share float64) {
	at := now
	if len(h.changes) == 0 {
		at = h.startedAt
	}
	for last := len(h.changes) - 1; last >= 0 && h.changes[last].share >= share; last-- {
		at = h.changes[last].at
		h.changes = h.changes[:last]
	}
	h.changes = append(h.changes, shareChange{at: at, share: share})
}

// least returns the smallest share in the window that ends now, and 0 while the
// node has not lived for a window.
func (h *shareHistory) least(now, window time.Duration) float64 {
	begins := now - window
	if len(h.changes) == 0 || h.startedAt > begins {
		return 0
	}
	for len(h.changes) > 1 && h.changes[1].at <= begins {
		h.changes = h.changes[1:]
	}
	return h.changes[0].share
}

// usedSlack is the share of the slack that a fleet uses. The rest is for traffic
// that comes in clumps: the first attempts that permit the retries of several
// nodes may fall half into each of two of the windows that the fleet is judged by.
const usedSlack = 0.7

// FleetShare returns a Share for a fleet in which nodes come and go. Live
// returns how many nodes this node knows to live now. Margin is how many more
// may live at the same time without this node knowing it.
//
// Nodes that have gone need no margin: a share that grows when they do counts
// only after a window, when their retries have left it. Nodes that come use no
// slack for a window, and by then are known.
func FleetShare(live func() int, margin int) func(now time.Duration) float64 {
	return func(time.Duration) float64 {
		return usedSlack / float64(max(live(), 1)+max(margin, 0))
	}
}
