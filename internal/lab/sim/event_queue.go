package sim

import "time"

// event is something that happens at a virtual instant.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// before orders events by time, and those of one instant by their planning.
func (e event) before(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// eventQueue is a binary heap of the events to come.
type eventQueue struct {
	heap     []event
	sequence uint64
}

// add plans an event.
func (q *eventQueue) add(at time.Duration, run func()) {
	q.sequence++
	q.heap = append(q.heap, event{at: at, sequence: q.sequence, run: run})
	child := len(q.heap) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !q.heap[child].before(q.heap[parent]) {
			return
		}
		q.heap[child], q.heap[parent] = q.heap[parent], q.heap[child]
		child = parent
	}
}

// next takes the earliest event out; false when none is left.
func (q *eventQueue) next() (event, bool) {
	if len(q.heap) == 0 {
		return event{}, false
	}
	first := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	q.sink()
	return first, true
}

// sink moves the root down to its place.
func (q *eventQueue) sink() {
	parent := 0
	for {
		smallest := parent
		for child := 2*parent + 1; child <= 2*parent+2 && child < len(q.heap); child++ {
			if q.heap[child].before(q.heap[smallest]) {
				smallest = child
			}
		}
		if smallest == parent {
			return
		}
		q.heap[parent], q.heap[smallest] = q.heap[smallest], q.heap[parent]
		parent = smallest
	}
}
