package admission

import "time"

const (
	// meanWindow is roughly how many requests the mean covers.
	meanWindow = 16
	// shortestWindow is how many it takes until a short one is forgotten,
	// roughly.
	shortestWindow = 64
)

// serviceTime estimates how long a tenant's requests occupy their slots.
type serviceTime struct {
	mean time.Duration
	// shortest is what hardly any request has gone below.
	shortest time.Duration
	observed bool
}

// observe adds the service time of one request.
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
