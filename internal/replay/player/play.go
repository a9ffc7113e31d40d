package player

import (
	"context"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/report"
)

// Bounds of the retries after a refusal.
const (
	// maxRetries bounds the retries of a request.
	maxRetries = 2
	// maxRetryWait bounds the wait before each.
	maxRetryWait = 10 * time.Second
)

// DefaultMaxInFlight bounds the requests that run at once.
const DefaultMaxInFlight = 256

// Attempt is one sending of a recorded request.
type Attempt struct {
	Record recording.Record
	// Number is the record's position in the replay, Retry how often it was sent
	// before.
	Number int
	Retry  int
}

// Result is what a caller got for one attempt. Times count from its sending.
type Result struct {
	Outcome recording.Outcome
	// Problem is the kind of the error of a refused request. Certain is set if the
	// request has certainly not run.
	Problem    string
	Certain    bool
	RetryAfter time.Duration
	// ReusedTokens is the number that the response names; 0 if it names none.
	ReusedTokens uint64
	// FirstToken is when the first byte of the response's body came.
	FirstToken time.Duration
}

// Sender sends requests. Play calls it from several goroutines at once.
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
	// MaxLag is the longest delay with which a request was sent.
	MaxLag time.Duration
}

// player is one running replay.
type player struct {
	options Options
	sender  Sender
	// slots has an element for each request that runs.
	slots   chan struct{}
	running sync.WaitGroup
	// lock guards played.
	lock   sync.Mutex
	played Played
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

// start sends a request beside those that run, or skips it if there are too many. due
// is when it was to be sent.
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
	for attempt.Retry < maxRetries && result.Outcome == recording.Refused && result.Certain && result.RetryAfter > 0 {
		if clock.WaitUntil(ctx, clock.Now()+min(result.RetryAfter, maxRetryWait)) != nil {
			break
		}
		attempt.Retry++
		sentAt = clock.Now()
		result = p.sender.Send(ctx, attempt)
	}
	sample := report.FromRecord(attempt.Record)
	sample.Outcome = result.Outcome
	sample.Problem = result.Problem
	sample.Retries = attempt.Retry
	sample.ReusedTokens = result.ReusedTokens
	sample.FirstToken = sentAt - began + result.FirstToken
	sample.Total = clock.Now() - began
	return sample
}

// skip counts a record that is not sent, by its cause.
func (p *player) skip(count func(*report.Skipped)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	count(&p.played.Skipped)
}
