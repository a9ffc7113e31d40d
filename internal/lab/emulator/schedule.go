package emulator

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

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
	next := r.engine.nextChange(r.now, r.speed())
	if r.weights.loading() {
		next = min(next, r.weights.loadedAt)
	}
	if r.now < r.warmAt && len(r.active) > 0 {
		next = min(next, r.warmAt)
	}
	return next, next != never
}

// progress does the work of the time that has passed.
func (r *Replica) progress(to time.Duration) {
	if seconds := (to - r.now).Seconds(); seconds > 0 {
		r.engine.progress(seconds, r.speed())
		r.now = to
	}
}

// applyDue ends whatever is done by now.
func (r *Replica) applyDue() {
	if r.weights.loading() && r.now >= r.weights.loadedAt {
		r.weights.finish()
	}
	for _, attempt := range slices.Clone(r.engine.decoding) {
		r.reportDecode(attempt)
	}
	if prefilled := r.engine.takePrefilled(); prefilled != nil {
		r.finishPrefill(prefilled)
	}
	r.startPrefill()
}

// startPrefill takes the next waiting attempt when the machine is free for it.
func (r *Replica) startPrefill() {
	if r.weights.loading() {
		return
	}
	attempt := r.engine.takeNext()
	if attempt == nil {
		return
	}
	execution := attempt.execution
	r.truth.started(r.now, execution, r.weights.version)
	r.reuse(attempt)
	computed := attempt.prompt - execution.ReusedTokens
	execution.PrefilledTokens = computed
	attempt.prefillWork = r.engine.prefillCost(execution.ReusedTokens, computed)
	attempt.allWork = attempt.prefillWork
}

// reuse records the cached chunks that the attempt starts from and holds on to them.
func (r *Replica) reuse(attempt *sequence) {
	execution := attempt.execution
	leading := r.memory.Leading(attempt.links)
	attempt.pinned = r.memory.Pin(attempt.links[:len(leading)])
	r.memory.Touch(attempt.links)
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
	r.memory.reserve(attempt.reserved)
}

// finishPrefill keeps the computed chunks and gives out the first token.
func (r *Replica) finishPrefill(attempt *sequence) {
	r.memory.keep(attempt.chunks(r.weights.version))
	r.memory.Unpin(attempt.pinned)
	attempt.pinned = r.memory.Pin(attempt.links)
	r.memory.Touch(attempt.links)
	attempt.execution.FirstTokenAt = r.now
	attempt.produced = 1
	attempt.reported = 1
	r.addNotice(NoticeFirstToken, attempt)
	if attempt.execution.Request.OutputTokens == 1 {
		r.finish(attempt)
		return
	}
	r.engine.decoding = append(r.engine.decoding, attempt)
}

// reportDecode announces the tokens of an attempt whose notice is due, and ends the
// attempt with the last of them.
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
	r.memory.Unpin(attempt.pinned)
	r.memory.Release(attempt.reserved)
	delete(r.active, attempt.handle)
	if attempt.pulling {
		r.pulling--
	}
	r.engine.remove(attempt)
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
