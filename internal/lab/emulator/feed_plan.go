package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

// FeedPlan says how a stream of events goes wrong on its way to one reader. The
// zero plan delivers everything at once and in order.
type FeedPlan struct {
	// Delay is added to every event, and up to Jitter more. Jitter alone does not
	// reorder.
	Delay  time.Duration
	Jitter time.Duration
	// LossRatio, DuplicateRatio and ReorderRatio are shares of the events, from 0
	// to 1. A reordered event comes ReorderBy later than it should and lets
	// others pass.
	LossRatio      float64
	DuplicateRatio float64
	ReorderRatio   float64
	ReorderBy      time.Duration
}

// Check returns an error that names a setting out of its range.
func (p FeedPlan) Check() error {
	for _, ratio := range []float64{p.LossRatio, p.DuplicateRatio, p.ReorderRatio} {
		if ratio < 0 || ratio > 1 {
			return errors.Errorf("emulator: feed plan ratio %v must be from 0 to 1", ratio)
		}
	}
	if p.Delay < 0 || p.Jitter < 0 || p.ReorderBy < 0 {
		return errors.New("emulator: feed plan times must not be negative")
	}
	return nil
}

// Delivery is an event on its way to a reader.
type Delivery struct {
	At    time.Duration
	Event protocol.Event
}

// Feed carries events to one reader as a plan and a seed say.
type Feed struct {
	plan   FeedPlan
	random *rand.Rand
	// inOrderAt is the latest arrival of the events that keep their order.
	inOrderAt time.Duration
}

// feedStream separates the draws of a feed from others of the same seed.
const feedStream = 0xfeed

// NewFeed returns a feed. Equal plans, seeds and inputs give equal deliveries.
func NewFeed(plan FeedPlan, seed uint64) *Feed {
	return &Feed{plan: plan, random: rand.New(rand.NewPCG(seed, feedStream))}
}

// Carry returns the deliveries of one event: none when it is lost, two when it
// is doubled. Resets are never lost, since a reader that asks for one waits for
// it.
func (f *Feed) Carry(now time.Duration, event protocol.Event) []Delivery {
	// Each event draws the same numbers whatever becomes of it, so that one ratio
	// can change without moving the other faults.
	lost := f.random.Float64() < f.plan.LossRatio
	doubled := f.random.Float64() < f.plan.DuplicateRatio
	reordered := f.random.Float64() < f.plan.ReorderRatio
	jitter := time.Duration(f.random.Float64() * float64(f.plan.Jitter))
	if lost && event.Kind != protocol.EventReset {
		return nil
	}
	at := max(now+f.plan.Delay+jitter, f.inOrderAt)
	if reordered {
		at += f.plan.ReorderBy
	} else {
		f.inOrderAt = at
	}
	deliveries := []Delivery{{At: at, Event: event}}
	if doubled {
		deliveries = append(deliveries, Delivery{At: at + f.plan.Jitter, Event: event})
	}
	return deliveries
}
