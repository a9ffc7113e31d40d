package cachefeed

import (
	"slices"
	"time"
)

// maxRetired is how many earlier incarnations of an owner are remembered, to tell
// their late reports from those of a new one.
const maxRetired = 8

// arrival is what a report says of its sender's incarnation.
type arrival int

const (
	// staleArrival is a late report of an earlier incarnation.
	staleArrival arrival = iota
	// presentArrival is a report of the present incarnation.
	presentArrival
	// firstArrival is the first report of the owner at all.
	firstArrival
	// restartArrival is the first report of a new incarnation.
	restartArrival
)

// starts reports whether the report is the first of its incarnation.
func (a arrival) starts() bool { return a == firstArrival || a == restartArrival }

// incarnations has the present incarnation of an owner, and the last few before it.
type incarnations struct {
	// started is set once an incarnation was seen.
	started bool
	present uint64
	retired []uint64
	// lastHeardAt is when the present incarnation last reported.
	lastHeardAt time.Duration
}

// observeNumbered records a report of an owner that numbers its incarnations upwards,
// so that anything but a higher number is a late report of an earlier one. Only if the
// present incarnation has been silent for the time-out is it taken for the newest all
// the same, so that a replica which numbers its incarnations in another way is
// believed in the end.
func (i *incarnations) observeNumbered(now time.Duration, incarnation uint64, timeout time.Duration) arrival {
	if i.started && incarnation != i.present {
		newer := incarnation > i.present && !slices.Contains(i.retired, incarnation)
		silent := now-i.lastHeardAt >= timeout
		if !newer && !silent {
			return staleArrival
		}
	}
	return i.record(now, incarnation)
}

// observeUnordered records a report of an owner whose incarnations have no order: one
// that is neither the present one nor one of the last few is a new start.
func (i *incarnations) observeUnordered(now time.Duration, incarnation uint64) arrival {
	if slices.Contains(i.retired, incarnation) {
		return staleArrival
	}
	return i.record(now, incarnation)
}

// record records a report of the present incarnation, or of a new one.
func (i *incarnations) record(now time.Duration, incarnation uint64) arrival {
	i.lastHeardAt = max(i.lastHeardAt, now)
	switch {
	case !i.started:
		i.started = true
		i.present = incarnation
		return firstArrival
	case incarnation != i.present:
		i.retire(i.present)
		i.present = incarnation
		return restartArrival
	}
	return presentArrival
}

func (i *incarnations) retire(incarnation uint64) {
	if len(i.retired) == maxRetired {
		i.retired = slices.Delete(i.retired, 0, 1)
	}
	i.retired = append(i.retired, incarnation)
}
