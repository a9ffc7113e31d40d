package sim

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/timers"
)

// clock is the virtual clock of a run, and the queue of its events. Time passes
// only from one event to the next.
type clock struct {
	now    time.Duration
	events timers.Ordered[func()]
}

// at schedules an action for an instant, or for now if that has passed.
func (c *clock) at(instant time.Duration, run func()) { c.events.Add(max(instant, c.now), run) }

// after schedules an action for later.
func (c *clock) after(delay time.Duration, run func()) { c.events.Add(c.now+delay, run) }

// poll runs a check now, and again after each interval, until it reports that it is
// done.
func (c *clock) poll(interval time.Duration, check func() (done bool)) {
	if !check() {
		c.after(interval, func() { c.poll(interval, check) })
	}
}

// runUntil runs the events in order up to an instant.
func (c *clock) runUntil(end time.Duration) {
	for at, more := c.events.Next(); more && at <= end; at, more = c.events.Next() {
		_, run := c.events.Pop()
		c.now = at
		run()
	}
	c.now = end
}
