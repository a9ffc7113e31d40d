package kvrouter

import "time"

// costModel estimates what a request costs on each candidate and chooses one. Requests
// with an engine profile are left to timeModel, all others to blockModel; nothing else
// in the package depends on which. The router's lock guards the models, and the caller
// of their methods holds it.
type costModel interface {
	// choose returns the candidate to take, or a *NoReplicaError. The result is valid
	// until the scratch memory is reset.
	choose(s *scratch, req *Request, candidates []Candidate) (*scoredCandidate, error)
	// reserve adds the load of the request to the chosen replica. It returns what to
	// wait for before the request is sent, or nil.
	reserve(reservation *Reservation, req *Request, chosen *scoredCandidate) *PrefixWait
	// endPrefill learns from the time to the first token, which has come now.
	endPrefill(reservation *Reservation, now time.Duration)
	// abandonPrefill ends the prefill of an attempt that ended without a first token.
	abandonPrefill(reservation *Reservation, now time.Duration)
}

// costModelOf returns the model that a request is left to.
func (r *Router) costModelOf(req *Request) costModel {
	if req.Engine == nil {
		return &r.blockModel
	}
	return &r.timeModel
}
