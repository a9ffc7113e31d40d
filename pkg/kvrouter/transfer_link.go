package kvrouter

import (
	"math"
	"time"
)

const (
	// minLateMilliseconds is the least excess over the expected time of a pull that
	// makes it late.
	minLateMilliseconds = 150.0
	// lateTransfersForSlowdown is how many transfers in a row have to be late until
	// their link counts as slow.
	lateTransfersForSlowdown = 2
	// slowdownHalfLife is the time in which the slowdown of a link halves.
	slowdownHalfLife = 4 * time.Second
	maxSlowdown      = 200.0
)

// transferLink is the state of one owner's link for transfers of cached chunks,
// which run one after another. The time cost model uses it.
type transferLink struct {
	// freeAt is when the transfers planned so far have ended.
	freeAt time.Duration
	// slowdown is how many times longer transfers took than expected, at slowdownAt.
	slowdown   float64
	slowdownAt time.Duration
	// lateInRow counts the late transfers since the last one on time.
	lateInRow int
}

// slowdownFactor returns how many times longer transfers take now.
func (l *transferLink) slowdownFactor(now time.Duration) float64 {
	if l.slowdown <= 1 {
		return 1
	}
	halvings := float64(now-l.slowdownAt) / float64(slowdownHalfLife)
	return max(1, l.slowdown*math.Exp2(-halvings))
}

// recordOnTime records a transfer that took about as long as expected.
func (l *transferLink) recordOnTime() { l.lateInRow = 0 }

// recordLate records a transfer that may have taken ratio times longer than
// expected. Its request was late, because of the link or of a queue at the replica
// that this router has no report of. Only several in a row are attributed to the
// link.
func (l *transferLink) recordLate(now time.Duration, ratio float64) {
	l.lateInRow++
	if l.lateInRow < lateTransfersForSlowdown {
		return
	}
	l.slowdown = min(max(ratio, l.slowdownFactor(now)), maxSlowdown)
	l.slowdownAt = now
}

// reserveLinks reserves the links of both ends of the pull.
func (r *Reservation) reserveLinks(now time.Duration) {
	end := now + r.pull.transfer
	r.pull.source.state.transferLink.freeAt = end
	r.state.transferLink.freeAt = end
}

// observeTransfer records how much later than expected a request had its first
// event, whose pull should have taken a time, both in milliseconds. It reports
// whether the pull counts as late.
func (r *Reservation) observeTransfer(now time.Duration, pull, excess float64) (late bool) {
	source, target := &r.pull.source.state.transferLink, &r.state.transferLink
	if excess <= max(minLateMilliseconds, 2*pull) {
		source.recordOnTime()
		target.recordOnTime()
		return false
	}
	ratio := (excess + pull) / max(pull, 1)
	source.recordLate(now, ratio)
	target.recordLate(now, ratio)
	return true
}
