// Package retrybudget limits retries to a ratio of first attempts, on one node and over a
// whole fleet.
//
// A budget counts first attempts and retries in one sliding window. A retry is counted at
// the time at which it is made, which is never before the first attempts that permit it,
// so that it leaves the window no sooner than they do. One first attempt therefore never
// permits more retries than the ratio, however long the budget is in use. The first
// attempts that permit a retry may leave the window before the retry does. The guaranteed
// limit for the retries of a fleet in a window therefore refers to the first attempts of
// that window, of the window before it, or of the window half a length earlier, whichever
// has the most.
//
// Without Slack there is no constant minimum: with a ratio of 0.2, a destination that has
// had four first attempts in the window may not retry. With Slack, SlackFraction divides
// that number of retries in a window among the nodes of a fleet. When the fractions of all
// nodes add up to no more than 1 in any window, the retries of the fleet in a window stay
// below Ratio x first attempts + Slack.
//
// A Budget contains the attempts of one destination on one node. It reads no clock, and
// may be used concurrently.
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
	// maxAttemptTimes is the maximum number of first attempts, and of retries, that are
	// kept. Beyond it, the oldest first attempts are dropped, so that fewer retries are
	// permitted. No retry is permitted while the window contains so many retries.
	maxAttemptTimes = 1 << 16
)

// Options configure a Budget. Zero values of Ratio and Window mean the defaults.
type Options struct {
	// Ratio is the permitted ratio of retries to first attempts.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Slack is the number of retries in a window that the whole fleet may make in
	// addition to those that Ratio permits.
	Slack float64
	// SlackFraction returns the fraction of Slack, from 0 to 1, that this node may use
	// now; nil means all of it. FleetSlackFraction returns such a function.
	SlackFraction func(now time.Duration) float64
	// StartedAt is the time at which this incarnation of the node started. With
	// SlackFraction, no slack is used until a window later, since the earlier incarnation
	// may have used some.
	StartedAt time.Duration
}

// Budget is the retry budget of one destination, which is a pool or a web service. It is
// safe for concurrent use.
type Budget struct {
	mutex         sync.Mutex
	options       Options
	firstAttempts attemptTimes
	retries       attemptTimes
	// slackFractions holds the results of SlackFraction in the last window.
	slackFractions fractionHistory
	// latest is the latest time passed to the budget. Attempts are counted at that time,
	// because a goroutine may pass a slightly earlier time than another goroutine has.
	latest time.Duration
}

// New returns a budget without attempts.
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

// slack returns the part of the fleet's slack that this node may use. When the node's
// fraction grows, the new fraction applies only a window later, since the window may still
// contain retries of the nodes that used that part of the slack before.
func (b *Budget) slack() float64 {
	if b.options.Slack <= 0 {
		return 0
	}
	if b.options.SlackFraction == nil {
		return b.options.Slack
	}
	return b.options.Slack * b.slackFractions.minimum(b.latest, b.options.Window)
}

// advance drops the attempts that have left the window, and records the current slack
// fraction.
func (b *Budget) advance(now time.Duration) {
	b.latest = max(b.latest, now)
	b.firstAttempts.expire(b.latest - b.options.Window)
	b.retries.expire(b.latest - b.options.Window)
	if b.options.SlackFraction != nil {
		b.slackFractions.add(b.latest, min(max(b.options.SlackFraction(b.latest), 0), 1))
	}
}

// attemptTimes holds the times of the attempts in the window, in order.
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

// expire drops the attempts up to and including the time until.
func (a *attemptTimes) expire(until time.Duration) {
	for a.expired < len(a.times) && a.times[a.expired] <= until {
		a.expired++
	}
}
