package emulator

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// workTolerance is the rounding error, in tokens, at which work counts as done.
const workTolerance = 1e-6

// never is later than any time of a run.
const never = time.Duration(math.MaxInt64)

// Advance runs the model up to the given time.
func (r *Replica) Advance(now time.Duration) {
	for {
		at, ok := r.NextChange()
		if !ok || at > now {
			break
		}
		r.progress(at)
		r.applyDue()
		r.recordReport()
	}
	r.progress(max(now, r.now))
}

// Notices returns what happened since the last call, in order.
func (r *Replica) Notices() []Notice {
	notices := r.notices
	r.notices = nil
	return notices
}

// NextChange returns the time at which the model changes by itself if nothing
// else is done to it before.
func (r *Replica) NextChange() (time.Duration, bool) {
	next := never
	if r.weights.loading() {
		next = min(next, r.weights.loadedAt)
	}
	if r.now < r.warmAt && len(r.active) > 0 {
		next = min(next, r.warmAt)
	}
	if r.prefilling != nil {
		next = min(next, r.after(r.prefilling.prefillWork, r.prefillRate()))
	}
	decodeRate := r.decodeRate()
	for _, attempt := range r.decoding {
		next = min(next, r.after(attempt.nextStop()-attempt.produced, decodeRate))
	}
	return next, next != never
}

// after returns when an amount of work is done at a rate.
func (r *Replica) after(work, rate float64) time.Duration {
	if rate <= 0 {
		return never
	}
	seconds := max(work, 0) / rate
	return r.now + time.Duration(math.Ceil(seconds*float64(time.Second)))
}

// prefillRate is the work done per second: nothing while weights are loading.
func (r *Replica) prefillRate() float64 {
	if r.weights.loading() {
		return 0
	}
	load := float64(len(r.decoding)) / float64(r.config.MaxBatch)
	return r.speed() * r.config.PrefillTokensPerSecond / (1 + r.config.PrefillSlowdown*load)
}

// decodeRate is the tokens per second that each decoding attempt gets.
func (r *Replica) decodeRate() float64 {
	if r.weights.loading() || len(r.decoding) == 0 {
		return 0
	}
	step := r.config.DecodeStepBase.Seconds()
	step += float64(len(r.decoding)) * r.config.DecodeStepPerSequence.Seconds()
	step += float64(r.decodeTokens()) * r.config.DecodeStepPerContextToken.Seconds()
	if r.prefilling != nil {
		step *= 1 + r.config.DecodeSlowdown
	}
	return r.speed() / step
}

// decodeTokens counts the context that a decode step reads.
func (r *Replica) decodeTokens() uint64 {
	var tokens uint64
	for _, attempt := range r.decoding {
		tokens += attempt.prompt + uint64(attempt.produced)
	}
	return tokens
}

// uncomputed returns the prompt tokens that the running prefill has left.
func (s *sequence) uncomputed() uint64 {
	left := max(s.prefillWork, 0) / s.allWork
	return uint64(left * float64(s.execution.PrefilledTokens))
}

func (r *Replica) speed() float64 {
	if r.warming() {
		return r.config.WarmingSpeed
	}
	return 1
}

// progress does the work of the time that has passed; nothing else changes in
// between, so that the rates are constant.
func (r *Replica) progress(to time.Duration) {
	seconds := (to - r.now).Seconds()
	if seconds <= 0 {
		return
	}
	prefilled := seconds * r.prefillRate()
	decoded := seconds * r.decodeRate()
	if r.prefilling != nil {
		r.prefilling.prefillWork -= prefilled
	}
	for _, attempt := range r.decoding {
		attempt.produced += decoded
	}
	r.now = to
}

// applyDue ends whatever is done by now.
func (r *Replica) applyDue() {
	if r.weights.loading() && r.now >= r.weights.loadedAt {
		r.weights.finish()
	}
	for _, attempt := range slices.Clone(r.decoding) {
		r.reportDecode(attempt)
	}
	if r.prefilling != nil && r.prefilling.prefillWork <= workTolerance {
		r.finishPrefill()
	}
	r.startPrefill()
}

// startPrefill takes the next waiting attempt when the machine is free for it.
func (r *Replica) startPrefill() {
	free := r.prefilling == nil && len(r.decoding) < r.config.MaxBatch
	if !free || len(r.queue) == 0 || r.weights.loading() {
		return
	}
	attempt := r.queue[0]
	r.queue = r.queue[1:]
	r.prefilling = attempt
	execution := attempt.execution
	execution.Started = true
	execution.StartedAt = r.now
	execution.WeightVersion = r.weights.version
	r.runs[execution.Request.RequestID]++
	r.reuse(attempt)
	computed := attempt.prompt - execution.ReusedTokens
	execution.PrefilledTokens = computed
	attempt.prefillWork = r.prefillCost(execution.ReusedTokens, computed)
	attempt.allWork = attempt.prefillWork
}

