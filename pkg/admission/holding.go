package admission

import "time"

const (
	// meanWindow is how many holdings the mean looks back, roughly.
	meanWindow = 16
	// shortestWindow is how many it takes until a short one is forgotten,
	// roughly.
	shortestWindow = 64
)

// holding knows how long a tenant's requests have held their places lately.
type holding struct {
	mean time.Duration
	// shortest is what hardly any request has gone below.
	shortest time.Duration
	learnt   bool
}

// learn takes in one holding.
func (h *holding) learn(held time.Duration) {
	if !h.learnt {
		h.mean, h.shortest, h.learnt = held, held, true
		return
	}
	h.mean += (held - h.mean) / meanWindow
	if held < h.shortest {
		h.shortest = held
		return
	}
	h.shortest += (held - h.shortest) / shortestWindow
}
