package dataplane

import (
	"cmp"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/retrybudget"
)

// RefusalCount counts the refusals of one kind.
type RefusalCount struct {
	Kind  caller.Kind
	Count uint64
}

// DestinationStats counts the requests of a pool or a web service on this node by their
// outcomes.
type DestinationStats struct {
	Name string
	// WebService distinguishes a web service from a pool.
	WebService bool
	// FirstAttempts counts requests for which a back end was chosen.
	FirstAttempts uint64
	// Retries counts their further attempts, also those after one that could not be sent.
	Retries uint64
	// RetriesDenied counts retries that the retry budget did not permit.
	RetriesDenied uint64
	// Completed counts complete responses of back ends.
	Completed uint64
	// Truncated counts responses that were truncated after a part had been relayed.
	Truncated uint64
	// Abandoned counts requests whose caller disconnected.
	Abandoned uint64
	// Refusals are sorted by kind.
	Refusals []RefusalCount
	// Ejected and Suspected count the back ends that get next to no requests now: those
	// that failed a fraction of them, and those that could not be reached.
	Ejected, Suspected int
	// Ejections counts how often a back end was ejected.
	Ejections uint64
	// Outcomes are sorted by name.
	Outcomes []OutcomeCount
}

// OutcomeCount counts the attempts of one outcome, for the health of back ends.
type OutcomeCount struct {
	Name  string
	Count uint64
}

// addHealth fills in the statistics of the destination's back ends.
func (s *DestinationStats) addHealth(stats outlier.PoolStats) {
	s.Ejected, s.Suspected, s.Ejections = stats.Ejected, stats.Suspected, stats.Ejections
	for outcome, count := range stats.Outcomes {
		s.Outcomes = append(s.Outcomes, OutcomeCount{Name: outcome.String(), Count: count})
	}
	slices.SortFunc(s.Outcomes, func(a, b OutcomeCount) int { return cmp.Compare(a.Name, b.Name) })
}

// destinationName distinguishes pools and web services of the same name.
type destinationName struct {
	name       string
	webService bool
}

// destinationState is the state of a destination: its counters and its retry budget.
type destinationState struct {
	budget   *retrybudget.Budget
	mutex    sync.Mutex
	stats    DestinationStats
	refusals map[caller.Kind]uint64
}

// destinations holds the state of every destination that was ever routed to. Its size is
// bounded by the names that the configuration has had.
type destinations struct {
	budget retrybudget.Options
	mutex  sync.Mutex
	states map[destinationName]*destinationState
}

// newDestinations returns an empty set, in which each destination gets its own retry
// budget.
func newDestinations(budget retrybudget.Options) *destinations {
	return &destinations{budget: budget, states: make(map[destinationName]*destinationState)}
}

// state returns the state of a destination.
func (d *destinations) state(destination routing.Destination) *destinationState {
	name := destinationNameOf(destination)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	state, found := d.states[name]
	if !found {
		state = &destinationState{
			budget:   retrybudget.New(d.budget),
			stats:    DestinationStats{Name: name.name, WebService: name.webService},
			refusals: make(map[caller.Kind]uint64),
		}
		d.states[name] = state
	}
	return state
}

// destinationNameOf returns the name of a destination.
func destinationNameOf(destination routing.Destination) destinationName {
	if destination.WebService != nil {
		return destinationName{name: destination.WebService.Config.GetName(), webService: true}
	}
	return destinationName{name: destination.Pool.Config.GetName()}
}

// snapshot returns the counters of all destinations, sorted by name.
func (d *destinations) snapshot() []DestinationStats {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	all := make([]DestinationStats, 0, len(d.states))
	for _, state := range d.states {
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

// permitAttempt counts an attempt, or returns false if the retry budget does not permit it.
// Sent is how many earlier attempts of the request may have left this node; until one has,
// every attempt is permitted.
func (s *destinationState) permitAttempt(now time.Duration, sent, attempt int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if attempt == 1 {
		s.budget.First(now)
		s.stats.FirstAttempts++
		return true
	}
	if sent == 0 {
		// Nothing of the earlier attempts left this node, so this is the first that a
		// back end gets.
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

// countRefusal counts a refusal.
func (s *destinationState) countRefusal(kind caller.Kind) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refusals[kind]++
}

// countCompleted counts a complete response.
func (s *destinationState) countCompleted() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Completed++
}

// countTruncated counts a truncated response.
func (s *destinationState) countTruncated() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Truncated++
}

// countAbandoned counts a request whose caller disconnected.
func (s *destinationState) countAbandoned() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Abandoned++
}

// snapshot returns a copy of the counters.
func (s *destinationState) snapshot() DestinationStats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := s.stats
	for kind, count := range s.refusals {
		copied.Refusals = append(copied.Refusals, RefusalCount{Kind: kind, Count: count})
	}
	sort.Slice(copied.Refusals, func(i, j int) bool { return copied.Refusals[i].Kind < copied.Refusals[j].Kind })
	return copied
}
