package sim

import "time"

// clock is the virtual clock of a run, and the queue of its events. Time passes
// only from one event to the next.
type clock struct {
	now    time.Duration
	events eventQueue
}

// at schedules an action for an instant, or for now if that has passed.
func (c *clock) at(instant time.Duration, run func()) { c.events.add(max(instant, c.now), run) }

// after schedules an action for later.
func (c *clock) after(delay time.Duration, run func()) { c.events.add(c.now+delay, run) }

// runUntil runs the events in order up to an instant.
func (c *clock) runUntil(end time.Duration) {
	for {
		next, more := c.events.next()
		if !more || next.at > end {
			c.now = end
			return
		}
		c.now = next.at
		next.run()
	}
}
