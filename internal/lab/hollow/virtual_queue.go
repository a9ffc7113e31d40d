package hollow

import (
	"container/heap"
	"time"
)

// action is something that happens at an instant of virtual time.
type action struct {
	at    time.Duration
	order uint64
	run   func(now time.Duration)
}

// actionQueue holds what is to happen, the earliest first; what falls on one
// instant happens in the order in which it was added.
type actionQueue struct {
	actions []action
	added   uint64
}

func (q *actionQueue) add(at time.Duration, run func(now time.Duration)) {
	q.added++
	heap.Push(q, action{at: at, order: q.added, run: run})
}

func (q *actionQueue) popFirst() action { return heap.Pop(q).(action) }

// Len implements heap.Interface.
func (q *actionQueue) Len() int { return len(q.actions) }

// Less implements heap.Interface.
func (q *actionQueue) Less(i, j int) bool {
	if q.actions[i].at != q.actions[j].at {
		return q.actions[i].at < q.actions[j].at
	}
	return q.actions[i].order < q.actions[j].order
}

// Swap implements heap.Interface.
func (q *actionQueue) Swap(i, j int) { q.actions[i], q.actions[j] = q.actions[j], q.actions[i] }

// Push implements heap.Interface.
func (q *actionQueue) Push(added any) { q.actions = append(q.actions, added.(action)) }

// Pop implements heap.Interface.
func (q *actionQueue) Pop() any {
	last := len(q.actions) - 1
	taken := q.actions[last]
	q.actions[last] = action{}
	q.actions = q.actions[:last]
	return taken
}
