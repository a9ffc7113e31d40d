package admission

import "time"

const (
	// meanWindow is roughly how many requests the mean covers.
	meanWindow = 16
	// shortestWindow is roughly how many requests it takes until a short one is
	// forgotten.
	shortestWindow = 64
)

// serviceTime estimates how long a tenant's requests occupy their slots.
type serviceTime struct {
	mean time.Duration
	// shortest follows a shorter service time at once and a longer one slowly, so that
	// hardly any request takes less.
	shortest time.Duration
	observed bool
}

// observe adds the service time of one request.
func (s *serviceTime) observe(duration time.Duration) {
	if !s.observed {
		s.mean, s.shortest, s.observed = duration, duration, true
		return
	}
	s.mean += (duration - s.mean) / meanWindow
	if duration < s.shortest {
		s.shortest = duration
		return
	}
	s.shortest += (duration - s.shortest) / shortestWindow
}
