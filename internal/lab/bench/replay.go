package bench

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
)

// Outcome is the outcome of one request of a replayed trace. All get a response in the
// end, because those that were deferred or refused are routed again.
type Outcome struct {
	// FirstToken and Finished count from the request's arrival.
	FirstToken   time.Duration
	Finished     time.Duration
	ReusedTokens uint64
	// Refused and Deferred count how often a replica refused the request, and how often
	// the policy deferred it.
	Refused  int
	Deferred int
}

// Replay replays a given trace under one policy and returns an outcome for each
// request, in the order of the trace. The settings' mix tells which tenants are
// walled; its stream is not used.
func Replay(settings Settings, name PolicyName, trace []workload.Request) ([]Outcome, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	if !slices.Contains(Policies(), name) {
		return nil, errors.Errorf("policy %q is unknown; use one of %v", name, Policies())
	}
	simulation, err := newSimulation(name, settings)
	if err != nil {
		return nil, err
	}
	outcomes := make([]Outcome, len(trace))
	simulation.outcomes = make(map[*workload.Request]*Outcome, len(trace))
	for position := range trace {
		simulation.outcomes[&trace[position]] = &outcomes[position]
	}
	simulation.run(trace)
	return outcomes, nil
}

// updateOutcome updates the outcome of a request, if Replay asked for it.
func (s *simulation) updateOutcome(request *workload.Request, update func(*Outcome)) {
	if outcome := s.outcomes[request]; outcome != nil {
		update(outcome)
	}
}
