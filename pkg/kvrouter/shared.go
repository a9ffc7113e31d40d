package kvrouter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sharedLoadTTL ends the load that another router told of and has not
	// told of since.
	sharedLoadTTL = time.Second
	// sweepEvery is how often ended loads are looked for.
	sweepEvery = 250 * time.Millisecond
	// maxSharingRouters bounds the routers whose load on one replica is kept.
	maxSharingRouters = 512
)

// SharedLoad is the work of one router's requests on a replica, in tokens.
type SharedLoad struct {
	// PrefillTokens are the unread tokens of prompts by priority.
	PrefillTokens [Priorities]float64
	// DecodeTokens are those that its requests hold in memory.
	DecodeTokens float64
	// Requests counts its requests that have not ended.
	Requests float64
}

// AddressLoad is a SharedLoad of a replica.
type AddressLoad struct {
	Address string
	SharedLoad
}

// idle tells whether there is nothing to say.
func (l *SharedLoad) idle() bool { return l.Requests == 0 }

func (l *SharedLoad) prefill() (sum float64) {
	for _, tokens := range l.PrefillTokens {
		sum += tokens
	}
	return sum
}

// sharedEntry is the newest load that another router told of.
type sharedEntry struct {
	load   SharedLoad
	toldAt time.Duration
	// remaining is the state of the countdown when it was told.
	remaining  float64
	generation uint64
}

// sharedLoads sums what other routers told of one replica. Their prefill shrinks
// as the replica reads it. So that one told load changes the sum at constant
// cost, all prefill shrinks by one common factor.
type sharedLoads struct {
	byRouter map[string]sharedEntry
	sum      SharedLoad
	// remaining is the share of prefill told at its start that is still
	// unread, within a generation. A new one begins when it falls near 0.
	remaining  float64
	generation uint64
	sweptAt    time.Duration
}

const leastRemaining = 1e-6

// set replaces what a router told.
func (s *sharedLoads) set(now time.Duration, router string, told SharedLoad) {
	if s.byRouter == nil {
		s.byRouter = make(map[string]sharedEntry)
		s.remaining = 1
	}
	s.remove(router)
	if told.idle() || len(s.byRouter) >= maxSharingRouters {
		return
	}
	s.byRouter[router] = sharedEntry{load: told, toldAt: now, remaining: s.remaining, generation: s.generation}
	s.add(&told, 1, 1)
}

// remove takes off what a router told.
func (s *sharedLoads) remove(router string) {
	known, present := s.byRouter[router]
	if !present {
		return
	}
	delete(s.byRouter, router)
	if len(s.byRouter) == 0 {
		s.sum = SharedLoad{}
		return
	}
	unread := 0.0
	if known.generation == s.generation {
		unread = s.remaining / known.remaining
	}
	s.add(&known.load, -1, unread)
}

func (s *sharedLoads) add(load *SharedLoad, sign, unread float64) {
	for priority := range load.PrefillTokens {
		changed := s.sum.PrefillTokens[priority] + sign*unread*load.PrefillTokens[priority]
		s.sum.PrefillTokens[priority] = max(0, changed)
	}
	s.sum.DecodeTokens = max(0, s.sum.DecodeTokens+sign*load.DecodeTokens)
	s.sum.Requests = max(0, s.sum.Requests+sign*load.Requests)
}

// drain takes off tokens that the replica has read meanwhile.
func (s *sharedLoads) drain(tokens float64) {
	prefill := s.sum.prefill()
	if prefill <= 0 || tokens <= 0 {
		return
	}
	share := max(0, 1-tokens/prefill)
	for priority := range s.sum.PrefillTokens {
		s.sum.PrefillTokens[priority] *= share
	}
	s.remaining *= share
	if s.remaining < leastRemaining {
		s.sum.PrefillTokens = [Priorities]float64{}
		s.remaining = 1
		s.generation++
	}
}

// sweep removes what was not told again in time.
func (s *sharedLoads) sweep(now time.Duration) {
	if len(s.byRouter) == 0 || now-s.sweptAt < sweepEvery {
		return
	}
	s.sweptAt = now
	for router, known := range s.byRouter {
		if now-known.toldAt >= sharedLoadTTL {
			s.remove(router)
		}
	}
}

// RemoteLoad takes in the load that another router has on a replica. It counts
// until the next one of that router, or for a second.
func (r *Router) RemoteLoad(now time.Duration, router, address string, told SharedLoad) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now)
	known := r.state(now, address)
	known.settle(now)
	known.shared.set(now, router, told)
}

// OwnLoads returns, by address, the own load of each replica that has some, and
// once more of each that has had some until the last call. It is what to hand
// to RemoteLoad of the other routers.
func (r *Router) OwnLoads(now time.Duration) []AddressLoad {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now)
	var loads []AddressLoad
	for address, known := range r.replicas {
		if known.load.own.present.requests == 0 && !known.toldLoad {
			continue
		}
		own := known.ownLoad(now)
		known.toldLoad = !own.idle()
		loads = append(loads, AddressLoad{Address: address, SharedLoad: own})
	}
	slices.SortFunc(loads, func(a, b AddressLoad) int { return cmp.Compare(a.Address, b.Address) })
	return loads
}

// ownLoad is the load of this router's own requests.
func (s *replicaState) ownLoad(now time.Duration) SharedLoad {
	s.settle(now)
	own := SharedLoad{
		DecodeTokens: s.load.own.present.decodeTokens,
		Requests:     s.load.own.present.requests,
	}
	s.queue.byPriority(&own.PrefillTokens)
	return own
}

// settle brings the estimate of what the replica has read up to date. Own and
// other requests share its time.
func (s *replicaState) settle(now time.Duration) {
	elapsed := now - s.queue.updatedAt
	if elapsed <= 0 {
		return
	}
	s.queue.updatedAt = now
	s.shared.sweep(now)
	own, others := s.queue.left(), s.shared.sum.prefill()
	if own+others <= 0 || s.perToken <= 0 {
		return
	}
	read := milliseconds(elapsed) / (s.perToken * s.slowness.factor())
	share := own / (own + others)
	s.queue.drain(read * share)
	s.shared.drain(read * (1 - share))
}
