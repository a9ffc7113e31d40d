package kvrouter

import (
	"math"
	"time"
)

const (
	// leastObserved is the smallest prompt, in tokens to be read, that tells of a
	// replica's speed rather than of the fixed time of a request.
	leastObserved = 1024
	// surprise is the least relative error of an expected time that is worth
	// telling the other routers.
	surprise = 0.05
	// undisturbedWeight is the weight of an observation of a replica that had
	// nothing else to do: the time tells of the replica alone.
	undisturbedWeight = 4
	// maxObservations bounds the observations that wait to be told.
	maxObservations = 64
)

// Observation is the time that a replica which had nothing else to do took to
// the first event of a prompt. A router sees few of each replica; routers that
// tell each other know the replicas' speeds after the first requests.
type Observation struct {
	Address string
	Model   string
	// Tokens are those of the prompt that the replica read.
	Tokens float64
	// Milliseconds is the time from the dispatch to the first event.
	Milliseconds float64
}

// ObserveElsewhere takes in what another router observed.
func (r *Router) ObserveElsewhere(now time.Duration, observed Observation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advance(now)
	state, known := r.replicas[observed.Address]
	pace := r.paces[observed.Model]
	if known && pace != nil {
		state.learnSpeed(now, pace, observed)
	}
}

// OwnObservations returns this router's observations since the last call that
// are worth telling the others.
func (r *Router) OwnObservations() []Observation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	observations := r.observations
	r.observations = nil
	return observations
}

// learnSpeed learns from an undisturbed observation, and returns its relative
// error against what was expected.
func (s *replicaState) learnSpeed(now time.Duration, pace *pace, observed Observation) (relativeError float64) {
	usual := max(pace.expected(observed.Tokens), 1)
	ratio := observed.Milliseconds / usual
	relativeError = math.Abs(ratio/s.slowness.factor() - 1)
	pace.learn(observed.Tokens, observed.Milliseconds)
	s.slowness.observe(now, ratio, undisturbedWeight)
	return relativeError
}

// undisturbed tells whether the replica had nothing else to do from the
// dispatch to the first event, as far as this router knows.
func (r *Reservation) undisturbed() bool {
	return !r.pulls && r.alone && r.state.joinedAt <= r.startedAt && r.computeTokens >= leastObserved
}

// learnUndisturbed learns from the time to the first event of a replica that had
// nothing else to do. The router's lock is held.
func (r *Reservation) learnUndisturbed(now time.Duration) {
	observed := Observation{
		Address:      r.state.address,
		Model:        r.model,
		Tokens:       r.computeTokens,
		Milliseconds: max(milliseconds(now-r.startedAt), 1),
	}
	relativeError := r.state.learnSpeed(now, r.pace, observed)
	if relativeError > surprise && len(r.router.observations) < maxObservations {
		r.router.observations = append(r.router.observations, observed)
	}
}
