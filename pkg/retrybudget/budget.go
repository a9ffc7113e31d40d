// Package retrybudget bounds retries to a ratio of first attempts, on one node and over a
// whole fleet.
//
// A budget counts both in one sliding window. A retry is counted at its own time, never
// before the first attempts that permit it, so it leaves the window no sooner than they
// do. One first attempt therefore never permits more than its ratio, however long the
// budget runs. The first attempts that permit a retry may leave the window before it: a
// fleet is therefore judged by the first attempts of a window, of the one before it, or
// of the one half a window before it, whichever has the most.
//
// Without Slack there is no constant minimum: a destination that has had four first attempts in
// the window may not retry at a ratio of 0.2. With Slack, the nodes of a fleet divide
// that number of retries in a window among them by SlackFraction. When the fractions of
// all nodes add up to no more than 1 in any window, the retries of the fleet in it stay
// below Ratio x first attempts + Slack.
//
// A Budget owns the attempts of one destination on one node. It reads no clock, and may
// be used concurrently.
package retrybudget

import (
	"sync"
	"time"
)

// Defaults of Options.
const (
	// DefaultRatio is the ratio of retries to first attempts.
	DefaultRatio = 0.2
	// DefaultWindow is the length of the sliding window.
	DefaultWindow = 10 * time.Second
	// maxAttemptTimes bounds the attempts of each kind that are remembered. Older ones
	// are forgotten: first attempts then permit fewer retries, and no retry is
	// permitted while so many are in the window.
	maxAttemptTimes = 1 << 16
)

// Options set the bounds of a budget. Zero values mean the defaults.
type Options struct {
	// Ratio is the permitted ratio of retries to first attempts.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Slack is the number of retries in a window that the whole fleet may make
	// beyond that.
	Slack float64
	// SlackFraction returns the fraction of Slack, from 0 to 1, that this node may use
	// now; nil means all of it. FleetSlackFraction is one.
	SlackFraction func(now time.Duration) float64
	// StartedAt is the start of this node's incarnation. No slack is used in its first
	// window, since the earlier incarnation may have used some.
	StartedAt time.Duration
}

// Budget is the retry budget of one destination: a pool or a web service. It is safe for concurrent use.
type Budget struct {
	mutex         sync.Mutex
	options       Options
	firstAttempts attemptTimes
	retries       attemptTimes
	// slackFractions are what SlackFraction has returned in the last window.
	slackFractions fractionHistory
	// latest is the latest time seen, so that a time that is slightly older than
	// another goroutine's does not reopen the past.
	latest time.Duration
}

// New returns a budget that has seen no attempt.
func New(options Options) *Budget {
	if options.Ratio <= 0 {
		options.Ratio = DefaultRatio
	}
	if options.Window <= 0 {
		options.Window = DefaultWindow
	}
	return &Budget{options: options, slackFractions: fractionHistory{startedAt: options.StartedAt}}
}

// First counts a first attempt at the time now.
func (b *Budget) First(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	b.firstAttempts.add(b.latest)
}

// TryRetry counts a retry at the time now and returns true, or returns false
// when the budget does not permit one.
func (b *Budget) TryRetry(now time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	retries := b.retries.count()
	permitted := b.options.Ratio*float64(b.firstAttempts.count()) + b.slack()
	if float64(retries+1) > permitted || retries >= maxAttemptTimes {
		return false
	}
	b.retries.add(b.latest)
	return true
}

// slack is what this node may use of the fleet's slack. A fraction that has grown counts
// only after a window, since retries of the nodes that had it before may still be in the
// window.
func (b *Budget) slack() float64 {
	if b.options.Slack <= 0 {
		return 0
	}
	if b.options.SlackFraction == nil {
		return b.options.Slack
	}
	return b.options.Slack * b.slackFractions.minimum(b.latest, b.options.Window)
}

// advance forgets what has left the window.
func (b *Budget) advance(now time.Duration) {
	b.latest = max(b.latest, now)
	b.firstAttempts.expire(b.latest - b.options.Window)
	b.retries.expire(b.latest - b.options.Window)
	if b.options.SlackFraction != nil {
		b.slackFractions.add(b.latest, min(max(b.options.SlackFraction(b.latest), 0), 1))
	}
}

// attemptTimes are the times of the attempts in the window, in order.
type attemptTimes struct {
	times []time.Duration
	// expired counts the times at the front that have left the window.
	expired int
}

func (a *attemptTimes) count() int { return len(a.times) - a.expired }

func (a *attemptTimes) add(now time.Duration) {
	if a.count() >= maxAttemptTimes {
		a.expired++
	}
	if a.expired > len(a.times)/2 {
		a.times = append(a.times[:0], a.times[a.expired:]...)
		a.expired = 0
	}
	a.times = append(a.times, now)
}

// expire drops the attempts up to an instant.
func (a *attemptTimes) expire(until time.Duration) {
	for a.expired < len(a.times) && a.times[a.expired] <= until {
		a.expired++
	}
}
