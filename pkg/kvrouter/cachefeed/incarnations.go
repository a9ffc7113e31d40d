package cachefeed

import (
	"slices"
	"time"
)

// maxRetired is how many earlier incarnations of an owner are remembered, to distinguish
// their late reports from those of a new incarnation.
const maxRetired = 8

// incarnationStatus is the status of the incarnation that sent a report.
type incarnationStatus int

const (
	// staleIncarnation means that the report is a late one of an earlier incarnation.
	staleIncarnation incarnationStatus = iota
	// currentIncarnation means that the report is of the current incarnation.
	currentIncarnation
	// firstIncarnation means that the report is the first one of the owner.
	firstIncarnation
	// restartedIncarnation means that the report is the first one since a restart of the
	// owner.
	restartedIncarnation
)

// isStart reports whether the report is the first of its incarnation.
func (s incarnationStatus) isStart() bool { return s == firstIncarnation || s == restartedIncarnation }

// incarnations holds the current incarnation of an owner, and the last few before it.
type incarnations struct {
	// started is set by the first report of the owner.
	started bool
	current uint64
	retired []uint64
	// lastReportAt is when the current incarnation last reported.
	lastReportAt time.Duration
}

// observeNumbered records a report of an owner that numbers its incarnations upwards: a
// number that differs from the current one, and is not a new and higher one, means a late
// report of an earlier incarnation. But once the current incarnation has not reported for
// the time-out, any other number counts as a restart, so that the reports of a replica that
// numbers its incarnations in another way are accepted eventually.
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

// observeUnordered records a report of an owner whose incarnations have no order: an
// incarnation that is neither the current one nor a remembered earlier one is new.
func (i *incarnations) observeUnordered(now time.Duration, incarnation uint64) incarnationStatus {
	if slices.Contains(i.retired, incarnation) {
		return staleIncarnation
	}
	return i.record(now, incarnation)
}

// record records a report of the current incarnation, or of a new one.
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
