// Package timers provides queues of actions and values ordered by virtual time, for
// simulations. They are not safe for concurrent use.
package timers

import "time"

// Queue is a queue of actions, ordered by their time and, when times are equal, by the
// order in which they were added. The zero Queue is empty.
type Queue struct {
	waiting Ordered[func(now time.Duration)]
}

// Add schedules an action at a time of the simulation.
func (q *Queue) Add(at time.Duration, action func(now time.Duration)) { q.waiting.Add(at, action) }

// Next returns the time of the first action, or false if there is none.
func (q *Queue) Next() (time.Duration, bool) { return q.waiting.Next() }

// RunNext removes the first action and runs it with its own time. The queue must not be
// empty.
func (q *Queue) RunNext() {
	at, action := q.waiting.Pop()
	action(at)
}

// RunDue runs all actions that are due at now, including those that they add. Each is
// given now as its time.
func (q *Queue) RunDue(now time.Duration) {
	for at, found := q.Next(); found && at <= now; at, found = q.Next() {
		_, action := q.waiting.Pop()
		action(now)
	}
}

// Run runs all actions up to and including a time, each with its own time.
func (q *Queue) Run(until time.Duration) {
	for at, found := q.Next(); found && at <= until; at, found = q.Next() {
		q.RunNext()
	}
}
