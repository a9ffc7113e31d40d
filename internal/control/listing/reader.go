package listing

import "time"

const (
	// readTimeout is how long a reading may take.
	readTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed reading.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// maxDoublings bounds how often the pause doubles.
	maxDoublings = 3
)

// readerState is this node's own part in reading the platform's list.
type readerState struct {
	// active means that this node is the reader.
	active bool
	// inFlight means that a reading is under way, since startedAt.
	inFlight  bool
	startedAt time.Duration
	next      time.Duration
	failures  int
	// notBefore is until when a failed reading keeps this node from another.
	notBefore time.Duration
}

// due reports whether this node is to begin a reading now: every so often as the reader,
// else when the list was not refreshed until takeOverAt, which is asked for only then.
func (r *readerState) due(now time.Duration, takeOverAt func() time.Duration) bool {
	switch {
	case r.inFlight || now < r.notBefore:
		return false
	case r.active:
		return now >= r.next
	default:
		return now >= takeOverAt()
	}
}

// begin begins a reading.
func (r *readerState) begin(now, readEvery time.Duration) {
	r.inFlight = true
	r.startedAt = now
	r.next = now + readEvery
}

// timedOut reports whether the reading under way has taken too long.
func (r *readerState) timedOut(now time.Duration) bool {
	return r.inFlight && now-r.startedAt >= readTimeout
}

// fail leaves the reading to others for a while, longer with each failure.
func (r *readerState) fail(now time.Duration) {
	r.inFlight = false
	r.active = false
	r.notBefore = now + min(minBackoff<<min(r.failures, maxDoublings), maxBackoff)
	r.failures++
}

// succeed makes this node the reader.
func (r *readerState) succeed() {
	r.inFlight = false
	r.failures = 0
	r.notBefore = 0
	r.active = true
}

// discard ends a reading whose outcome is not used.
func (r *readerState) discard() { r.inFlight = false }

// stop leaves the reading to another node.
func (r *readerState) stop() { r.active = false }
