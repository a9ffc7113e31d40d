package timers

import "time"

// Ordered is a binary heap of values, ordered by their time and, when times are equal,
// by the order in which they were added. The zero Ordered is empty.
type Ordered[Value any] struct {
	heap  []entry[Value]
	added uint64
}

type entry[Value any] struct {
	at    time.Duration
	order uint64
	value Value
}

func (e *entry[Value]) before(other *entry[Value]) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}

// Add adds a value at a time.
func (o *Ordered[Value]) Add(at time.Duration, value Value) {
	o.added++
	o.heap = append(o.heap, entry[Value]{at: at, order: o.added, value: value})
	child := len(o.heap) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !o.heap[child].before(&o.heap[parent]) {
			return
		}
		o.heap[child], o.heap[parent] = o.heap[parent], o.heap[child]
		child = parent
	}
}

// Next returns the time of the first value, or false if there is none.
func (o *Ordered[Value]) Next() (time.Duration, bool) {
	if len(o.heap) == 0 {
		return 0, false
	}
	return o.heap[0].at, true
}

// Pop removes the first value and returns it with its time. Ordered must not be empty.
func (o *Ordered[Value]) Pop() (time.Duration, Value) {
	first := o.heap[0]
	last := len(o.heap) - 1
	o.heap[0] = o.heap[last]
	// Clears the last element, so that the slice's spare capacity does not keep its
	// value in memory.
	o.heap[last] = entry[Value]{}
	o.heap = o.heap[:last]
	o.sink()
	return first.at, first.value
}

// sink moves the root down until the heap is ordered again.
func (o *Ordered[Value]) sink() {
	parent := 0
	for {
		smallest := parent
		for child := 2*parent + 1; child <= 2*parent+2 && child < len(o.heap); child++ {
			if o.heap[child].before(&o.heap[smallest]) {
				smallest = child
			}
		}
		if smallest == parent {
			return
		}
		o.heap[parent], o.heap[smallest] = o.heap[smallest], o.heap[parent]
		parent = smallest
	}
}
