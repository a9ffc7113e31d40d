package outlier

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// backoffResetFactor is how many times the last ejection a replica must have been back
// before its next ejection counts as its first again.
const backoffResetFactor = 8

// ejection is whether and how a replica is out of the choice.
type ejection struct {
	ejected bool
	// until is when a probe is due.
	until  time.Duration
	length time.Duration
	// successes counts the probes in a row that went well.
	successes int
	// probing tells that a probe is under way, and until when it is waited for.
	probing    bool
	probeUntil time.Duration
	// readmittedAt is when the replica came back, if it was ever ejected.
	readmittedAt time.Duration
}

// start takes the replica out. One that comes and goes stays out longer each
// time.
func (e *ejection) start(now time.Duration, address string, options *Options) {
	length := options.Ejection
	if e.length > 0 && now-e.readmittedAt < backoffResetFactor*e.length {
		length = min(2*e.length, options.MaxEjection)
	}
	*e = ejection{ejected: true, readmittedAt: e.readmittedAt}
	e.scheduleProbe(now, length, address, options)
}

// scheduleProbe puts the next probe off. Nodes put it off differently, so that the first
// one's probe tells the others.
func (e *ejection) scheduleProbe(now, length time.Duration, address string, options *Options) {
	const spread = 2
	e.length = length
	e.until = now + length + time.Duration(jitter(options.Node, address)*float64(length)/spread)
}

// jitter is a number from 0 to 1 that each node draws for each replica.
func jitter(node, address string) float64 {
	const steps = 1 << 20
	return float64(xxhash.Sum64String(node+"\x00"+address)%steps) / steps
}

// recordProbe takes in how a request to the ejected replica went, and returns whether
// the replica is back.
func (e *ejection) recordProbe(now time.Duration, address string, failed bool, options *Options) (readmitted bool) {
	if now < e.until {
		return false // it was sent before the ejection
	}
	e.probing = false
	if failed {
		e.successes = 0
		e.scheduleProbe(now, min(2*e.length, options.MaxEjection), address, options)
		return false
	}
	e.successes++
	if e.successes < options.Probes {
		return false
	}
	*e = ejection{length: e.length, readmittedAt: now}
	return true
}

// admitsProbe tells whether a request may go there to probe.
func (e *ejection) admitsProbe(now time.Duration) bool {
	return now >= e.until && (!e.probing || now >= e.probeUntil)
}
