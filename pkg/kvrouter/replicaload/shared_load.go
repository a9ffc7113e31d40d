package replicaload

import "time"

const (
	// sharedLoadTTL is how long a load that another router sent is valid.
	sharedLoadTTL = time.Second
	// sweepInterval is the time between two searches for expired loads.
	sweepInterval = 250 * time.Millisecond
	// maxSharingRouters bounds the routers whose load on one replica is recorded.
	maxSharingRouters = 512
	// minRemaining is the value of sharedLoads.remaining below which a generation ends.
	minRemaining = 1e-6
)

// SharedLoad is the load of one router's requests on a replica, as routers send it
// to each other.
type SharedLoad struct {
	// PrefillTokens are the prompt tokens that are still to be computed, by priority.
	PrefillTokens [Priorities]float64
	// DecodeTokens are the tokens that the router's requests occupy in memory.
	DecodeTokens float64
	// Requests counts the router's active requests.
	Requests float64
}

// idle reports whether there is no load.
func (l *SharedLoad) idle() bool { return l.Requests == 0 }

func (l *SharedLoad) prefill() (sum float64) {
	for _, tokens := range l.PrefillTokens {
		sum += tokens
	}
	return sum
}

// sharedEntry is the newest load that another router sent.
type sharedEntry struct {
	load       SharedLoad
	receivedAt time.Duration
	// remaining and generation are those of sharedLoads when the entry was received.
	remaining  float64
	generation uint64
}

// sharedLoads sums the loads on one replica that other routers sent. Their prefill
// shrinks as the replica computes it. All prefill shrinks by one common factor, and an
// entry stores the value of that factor at the time when the entry was received, so that
// a new load changes the sum at constant cost.
type sharedLoads struct {
	byRouter map[string]sharedEntry
	sum      SharedLoad
	// remaining is the fraction that is still to be computed of the prefill received at
	// the start of the generation. A new generation begins when remaining falls near 0, so
	// that remove never divides by 0.
	remaining  float64
	generation uint64
	sweptAt    time.Duration
}

// set replaces the load of a router. Beyond maxSharingRouters, it ignores further routers.
func (s *sharedLoads) set(now time.Duration, router string, received SharedLoad) {
	if s.byRouter == nil {
		s.byRouter = make(map[string]sharedEntry)
		s.remaining = 1
	}
	s.remove(router)
	if received.idle() || len(s.byRouter) >= maxSharingRouters {
		return
	}
	s.byRouter[router] = sharedEntry{load: received, receivedAt: now, remaining: s.remaining, generation: s.generation}
	s.add(&received, 1, 1)
}

// remove subtracts the load of a router, with the part of its prefill that is still to be
// computed.
func (s *sharedLoads) remove(router string) {
	entry, present := s.byRouter[router]
	if !present {
		return
	}
	delete(s.byRouter, router)
	if len(s.byRouter) == 0 {
		s.sum = SharedLoad{}
		return
	}
	remaining := 0.0
	if entry.generation == s.generation {
		remaining = s.remaining / entry.remaining
	}
	s.add(&entry.load, -1, remaining)
}

// add adds a load to the sum, or subtracts it with the sign -1. Remaining is the fraction
// of its prefill that is still to be computed; only this fraction counts.
func (s *sharedLoads) add(load *SharedLoad, sign, remaining float64) {
	for priority := range load.PrefillTokens {
		changed := s.sum.PrefillTokens[priority] + sign*remaining*load.PrefillTokens[priority]
		s.sum.PrefillTokens[priority] = max(0, changed)
	}
	s.sum.DecodeTokens = max(0, s.sum.DecodeTokens+sign*load.DecodeTokens)
	s.sum.Requests = max(0, s.sum.Requests+sign*load.Requests)
}

// drain subtracts tokens that the replica has computed since the last call.
func (s *sharedLoads) drain(tokens float64) {
	prefill := s.sum.prefill()
	if prefill <= 0 || tokens <= 0 {
		return
	}
	fraction := max(0, 1-tokens/prefill)
	for priority := range s.sum.PrefillTokens {
		s.sum.PrefillTokens[priority] *= fraction
	}
	s.remaining *= fraction
	if s.remaining < minRemaining {
		s.sum.PrefillTokens = [Priorities]float64{}
		s.remaining = 1
		s.generation++
	}
}

// sweep removes the loads that were not renewed within sharedLoadTTL.
func (s *sharedLoads) sweep(now time.Duration) {
	if len(s.byRouter) == 0 || now-s.sweptAt < sweepInterval {
		return
	}
	s.sweptAt = now
	for router, entry := range s.byRouter {
		if now-entry.receivedAt >= sharedLoadTTL {
			s.remove(router)
		}
	}
}
