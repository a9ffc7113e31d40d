// Package destinations counts the requests to each pool and web service on this node by
// their outcomes, and limits their retries.
//
// A Set owns the States of all destinations to which requests have been routed. Neither
// type reads a clock. Both may be used concurrently.
package destinations

import (
	"sort"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/retrybudget"
)

// key distinguishes pools and web services of the same name.
type key struct {
	name       string
	webService bool
}

// State is the state of a destination: its counters and its retry budget.
type State struct {
	budget   *retrybudget.Budget
	mutex    sync.Mutex
	stats    Stats
	refusals map[caller.Kind]uint64
	invalid  map[string]uint64
}

// Set holds the state of every destination to which requests have been routed. States are
// never removed; their number is bounded by the number of destination names that
// configurations have contained since the node started.
type Set struct {
	budget retrybudget.Options
	mutex  sync.Mutex
	states map[key]*State
}

// New returns an empty set. Each destination gets its own retry budget with the given
// options.
func New(budget retrybudget.Options) *Set {
	return &Set{budget: budget, states: make(map[key]*State)}
}

// State returns the state of a destination, and creates it at the first call.
func (s *Set) State(destination routing.Destination) *State {
	key := keyOf(destination)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, found := s.states[key]
	if !found {
		state = &State{
			budget:   retrybudget.New(s.budget),
			stats:    Stats{Name: key.name, WebService: key.webService},
			refusals: make(map[caller.Kind]uint64),
			invalid:  make(map[string]uint64),
		}
		s.states[key] = state
	}
	return state
}

// keyOf returns the key of a destination.
func keyOf(destination routing.Destination) key {
	if destination.WebService != nil {
		return key{name: destination.WebService.Config.GetName(), webService: true}
	}
	return key{name: destination.Pool.Config.GetName()}
}

// Stats returns the counters of all destinations, sorted by name.
func (s *Set) Stats() []Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]Stats, 0, len(s.states))
	for _, state := range s.states {
		all = append(all, state.snapshot())
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Name != all[j].Name {
			return all[i].Name < all[j].Name
		}
		return !all[i].WebService
	})
	return all
}

// PermitAttempt counts an attempt, or returns false if the retry budget does not permit it.
// Sent is the number of earlier attempts of the request that may have been sent; if it is 0,
// every attempt is permitted.
func (s *State) PermitAttempt(now time.Duration, sent, attempt int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if attempt == 1 {
		s.budget.AddFirstAttempt(now)
		s.stats.FirstAttempts++
		return true
	}
	if sent == 0 {
		// No earlier attempt was sent, so this one is the first that puts load on a
		// back end.
		s.stats.Retries++
		return true
	}
	if !s.budget.TryRetry(now) {
		s.stats.RetriesDenied++
		return false
	}
	s.stats.Retries++
	return true
}

// CountRefusal counts a refusal.
func (s *State) CountRefusal(kind caller.Kind) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refusals[kind]++
}

// CountCompleted counts a complete response.
func (s *State) CountCompleted() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Completed++
}

// CountTruncated counts a truncated response.
func (s *State) CountTruncated() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Truncated++
}

// CountInvalid counts a response that must not be relayed, by its kind.
func (s *State) CountInvalid(kind string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.invalid[kind]++
}

// CountAbandoned counts a request whose caller disconnected.
func (s *State) CountAbandoned() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Abandoned++
}

// snapshot returns a copy of the counters.
func (s *State) snapshot() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := s.stats
	for kind, count := range s.refusals {
		copied.Refusals = append(copied.Refusals, RefusalCount{Kind: kind, Count: count})
	}
	sort.Slice(copied.Refusals, func(i, j int) bool { return copied.Refusals[i].Kind < copied.Refusals[j].Kind })
	for kind, count := range s.invalid {
		copied.Invalid = append(copied.Invalid, InvalidCount{Kind: kind, Count: count})
	}
	sort.Slice(copied.Invalid, func(i, j int) bool { return copied.Invalid[i].Kind < copied.Invalid[j].Kind })
	return copied
}
