package admission

import "time"

const (
	// meanWindow is roughly the number of requests over which the mean is taken.
	meanWindow = 16
	// shortestWindow is roughly the number of longer requests after which a short one no
	// longer affects the value of shortest.
	shortestWindow = 64
)

// serviceTime estimates how long a tenant's requests occupy their slots.
type serviceTime struct {
	mean time.Duration
	// shortest falls to a shorter service time at once and rises slowly with longer ones,
	// so that hardly any request takes less.
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
