package checker

import (
	"math"
	"time"
)

// forever is the end of a span that is still open.
const forever = time.Duration(math.MaxInt64)

// contains reports whether a moment lies in the span, which excludes To.
func (span Span) contains(at time.Duration) bool {
	return at >= span.From && at < span.To
}

// spansByName holds the spans in which a rule applies, by the name of the replica,
// zone or tenant.
type spansByName map[string][]Span

// open begins a span that lasts until it is closed.
func (spans spansByName) open(name string, from time.Duration) {
	spans[name] = append(spans[name], Span{From: from, To: forever})
}

// close ends all spans of a name that are open at a moment, or would begin later.
func (spans spansByName) close(name string, at time.Duration) {
	for position := range spans[name] {
		span := &spans[name][position]
		span.To = min(span.To, at)
	}
}

// contains reports whether a moment lies in a span of a name.
func (spans spansByName) contains(name string, at time.Duration) bool {
	for _, span := range spans[name] {
		if span.contains(at) {
			return true
		}
	}
	return false
}
