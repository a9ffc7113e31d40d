package kvrouter

import "time"

// ActiveRequests returns how many requests the router assumes that a replica
// works on: its own, and those that other routers told or the replica reported,
// whichever is more.
func (r *Router) ActiveRequests(now time.Duration, address string) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, present := r.replicas[address]
	if !present {
		return 0
	}
	return r.activeLoad(now, state).requests
}
