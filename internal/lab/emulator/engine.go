package emulator

import (
	"math"
	"time"

	"github.com/samber/lo"
)

// never is later than any time of a run.
const never = time.Duration(math.MaxInt64)

// engine is what the machine computes: prefill of one attempt at a time, and
// decode of all others that have begun in one batch. Its rates depend on the
// speed, which is 1 at full speed and 0 while it stands still.
type engine struct {
	config Config
	// queue are the attempts that wait for prefill.
	queue      []*sequence
	prefilling *sequence
	decoding   []*sequence
}

// takeNext moves the next waiting attempt to prefill; nil while none waits or the
// machine is not free for it.
func (e *engine) takeNext() *sequence {
	if e.prefilling != nil || len(e.decoding) >= e.config.MaxBatch || len(e.queue) == 0 {
		return nil
	}
	e.prefilling = e.queue[0]
	e.queue = e.queue[1:]
	return e.prefilling
}

// takePrefilled takes out the attempt whose prefill is done; nil if none is.
func (e *engine) takePrefilled() *sequence {
	done := e.prefilling
	if done == nil || done.prefillWork > workTolerance {
		return nil
	}
	e.prefilling = nil
	return done
}

// remove takes an attempt out, in whatever state it is.
func (e *engine) remove(attempt *sequence) {
	if e.prefilling == attempt {
		e.prefilling = nil
	}
	e.queue = lo.Without(e.queue, attempt)
	e.decoding = lo.Without(e.decoding, attempt)
}

// progress does the work of some seconds in which nothing else changes, so that
// the rates are constant.
func (e *engine) progress(seconds, speed float64) {
	prefilled := seconds * e.prefillRate(speed)
	decoded := seconds * e.decodeRate(speed)
	if e.prefilling != nil {
		e.prefilling.prefillWork -= prefilled
	}
	for _, attempt := range e.decoding {
		attempt.produced += decoded
	}
}

// nextChange returns when prefill is done or a notice of decode is due; never if
// nothing is under way.
func (e *engine) nextChange(now time.Duration, speed float64) time.Duration {
	next := never
	if e.prefilling != nil {
		next = min(next, doneAt(now, e.prefilling.prefillWork, e.prefillRate(speed)))
	}
	decodeRate := e.decodeRate(speed)
	for _, attempt := range e.decoding {
		next = min(next, doneAt(now, attempt.nextStop()-attempt.produced, decodeRate))
	}
	return next
}

// doneAt returns when an amount of work is done at a rate.
func doneAt(now time.Duration, work, rate float64) time.Duration {
	if rate <= 0 {
		return never
	}
	seconds := max(work, 0) / rate
	return now + time.Duration(math.Ceil(seconds*float64(time.Second)))
}

// prefillRate is the work done per second, in tokens of an empty context.
func (e *engine) prefillRate(speed float64) float64 {
	load := float64(len(e.decoding)) / float64(e.config.MaxBatch)
	return speed * e.config.PrefillTokensPerSecond / (1 + e.config.PrefillSlowdown*load)
}

// decodeRate is the tokens per second that each decoding attempt gets.
func (e *engine) decodeRate(speed float64) float64 {
	if len(e.decoding) == 0 {
		return 0
	}
	step := e.config.DecodeStepBase.Seconds()
	step += float64(len(e.decoding)) * e.config.DecodeStepPerSequence.Seconds()
	step += float64(e.decodeTokens()) * e.config.DecodeStepPerContextToken.Seconds()
	if e.prefilling != nil {
		step *= 1 + e.config.DecodeSlowdown
	}
	return speed / step
}

// decodeTokens counts the context that a decode step reads.
func (e *engine) decodeTokens() uint64 {
	var tokens uint64
	for _, attempt := range e.decoding {
		tokens += attempt.prompt + uint64(attempt.produced)
	}
	return tokens
}

// prefillCost weighs the tokens by the context that each attends to. Even a
// prompt that is cached completely needs one step for the first token.
func (e *engine) prefillCost(context, tokens uint64) float64 {
	computed := math.Max(float64(tokens), 1)
	middle := float64(context) + computed/2
	return computed * (1 + middle/e.config.AttentionTokens)
}
