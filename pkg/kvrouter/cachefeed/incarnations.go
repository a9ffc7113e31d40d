package cachefeed

import (
	"slices"
	"time"
)

// maxRetired is how many earlier incarnations of an owner are remembered, to tell
// their late reports from those of a new one.
const maxRetired = 8

// incarnationStatus is what a report says of its sender's incarnation.
type incarnationStatus int

const (
	// staleIncarnation is a late report of an earlier incarnation.
	staleIncarnation incarnationStatus = iota
	// currentIncarnation is a report of the present incarnation.
	currentIncarnation
	// firstIncarnation is the first report of the owner at all.
	firstIncarnation
	// restartedIncarnation is the first report of a new incarnation.
	restartedIncarnation
)

// isStart reports whether the report is the first of its incarnation.
func (s incarnationStatus) isStart() bool { return s == firstIncarnation || s == restartedIncarnation }

// incarnations has the present incarnation of an owner, and the last few before it.
type incarnations struct {
	// started is set once an incarnation was seen.
	started bool
	current uint64
	retired []uint64
	// lastReportAt is when the present incarnation last reported.
	lastReportAt time.Duration
}

// observeNumbered records a report of an owner that numbers its incarnations upwards,
// so that anything but a higher number is a late report of an earlier one. Only if the
// present incarnation has been silent for the time-out is it taken for the newest all
// the same, so that a replica which numbers its incarnations in another way is
// believed in the end.
func (i *incarnations) observeNumbered(now time.Duration, incarnation uint64, timeout time.Duration) incarnationStatus {
	if i.started && incarnation != i.current {
		newer := incarnation > i.current && !slices.Contains(i.retired, incarnation)
		silent := now-i.lastReportAt >= timeout
		if !newer && !silent {
			return staleIncarnation
		}
	}
	return i.record(now, incarnation)
}

// observeUnordered records a report of an owner whose incarnations have no order: one
// that is neither the present one nor one of the last few is a new start.
func (i *incarnations) observeUnordered(now time.Duration, incarnation uint64) incarnationStatus {
	if slices.Contains(i.retired, incarnation) {
		return staleIncarnation
	}
	return i.record(now, incarnation)
}

// record records a report of the present incarnation, or of a new one.
func (i *incarnations) record(now time.Duration, incarnation uint64) incarnationStatus {
	i.lastReportAt = max(i.lastReportAt, now)
	switch {
	case !i.started:
		i.started = true
		i.current = incarnation
		return firstIncarnation
	case incarnation != i.current:
		i.retire(i.current)
		i.current = incarnation
		return restartedIncarnation
	}
	return currentIncarnation
}

func (i *incarnations) retire(incarnation uint64) {
	if len(i.retired) == maxRetired {
		i.retired = slices.Delete(i.retired, 0, 1)
	}
	i.retired = append(i.retired, incarnation)
}
