package destinations

import (
	"cmp"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
)

// RefusalCount counts the refusals of one kind.
type RefusalCount struct {
	Kind  caller.Kind
	Count uint64
}

// InvalidCount counts the invalid responses of one kind.
type InvalidCount struct {
	Kind  string
	Count uint64
}

// Stats counts the requests of a pool or a web service on this node by their
// outcomes.
type Stats struct {
	Name string
	// WebService distinguishes a web service from a pool.
	WebService bool
	// FirstAttempts counts the requests for which a back end was selected.
	FirstAttempts uint64
	// Retries counts the further attempts of these requests, including those after an
	// attempt that could not be sent.
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
	// Invalid are the responses that violated the protocol of their back end, sorted by kind.
	Invalid []InvalidCount
	// Ejected and Suspected count the back ends that currently get almost no requests:
	// Ejected those that failed too large a fraction of their requests, and Suspected those
	// that could not be reached.
	Ejected, Suspected int
	// Ejections counts how often a back end was ejected.
	Ejections uint64
	// Outcomes are sorted by name.
	Outcomes []OutcomeCount
}

// OutcomeCount counts the attempts with one outcome, as the health tracker classifies them.
type OutcomeCount struct {
	Name  string
	Count uint64
}

// AddHealth fills in the statistics of the destination's back ends.
func (s *Stats) AddHealth(stats outlier.PoolStats) {
	s.Ejected, s.Suspected, s.Ejections = stats.Ejected, stats.Suspected, stats.Ejections
	for outcome, count := range stats.Outcomes {
		s.Outcomes = append(s.Outcomes, OutcomeCount{Name: outcome.String(), Count: count})
	}
	slices.SortFunc(s.Outcomes, func(a, b OutcomeCount) int { return cmp.Compare(a.Name, b.Name) })
}
