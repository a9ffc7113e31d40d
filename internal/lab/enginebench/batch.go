package enginebench

import (
	"slices"
	"time"
)

// produce adds a token to the output of a request, unless it is preempted for lack of
// memory.
func (r *replica) produce(now time.Duration, request *run) {
	if request.produced > 0 && request.produced%blockTokens == 0 {
		if !r.grow(request) {
			return
		}
	}
	request.produced++
	ended := request.produced >= request.arrival.out
	if !request.firstSent && (request.produced >= r.engine.Stride || ended) {
		request.firstSent = true
		request.first(now + fromMilliseconds(r.engine.FirstEvent))
	}
	if ended {
		r.remove(request)
		request.done(now + fromMilliseconds(r.engine.FirstEvent))
	}
}

// grow reserves the next block of a request, and preempts others for it. It returns
// false when the request itself was preempted.
func (r *replica) grow(request *run) bool {
	for !r.memory.reserve(blockTokens) {
		victim := r.victim()
		r.preempt(victim)
		if victim == request {
			return false
		}
	}
	request.reserved += blockTokens
	return true
}

// victim returns the request to preempt: the newest of the least urgent ones.
func (r *replica) victim() *run {
	return slices.MaxFunc(r.active, compareUrgency)
}

// preempt returns a request to the queue, without its output.
func (r *replica) preempt(request *run) {
	r.sim.result.preempted++
	r.remove(request)
	request.produced = 0
	r.queue(request)
}

// remove removes a request from the batch.
func (r *replica) remove(request *run) {
	request.running = false
	r.active = slices.DeleteFunc(r.active, func(other *run) bool { return other == request })
	r.memory.release(request.reserved)
	request.reserved = 0
	for _, id := range request.pinned {
		r.memory.unpin(id)
	}
	request.pinned = nil
}
