// Package retrybudget bounds retries to a share of first attempts.
//
// The budget counts both in one sliding window. A retry is counted in the slot
// of its own time, never before the first attempts that permit it, so it leaves
// the window no sooner than they do. One first attempt therefore never pays for
// more than its share, however long the budget runs, and the share of the whole
// run stays below the ratio as well. There is no constant minimum: a pool that
// has had four first attempts in the window may not retry at a ratio of 0.2.
package retrybudget

import (
	"sync"
	"time"
)

// Defaults of Options.
const (
	// DefaultRatio is the share of first attempts that may be retried.
	DefaultRatio = 0.2
	// DefaultWindow is the length of the sliding window.
	DefaultWindow = 10 * time.Second
	// slotCount is the resolution of the window.
	slotCount = 20
)

// Options set the bounds of a budget. Zero values mean the defaults.
type Options struct {
	// Ratio is the share of first attempts that may be retried.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// slot counts the attempts of one part of the window.
type slot struct {
	// number is the slot's position in time since the clock's zero.
	number  int64
	firsts  uint64
	retries uint64
}

// Budget is the retry budget of one pool. It may be used by many goroutines.
type Budget struct {
	mutex    sync.Mutex
	ratio    float64
	slotTime time.Duration
	slots    [slotCount]slot
	// newest is the highest slot number seen, so that a time that is slightly
	// older than another goroutine's does not reopen a slot.
	newest int64
}

// New returns a budget that has seen no attempt.
func New(options Options) *Budget {
	if options.Ratio <= 0 {
		options.Ratio = DefaultRatio
	}
	if options.Window <= 0 {
		options.Window = DefaultWindow
	}
	budget := &Budget{ratio: options.Ratio, slotTime: max(options.Window/slotCount, 1)}
	for position := range budget.slots {
		budget.slots[position].number = -1
	}
	return budget
}

// First counts a first attempt at the time now.
func (b *Budget) First(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.current(now).firsts++
}

// TryRetry counts a retry at the time now and returns true, or returns false
// when the budget does not permit one.
func (b *Budget) TryRetry(now time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	current := b.current(now)
	firsts, retries := b.totals()
	if float64(retries+1) > b.ratio*float64(firsts) {
		return false
	}
	current.retries++
	return true
}

// current returns the slot that the time now falls into.
func (b *Budget) current(now time.Duration) *slot {
	b.newest = max(b.newest, int64(now/b.slotTime))
	current := &b.slots[b.newest%slotCount]
	if current.number != b.newest {
		*current = slot{number: b.newest}
	}
	return current
}

// totals sums the slots that are inside the window.
func (b *Budget) totals() (firsts, retries uint64) {
	oldest := b.newest - slotCount + 1
	for _, candidate := range b.slots {
		if candidate.number >= oldest && candidate.number >= 0 {
			firsts += candidate.firsts
			retries += candidate.retries
		}
	}
	return firsts, retries
}
