package outlier

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// steadyAfter is how many times the last ejection a replica must have been back
// before its next ejection counts as its first again.
const steadyAfter = 8

// ejection is whether and how a replica is out of the choice.
type ejection struct {
	ejected bool
	// until is when a probe is due.
	until  time.Duration
	length time.Duration
	// passed counts the probes in a row that went well.
	passed int
	// probing tells that a probe is under way, and until when it is waited for.
	probing    bool
	probeUntil time.Duration
	// readmitted is when the replica came back, if it was ever ejected.
	readmitted time.Duration
}

// begin takes the replica out. One that comes and goes stays out longer each
// time.
func (e *ejection) begin(now time.Duration, address string, options *Options) {
	length := options.Ejection
	if e.length > 0 && now-e.readmitted < steadyAfter*e.length {
		length = min(2*e.length, options.MostEjection)
	}
	*e = ejection{ejected: true, readmitted: e.readmitted}
	e.wait(now, length, address, options)
}

// wait puts the next probe off. Nodes put it off differently, so that the first
// one's probe tells the others.
func (e *ejection) wait(now, length time.Duration, address string, options *Options) {
	const spread = 2
	e.length = length
	e.until = now + length + time.Duration(part(options.Node, address)*float64(length)/spread)
}

// part is a number from 0 to 1 that each node draws for each replica.
func part(node, address string) float64 {
	const steps = 1 << 20
	return float64(xxhash.Sum64String(node+"\x00"+address)%steps) / steps
}

// probed takes in how a request to the ejected replica went, and returns whether
// the replica is back.
func (e *ejection) probed(now time.Duration, address string, failed bool, options *Options) (back bool) {
	if now < e.until {
		return false // it was sent before the ejection
	}
	e.probing = false
	if failed {
		e.passed = 0
		e.wait(now, min(2*e.length, options.MostEjection), address, options)
		return false
	}
	e.passed++
	if e.passed < options.Probes {
		return false
	}
	*e = ejection{length: e.length, readmitted: now}
	return true
}

// admitsProbe tells whether a request may go there to probe.
func (e *ejection) admitsProbe(now time.Duration) bool {
	return now >= e.until && (!e.probing || now >= e.probeUntil)
}
