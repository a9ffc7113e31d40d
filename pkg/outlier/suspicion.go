package outlier

import "time"

// suspectAfterMissed is how many deadlines in a row may pass at a replica before they count
// as a broken connection. One alone may have been too short.
const suspectAfterMissed = 3

// suspicion is the state of a replica that could not be reached recently.
type suspicion struct {
	until  time.Duration
	length time.Duration
	// missedDeadlines counts the deadlines that have passed since the last response of
	// the replica.
	missedDeadlines int
}

// start makes the replica suspected, unless it is already. Each suspicion in a row lasts
// longer than the one before.
func (s *suspicion) start(now time.Duration, options *Options) {
	if now < s.until {
		return
	}
	if s.length == 0 {
		s.length = options.Suspicion
	} else {
		s.length = min(2*s.length, options.MaxSuspicion)
	}
	s.until = now + s.length
}

// clear ends the suspicion.
func (s *suspicion) clear() { *s = suspicion{} }

// active reports whether the replica is suspected.
func (s *suspicion) active(now time.Duration) bool { return now < s.until }
