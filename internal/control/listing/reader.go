package listing

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// readTimeout is how long a reading may take before it counts as failed.
	readTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed reading.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// maxDoublings bounds how often the pause doubles.
	maxDoublings = 3
)

// reader decides when this node reads the platform's list. It owns whether the node is the
// reader, the reading in flight and the pause after failures.
type reader struct {
	self      member.ID
	readEvery time.Duration
	// active means that this node is the reader.
	active bool
	// inFlight means that a reading is in flight, which began at startedAt.
	inFlight  bool
	startedAt time.Duration
	// nextReadAt is when the reader begins its next reading.
	nextReadAt time.Duration
	// failures counts the consecutive failed readings.
	failures int
	// notBefore is the end of the pause after a failed reading.
	notBefore time.Duration
}

// tick fails a reading that has timed out, and reports whether another one begins now.
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

// due reports whether this node is to begin a reading: every readEvery if it is the reader,
// else if the list was not refreshed before takeOverAt. takeOverAt is called only in the
// latter case.
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

// fail handles a failed reading: this node is no longer the reader, and does not read the
// list again before a pause, which doubles with each consecutive failure up to maxBackoff.
func (r *reader) fail(now time.Duration) {
	r.inFlight = false
	r.active = false
	r.notBefore = now + min(minBackoff<<min(r.failures, maxDoublings), maxBackoff)
	r.failures++
}

// succeed makes this node the reader and returns the version of its reading: the next
// sequence number in the current term, or the first one in a new term if this node was not
// the reader.
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

// discard handles a finished reading whose outcome is not used.
func (r *reader) discard() { r.inFlight = false }

// stop makes this node no longer the reader.
func (r *reader) stop() { r.active = false }
