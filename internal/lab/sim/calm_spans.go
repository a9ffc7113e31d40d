package sim

import "time"

// minCalmSpan is how long a span of calm must last to count in a sum of several.
const minCalmSpan = 2 * time.Second

// calmSpan is a span in which the core was stable and no link was disturbed.
type calmSpan struct{ from, to time.Duration }

// after returns how long the span lasts from an instant on.
func (s calmSpan) after(since time.Duration) time.Duration { return max(0, s.to-max(s.from, since)) }

// calmSpans record the spans of calm of a run in the order of time.
type calmSpans struct {
	spans []calmSpan
	// open means that the last span goes on.
	open bool
}

// record takes whether it is calm at an instant.
func (c *calmSpans) record(now time.Duration, calm bool) {
	switch {
	case !calm:
		c.open = false
	case c.open:
		c.spans[len(c.spans)-1].to = now
	default:
		c.spans = append(c.spans, calmSpan{from: now, to: now})
		c.open = true
	}
}

// current returns how long the present span has lasted since an instant; 0 if it is not
// calm.
func (c *calmSpans) current(since time.Duration) time.Duration {
	if !c.open {
		return 0
	}
	return c.spans[len(c.spans)-1].after(since)
}

// total returns how long the spans of minCalmSpan or more have lasted since an instant.
func (c *calmSpans) total(since time.Duration) time.Duration {
	var sum time.Duration
	for _, span := range c.spans {
		if length := span.after(since); length >= minCalmSpan {
			sum += length
		}
	}
	return sum
}
