package outlier

import "time"

// silences is how many deadlines in a row may pass at a replica before they count
// as a broken connection. One alone may have been too short.
const silences = 3

// suspicion is the state of a replica that could not be reached lately.
type suspicion struct {
	until  time.Duration
	length time.Duration
	// silent counts the deadlines that have passed since the replica was heard
	// of.
	silent int
}

// begin begins a suspicion unless there is one. It lasts longer with each time in
// a row.
func (s *suspicion) begin(now time.Duration, options *Options) {
	if now < s.until {
		return
	}
	if s.length == 0 {
		s.length = options.Suspicion
	} else {
		s.length = min(2*s.length, options.MostSuspicion)
	}
	s.until = now + s.length
}

// clear ends the suspicion.
func (s *suspicion) clear() { *s = suspicion{} }

// holds tells whether the replica is suspected.
func (s *suspicion) holds(now time.Duration) bool { return now < s.until }
