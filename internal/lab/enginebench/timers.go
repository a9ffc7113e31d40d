package enginebench

import (
	"container/heap"
	"time"
)

// timer is something to do at a time of the simulation.
type timer struct {
	at     time.Duration
	order  uint64
	action func(now time.Duration)
}

// timers are ordered by time, and by their making when times are equal.
type timers struct {
	waiting timerHeap
	order   uint64
}

func (t *timers) add(at time.Duration, action func(now time.Duration)) {
	t.order++
	heap.Push(&t.waiting, timer{at: at, order: t.order, action: action})
}

// run does everything up to a time.
func (t *timers) run(until time.Duration) {
	for len(t.waiting) > 0 && t.waiting[0].at <= until {
		due := heap.Pop(&t.waiting).(timer)
		due.action(due.at)
	}
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
