package player

import (
	"context"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/report"
)

// Bounds of how a caller comes back after a refusal.
const (
	// maxReturns bounds how often it does.
	maxReturns = 2
	// maxReturnWait bounds the wait before that.
	maxReturnWait = 10 * time.Second
)

// DefaultMaxInFlight bounds the requests that run at once.
const DefaultMaxInFlight = 256

// Attempt is one sending of a recorded request.
type Attempt struct {
	Record recording.Record
	// Number is the record's position in the replay, Return how often it was
	// sent before.
	Number int
	Return int
}

// Result is what a caller got for one sending. Times count from it.
type Result struct {
	Outcome recording.Outcome
	// Problem is the kind of the error, Certain that the request has not run.
	Problem    string
	Certain    bool
	RetryAfter time.Duration
	// ReusedTokens is what the answer tells.
	ReusedTokens uint64
	FirstToken   time.Duration
}

// Sender sends requests.
type Sender interface {
	// Knows reports whether requests of a tenant can be sent.
	Knows(tenant string) bool
	// Send returns when the answer has ended.
	Send(ctx context.Context, attempt Attempt) Result
}

// Options set up a replay by a sender.
type Options struct {
	Selection Selection
	// MaxInFlight bounds the requests that run at once; what comes beyond it is
	// skipped and counted.
	MaxInFlight int
	Clock       Clock
}

// Played is what a replay gave.
type Played struct {
	Samples []report.Sample
	Skipped report.Skipped
	// MaxLag is how late, at worst, a request was sent.
	MaxLag time.Duration
}

// player is one running replay.
type player struct {
	options Options
	sender  Sender
	slots   chan struct{}
	running sync.WaitGroup
	lock    sync.Mutex
	played  Played
}

// Play sends every record at its time and returns when all have ended. When the
// context ends, what was sent by then is returned with the context's error.
func Play(ctx context.Context, records []recording.Record, sender Sender, options Options) (Played, error) {
	p := &player{options: options, sender: sender, slots: make(chan struct{}, options.MaxInFlight)}
	err := p.sendAll(ctx, records)
	p.running.Wait()
	return p.played, err
}

func (p *player) sendAll(ctx context.Context, records []recording.Record) error {
	for number, record := range records {
		if !p.sender.Knows(record.Tenant) {
			p.skip(func(skipped *report.Skipped) { skipped.NoKey++ })
			continue
		}
		if record.Pool == "" && !record.Repeatable {
			p.skip(func(skipped *report.Skipped) { skipped.Unsupported++ })
			continue
		}
		due := p.options.Selection.due(record)
		if err := p.options.Clock.WaitUntil(ctx, due); err != nil {
			return err
		}
		p.start(ctx, Attempt{Record: record, Number: number}, due)
	}
	return nil
}

// start sends a request beside those that run, if there is a place for it.
func (p *player) start(ctx context.Context, attempt Attempt, due time.Duration) {
	select {
	case p.slots <- struct{}{}:
	default:
		p.skip(func(skipped *report.Skipped) { skipped.MaxInFlight++ })
		return
	}
	began := p.options.Clock.Now()
	p.lock.Lock()
	p.played.MaxLag = max(p.played.MaxLag, began-due)
	p.lock.Unlock()
	p.running.Go(func() {
		defer func() { <-p.slots }()
		sample := p.serve(ctx, attempt, began)
		p.lock.Lock()
		defer p.lock.Unlock()
		p.played.Samples = append(p.played.Samples, sample)
	})
}

// serve sends a request, and again while it is refused without having run and
// the refusal says when to come back.
func (p *player) serve(ctx context.Context, attempt Attempt, began time.Duration) report.Sample {
	clock := p.options.Clock
	sentAt := began
	result := p.sender.Send(ctx, attempt)
	for attempt.Return < maxReturns && result.Outcome == recording.Refused && result.Certain && result.RetryAfter > 0 {
		if clock.WaitUntil(ctx, clock.Now()+min(result.RetryAfter, maxReturnWait)) != nil {
			break
		}
		attempt.Return++
		sentAt = clock.Now()
		result = p.sender.Send(ctx, attempt)
	}
	sample := report.FromRecord(attempt.Record)
	sample.Outcome = result.Outcome
	sample.Problem = result.Problem
	sample.Retries = attempt.Return
	sample.ReusedTokens = result.ReusedTokens
	sample.FirstToken = sentAt - began + result.FirstToken
	sample.Total = clock.Now() - began
	return sample
}

func (p *player) skip(count func(*report.Skipped)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	count(&p.played.Skipped)
}
