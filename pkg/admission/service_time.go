package admission

import "time"

const (
	// meanWindow is how many holdings the mean looks back, roughly.
	meanWindow = 16
	// shortestWindow is how many it takes until a short one is forgotten,
	// roughly.
	shortestWindow = 64
)

// serviceTime knows how long a tenant's requests have held their places lately.
type serviceTime struct {
	mean time.Duration
	// shortest is what hardly any request has gone below.
	shortest time.Duration
	observed bool
}

// observe takes in one holding.
func (h *serviceTime) observe(duration time.Duration) {
	if !h.observed {
		h.mean, h.shortest, h.observed = duration, duration, true
		return
	}
	h.mean += (duration - h.mean) / meanWindow
	if duration < h.shortest {
		h.shortest = duration
		return
	}
	h.shortest += (duration - h.shortest) / shortestWindow
}
