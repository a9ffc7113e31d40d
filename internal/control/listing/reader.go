package listing

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// readTimeout is how long a reading may take.
	readTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed reading.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// maxDoublings bounds how often the pause doubles.
	maxDoublings = 3
)

// reader is this node's own part in reading the platform's list. It owns whether the node
// is the reader, the reading under way and the pause after failures.
type reader struct {
	self      member.ID
	readEvery time.Duration
	// active means that this node is the reader.
	active bool
	// inFlight means that a reading is under way, since startedAt.
	inFlight   bool
	startedAt  time.Duration
	nextReadAt time.Duration
	failures   int
	// notBefore is until when a failed reading keeps this node from another.
	notBefore time.Duration
}

// tick ends a reading that takes too long, and reports whether another one begins now.
func (r *reader) tick(now time.Duration, takeOverAt func() time.Duration) bool {
	if r.inFlight && now-r.startedAt >= readTimeout {
		r.fail(now)
	}
	if !r.due(now, takeOverAt) {
		return false
	}
	r.inFlight = true
	r.startedAt = now
	r.nextReadAt = now + r.readEvery
	return true
}

// due reports whether this node is to begin a reading: every so often as the reader, else
// when the list was not refreshed until takeOverAt, which is asked for only then.
func (r *reader) due(now time.Duration, takeOverAt func() time.Duration) bool {
	switch {
	case r.inFlight || now < r.notBefore:
		return false
	case r.active:
		return now >= r.nextReadAt
	default:
		return now >= takeOverAt()
	}
}

// fail leaves the reading to others for a while, longer with each failure.
func (r *reader) fail(now time.Duration) {
	r.inFlight = false
	r.active = false
	r.notBefore = now + min(minBackoff<<min(r.failures, maxDoublings), maxBackoff)
	r.failures++
}

// succeed makes this node the reader, and returns the version of its reading: the next one
// in its term, or the first one in a term of its own if another node read last.
func (r *reader) succeed(last Version) Version {
	version := Version{Term: last.Term, Reader: r.self, Sequence: last.Sequence + 1}
	if !r.active || last.Reader != r.self {
		version = Version{Term: last.Term + 1, Reader: r.self, Sequence: 1}
	}
	r.active = true
	r.inFlight = false
	r.failures = 0
	r.notBefore = 0
	return version
}

// discard ends a reading whose outcome is not used.
func (r *reader) discard() { r.inFlight = false }

// stop leaves the reading to another node.
func (r *reader) stop() { r.active = false }
