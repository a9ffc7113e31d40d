package enginebench

import (
	"slices"
	"time"
)

// produce adds a token to the output of a request.
func (r *replica) produce(now time.Duration, request *run) {
	if request.produced > 0 && request.produced%blockTokens == 0 {
		if !r.grow(now, request) {
			return
		}
	}
	request.produced++
	ended := request.produced >= request.arrival.out
	if !request.firstSent && (request.produced >= r.engine.Stride || ended) {
		request.firstSent = true
		request.first(now + milliseconds(r.engine.FirstEvent))
	}
	if ended {
		r.remove(request)
		request.done(now + milliseconds(r.engine.FirstEvent))
	}
}

// grow reserves the next block, and preempts others for it.
func (r *replica) grow(now time.Duration, request *run) bool {
	for !r.memory.reserve(blockTokens) {
		victim := r.victim()
		r.preempt(now, victim)
		if victim == request {
			return false
		}
	}
	request.reserved += blockTokens
	return true
}

// victim is the newest of the least urgent requests.
func (r *replica) victim() *run {
	return slices.MaxFunc(r.active, func(a, b *run) int {
		if a.priority != b.priority {
			return int(a.priority) - int(b.priority)
		}
		return a.order - b.order
	})
}

func (r *replica) preempt(now time.Duration, request *run) {
	r.sim.result.preempted++
	r.remove(request)
	request.produced = 0
	at, _ := slices.BinarySearchFunc(r.waiting, request, func(a, b *run) int {
		if a.priority != b.priority {
			return int(a.priority) - int(b.priority)
		}
		return a.order - b.order
	})
	r.waiting = slices.Insert(r.waiting, at, request)
}

// remove takes a request out of the batch.
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
