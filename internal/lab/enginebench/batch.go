package enginebench

import (
	"slices"
	"time"
)

// decodeToken adds a token to the output of a request, unless it is preempted for lack of
// memory.
func (r *replica) decodeToken(now time.Duration, request *replicaRequest) {
	if request.produced > 0 && request.produced%blockTokens == 0 {
		if !r.reserveNextBlock(request) {
			return
		}
	}
	request.produced++
	ended := request.produced >= request.arrival.outputTokens
	if !request.firstEventSent && (request.produced >= r.engine.Stride || ended) {
		request.firstEventSent = true
		request.onFirstEvent(now + fromMilliseconds(r.engine.FirstEvent))
	}
	if ended {
		r.remove(request)
		request.onDone(now + fromMilliseconds(r.engine.FirstEvent))
	}
}

// reserveNextBlock reserves the next block of a request, and preempts others for it. It returns
// false when the request itself was preempted.
func (r *replica) reserveNextBlock(request *replicaRequest) bool {
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
func (r *replica) victim() *replicaRequest {
	return slices.MaxFunc(r.active, compareUrgency)
}

// preempt returns a request to the queue, without its output.
func (r *replica) preempt(request *replicaRequest) {
	r.sim.result.preempted++
	r.remove(request)
	request.produced = 0
	r.insertWaiting(request)
}

// remove removes a request from the batch.
func (r *replica) remove(request *replicaRequest) {
	request.running = false
	r.active = slices.DeleteFunc(r.active, func(other *replicaRequest) bool { return other == request })
	r.memory.release(request.reserved)
	request.reserved = 0
	for _, id := range request.pinned {
		r.memory.unpin(id)
	}
	request.pinned = nil
}
