package outlier

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// backoffResetFactor times the length of the last ejection is the time since the
// readmission from which on the next ejection counts as the first again.
const backoffResetFactor = 8

// ejection is the state of a replica's ejection.
type ejection struct {
	ejected bool
	// until is when a probe is due.
	until time.Duration
	// length is the time to the probe before jitter is added. A failed probe doubles
	// it, up to MaxEjection.
	length time.Duration
	// successes counts the probes in a row that have succeeded.
	successes int
	// probing is set while a probe is in flight. From probeUntil on, another request may be
	// a probe nevertheless.
	probing    bool
	probeUntil time.Duration
	// readmittedAt is when the replica was readmitted, if it was ever ejected.
	readmittedAt time.Duration
}

// start ejects the replica. A replica that is ejected repeatedly stays ejected longer each
// time.
func (e *ejection) start(now time.Duration, address string, options *Options) {
	length := options.Ejection
	if e.length > 0 && now-e.readmittedAt < backoffResetFactor*e.length {
		length = min(2*e.length, options.MaxEjection)
	}
	*e = ejection{ejected: true, readmittedAt: e.readmittedAt}
	e.scheduleProbe(now, length, address, options)
}

// scheduleProbe sets the time of the next probe. The time differs between nodes, so that
// the others receive the outcome of the first node's probe before they send their own.
func (e *ejection) scheduleProbe(now, length time.Duration, address string, options *Options) {
	// The jitter delays the probe by up to half of the length.
	const spread = 2
	e.length = length
	e.until = now + length + time.Duration(jitter(options.Node, address)*float64(length)/spread)
}

// jitter returns a number from 0 to 1 that depends only on the node and the replica.
func jitter(node, address string) float64 {
	const steps = 1 << 20
	return float64(xxhash.Sum64String(node+"\x00"+address)%steps) / steps
}

// recordProbe records the outcome of a request to the ejected replica, and returns
// whether the replica is readmitted.
func (e *ejection) recordProbe(now time.Duration, address string, failed bool, options *Options) (readmitted bool) {
	if now < e.until {
		// No probe was due yet: the request was sent before the ejection, or because no
		// healthier replica could take it.
		return false
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

// admitsProbe reports whether a request may be a probe now.
func (e *ejection) admitsProbe(now time.Duration) bool {
	return now >= e.until && (!e.probing || now >= e.probeUntil)
}
