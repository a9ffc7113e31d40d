package kvrouter

import "time"

// costModel estimates the cost of a request on each candidate and chooses a candidate.
// timeModel handles requests with an engine profile, blockModel all others. The router's lock
// guards the cost models; callers of their methods hold it.
type costModel interface {
	// choose returns the candidate with the lowest cost, or a sampled one at a temperature
	// above 0. It returns a *NoReplicaError if no candidate can take the request. The result
	// is valid until the scratch memory is reset.
	choose(s *scratch, req *Request, candidates []Candidate) (*scoredCandidate, error)
	// reserve adds the load of the request to the chosen replica. It returns the wait that
	// must be done before the request is sent, or nil.
	reserve(reservation *Reservation, req *Request, chosen *scoredCandidate) *PrefixWait
	// endPrefill updates the speed estimates when the first token has arrived, and ends the
	// prefill.
	endPrefill(reservation *Reservation, now time.Duration)
	// abandonPrefill ends the prefill of an attempt that ended without a first token.
	abandonPrefill(reservation *Reservation, now time.Duration)
}

// costModelOf returns the cost model for a request.
func (r *Router) costModelOf(req *Request) costModel {
	if req.Engine == nil {
		return &r.blockModel
	}
	return &r.timeModel
}
