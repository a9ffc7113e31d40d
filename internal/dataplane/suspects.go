package dataplane

import (
	"sync"
	"time"
)

const (
	// firstSuspicion is how long a back end is avoided after its first
	// failure.
	firstSuspicion = time.Second
	// longestSuspicion bounds the time after further failures.
	longestSuspicion = 8 * time.Second
	// silenceLimit is how many deadlines in a row may pass on a back end
	// before they count as a failure. One alone may have been too short.
	silenceLimit = 3
)

// suspicion is the state of a back end that has failed lately.
type suspicion struct {
	until  time.Duration
	length time.Duration
}

// suspects remembers the back ends that have failed lately. A crashed replica
// would otherwise win every selection, since it keeps the most and does the
// least, until the platform takes it off its list.
type suspects struct {
	mutex sync.Mutex
	known map[string]suspicion
	// silent counts the deadlines that have passed since the back end was
	// heard of.
	silent map[string]int
}

// newSuspects returns an empty memory.
func newSuspects() *suspects {
	return &suspects{known: make(map[string]suspicion), silent: make(map[string]int)}
}

// failed enters a failure, which counts for longer with each one in a row.
func (s *suspects) failed(now time.Duration, address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.suspect(now, address)
}

// timedOut enters that a deadline has passed without any answer.
func (s *suspects) timedOut(now time.Duration, address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent[address]++
	if s.silent[address] >= silenceLimit {
		s.suspect(now, address)
	}
}

// heard enters that a back end has answered something, well or not.
func (s *suspects) heard(address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.silent, address)
}

// suspect begins a suspicion unless there is one. The lock is held.
func (s *suspects) suspect(now time.Duration, address string) {
	length := firstSuspicion
	if previous, known := s.known[address]; known {
		if now < previous.until {
			return
		}
		length = min(2*previous.length, longestSuspicion)
	}
	s.known[address] = suspicion{until: now + length, length: length}
}

// succeeded clears a back end.
func (s *suspects) succeeded(address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.known, address)
	delete(s.silent, address)
}

// avoided tells whether a back end is to be avoided.
func (s *suspects) avoided(now time.Duration, address string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, suspected := s.known[address]
	return suspected && now < known.until
}
