// Package timers is the queue of what a simulation in virtual time has yet to
// do. It is not safe for concurrent use.
package timers

import "time"

// Queue holds actions by their time, and by the order in which they were added
// when times are equal. The zero Queue is empty.
type Queue struct {
	waiting Ordered[func(now time.Duration)]
}

// Add has an action run at a time of the simulation.
func (q *Queue) Add(at time.Duration, action func(now time.Duration)) { q.waiting.Add(at, action) }

// Next returns the time of the first action; it is false if there is none.
func (q *Queue) Next() (time.Duration, bool) { return q.waiting.Next() }

// RunNext runs the first action at its own time. There must be one.
func (q *Queue) RunNext() {
	at, action := q.waiting.Pop()
	action(at)
}

// RunDue runs everything that is due, and what becomes due by that.
func (q *Queue) RunDue(now time.Duration) {
	for at, found := q.Next(); found && at <= now; at, found = q.Next() {
		_, action := q.waiting.Pop()
		action(now)
	}
}

// Run runs everything up to a time, each action at its own.
func (q *Queue) Run(until time.Duration) {
	for at, found := q.Next(); found && at <= until; at, found = q.Next() {
		q.RunNext()
	}
}
