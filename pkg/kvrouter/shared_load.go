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
	load       SharedLoad
	receivedAt time.Duration
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

const minRemaining = 1e-6

// set replaces what a router told.
func (s *sharedLoads) set(now time.Duration, router string, reported SharedLoad) {
	if s.byRouter == nil {
		s.byRouter = make(map[string]sharedEntry)
		s.remaining = 1
	}
	s.remove(router)
	if reported.idle() || len(s.byRouter) >= maxSharingRouters {
		return
	}
	s.byRouter[router] = sharedEntry{load: reported, receivedAt: now, remaining: s.remaining, generation: s.generation}
	s.add(&reported, 1, 1)
}

// remove takes off what a router told.
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
	unread := 0.0
	if entry.generation == s.generation {
		unread = s.remaining / entry.remaining
	}
	s.add(&entry.load, -1, unread)
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

// sweep removes what was not told again in time.
func (s *sharedLoads) sweep(now time.Duration) {
	if len(s.byRouter) == 0 || now-s.sweptAt < sweepEvery {
		return
	}
	s.sweptAt = now
	for router, entry := range s.byRouter {
		if now-entry.receivedAt >= sharedLoadTTL {
			s.remove(router)
		}
	}
}

// SetRemoteLoad takes in the load that another router has on a replica. It counts
// until the next one of that router, or for a second.
func (r *Router) SetRemoteLoad(now time.Duration, router, address string, reported SharedLoad) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(now)
	state := r.stateLocked(now, address)
	state.drainBacklog(now)
	state.shared.set(now, router, reported)
}

// LocalLoads returns, by address, the own load of each replica that has some, and
// once more of each that has had some until the last call. It is what to hand
// to SetRemoteLoad of the other routers.
func (r *Router) LocalLoads(now time.Duration) []AddressLoad {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(now)
	var loads []AddressLoad
	for address, state := range r.replicas {
		if state.load.local.present.requests == 0 && !state.loadAnnounced {
			continue
		}
		local := state.localLoad(now)
		state.loadAnnounced = !local.idle()
		loads = append(loads, AddressLoad{Address: address, SharedLoad: local})
	}
	slices.SortFunc(loads, func(a, b AddressLoad) int { return cmp.Compare(a.Address, b.Address) })
	return loads
}

// localLoad is the load of this router's own requests.
func (s *replicaState) localLoad(now time.Duration) SharedLoad {
	s.drainBacklog(now)
	local := SharedLoad{
		DecodeTokens: s.load.local.present.decodeTokens,
		Requests:     s.load.local.present.requests,
	}
	s.queue.byPriority(&local.PrefillTokens)
	return local
}

// drainBacklog brings the estimate of what the replica has read up to date. Own and
// other requests share its time.
func (s *replicaState) drainBacklog(now time.Duration) {
	elapsed := now - s.queue.updatedAt
	if elapsed <= 0 {
		return
	}
	s.queue.updatedAt = now
	s.shared.sweep(now)
	local, others := s.queue.unread(), s.shared.sum.prefill()
	if local+others <= 0 || s.perToken <= 0 {
		return
	}
	read := milliseconds(elapsed) / (s.perToken * s.slowness.factor())
	localFraction := local / (local + others)
	s.queue.drain(read * localFraction)
	s.shared.drain(read * (1 - localFraction))
}