// reuse records the cached chunks that the attempt starts from and holds on to them.
func (r *Replica) reuse(attempt *sequence) {
	execution := attempt.execution
	leading := r.cache.Leading(attempt.links)
	attempt.pinned = r.cache.Pin(attempt.links[:len(leading)])
	r.cache.Touch(attempt.links)
	execution.Reused = lo.Map(leading, func(chunk CachedChunk, _ int) ReusedChunk {
		return ReusedChunk{
			Hash:          FormatHash(chunk.Hash),
			Tokens:        chunk.Tokens,
			Tenant:        chunk.Tenant,
			WeightVersion: chunk.WeightVersion,
		}
	})
	for _, chunk := range leading {
		execution.ReusedTokens += uint64(chunk.Tokens)
	}
	attempt.reserved = uint64(execution.Request.OutputTokens)
	r.journal.Removed(r.cache.Reserve(attempt.reserved))
}

// prefillCost weighs the tokens by the context that each attends to. Even a
// prompt that is cached completely needs one step for the first token.
func (r *Replica) prefillCost(context, tokens uint64) float64 {
	computed := math.Max(float64(tokens), 1)
	middle := float64(context) + computed/2
	return computed * (1 + middle/r.config.AttentionTokens)
}

// finishPrefill keeps the computed chunks and gives out the first token.
func (r *Replica) finishPrefill() {
	attempt := r.prefilling
	r.prefilling = nil
	r.keepComputed(attempt)
	attempt.execution.FirstTokenAt = r.now
	attempt.produced = 1
	attempt.reported = 1
	r.addNotice(NoticeFirstToken, attempt)
	if attempt.execution.Request.OutputTokens == 1 {
		r.finish(attempt)
		return
	}
	r.decoding = append(r.decoding, attempt)
}

func (r *Replica) keepComputed(attempt *sequence) {
	execution := attempt.execution
	parent := rootOf(execution.Request)
	var made []CachedChunk
	for _, link := range attempt.links {
		made = append(made, CachedChunk{
			Hash:          link.Hash,
			Parent:        parent,
			Tokens:        link.Tokens,
			Tenant:        execution.Request.Tenant,
			WeightVersion: r.weights.version,
		})
		parent = link.Hash
	}
	r.keep(made)
	r.cache.Unpin(attempt.pinned)
	attempt.pinned = r.cache.Pin(attempt.links)
	r.cache.Touch(attempt.links)
}

// nextStop is the count of tokens at which a notice is due.
func (s *sequence) nextStop() float64 {
	stop := s.execution.Request.OutputTokens
	if chunk := s.execution.Request.ChunkTokens; chunk > 0 {
		stop = min(stop, s.reported+chunk)
	}
	return float64(stop)
}

func (r *Replica) reportDecode(attempt *sequence) {
	if attempt.produced+workTolerance < attempt.nextStop() {
		return
	}
	attempt.reported = uint32(attempt.nextStop())
	if attempt.reported < attempt.execution.Request.OutputTokens {
		r.addNotice(NoticeChunk, attempt)
		return
	}
	r.finish(attempt)
}

func (r *Replica) finish(attempt *sequence) {
	r.addNotice(NoticeFinished, attempt)
	r.release(attempt, OutcomeCompleted)
}

// release ends an attempt in whatever state it is.
func (r *Replica) release(attempt *sequence, outcome Outcome) {
	r.cache.Unpin(attempt.pinned)
	r.cache.Release(attempt.reserved)
	delete(r.active, attempt.handle)
	if attempt.pulling {
		r.pulling--
	}
	if r.prefilling == attempt {
		r.prefilling = nil
	}
	r.queue = lo.Without(r.queue, attempt)
	r.decoding = lo.Without(r.decoding, attempt)
	attempt.execution.Outcome = outcome
	attempt.execution.FinishedAt = r.now
	attempt.execution.FinalWeightVersion = r.weights.version
}

func (r *Replica) addNotice(kind NoticeKind, attempt *sequence) {
	r.notices = append(r.notices, Notice{
		Kind:          kind,
		Handle:        attempt.handle,
		At:            r.now,
		Tokens:        attempt.reported,
		ReusedTokens:  attempt.execution.ReusedTokens,
		WeightVersion: attempt.execution.WeightVersion,
	})
}
