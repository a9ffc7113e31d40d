// Package timers is the queue of what a simulation in virtual time has yet to
// do. It is not safe for concurrent use.
package timers

import (
	"container/heap"
	"time"
)

// Queue holds actions by their time, and by the order in which they were added
// when times are equal. The zero Queue is empty.
type Queue struct {
	waiting timerHeap
	added   uint64
}

// Add has an action run at a time of the simulation.
func (q *Queue) Add(at time.Duration, action func(now time.Duration)) {
	q.added++
	heap.Push(&q.waiting, timer{at: at, order: q.added, action: action})
}

// Next returns the time of the first action; it is false if there is none.
func (q *Queue) Next() (time.Duration, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	return q.waiting[0].at, true
}

// RunDue runs everything that is due, and what becomes due by that.
func (q *Queue) RunDue(now time.Duration) {
	for len(q.waiting) > 0 && q.waiting[0].at <= now {
		due := heap.Pop(&q.waiting).(timer)
		due.action(now)
	}
}

// Run runs everything up to a time, each action at its own.
func (q *Queue) Run(until time.Duration) {
	for at, found := q.Next(); found && at <= until; at, found = q.Next() {
		q.RunDue(at)
	}
}

// timer is an action at a time of the simulation.
type timer struct {
	at     time.Duration
	order  uint64
	action func(now time.Duration)
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(value any) { *h = append(*h, value.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	*h = (*h)[:last]
	return value
}
