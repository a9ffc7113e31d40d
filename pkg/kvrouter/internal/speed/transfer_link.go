package speed

import (
	"math"
	"time"
)

const (
	// minLateMilliseconds is the excess over the expected time up to which a transfer never
	// counts as late.
	minLateMilliseconds = 150.0
	// lateTransfersForSlowdown is how many transfers in a row have to be late until
	// their link counts as slow.
	lateTransfersForSlowdown = 2
	// slowdownHalfLife is the time in which the slowdown of a link halves.
	slowdownHalfLife = 4 * time.Second
	maxSlowdown      = 200.0
)

// TransferLink is the state of one owner's link for transfers of cached chunks, which run
// one after another. The zero value is free and not slow.
type TransferLink struct {
	// freeAt is when the last planned transfer ends.
	freeAt time.Duration
	// slowdown is how many times longer transfers took than expected, at slowdownAt.
	slowdown   float64
	slowdownAt time.Duration
	// consecutiveLate counts the late transfers since the last one on time.
	consecutiveLate int
}

// FreeAt returns when the last planned transfer ends.
func (l *TransferLink) FreeAt() time.Duration { return l.freeAt }

// ReserveUntil reserves the link for a transfer that ends at an instant.
func (l *TransferLink) ReserveUntil(end time.Duration) { l.freeAt = end }

// Slowdown returns how many times longer transfers take now than expected.
func (l *TransferLink) Slowdown(now time.Duration) float64 {
	if l.slowdown <= 1 {
		return 1
	}
	halvings := float64(now-l.slowdownAt) / float64(slowdownHalfLife)
	return max(1, l.slowdown*math.Exp2(-halvings))
}

// ObserveTransfer records a transfer by the first event of the request that it was for.
// Expected is the expected time of the transfer, and excess how much later than expected
// the first event arrived, both in milliseconds. It reports whether the transfer counts as
// late, on the links at both of its ends: the excess is above minLateMilliseconds and above
// twice the expected time.
func ObserveTransfer(now time.Duration, source, target *TransferLink, expected, excess float64) (late bool) {
	if excess <= max(minLateMilliseconds, 2*expected) {
		source.consecutiveLate = 0
		target.consecutiveLate = 0
		return false
	}
	ratio := (excess + expected) / max(expected, 1)
	source.recordLate(now, ratio)
	target.recordLate(now, ratio)
	return true
}

// recordLate records a late transfer, which may have taken ratio times longer than
// expected. The delay comes from the link, or from a queue at the replica that is not
// reported to this router. Only several late transfers in a row are attributed to the link.
func (l *TransferLink) recordLate(now time.Duration, ratio float64) {
	l.consecutiveLate++
	if l.consecutiveLate < lateTransfersForSlowdown {
		return
	}
	l.slowdown = min(max(ratio, l.Slowdown(now)), maxSlowdown)
	l.slowdownAt = now
}
