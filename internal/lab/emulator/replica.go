package emulator

import (
	"time"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Replica is the model of one replica. It is not safe for concurrent use; its
// driver calls it with times that never go back.
type Replica struct {
	config  Config
	now     time.Duration
	cache   *Cache
	journal *Journal
	reports reportHistory
	weights weights

	draining bool
	// upAt is when the replica answers again after a crash, warmAt when it is at
	// full speed.
	upAt   time.Duration
	warmAt time.Duration

	nextHandle Handle
	active     map[Handle]*sequence
	pulling    int
	queue      []*sequence
	prefilling *sequence
	decoding   []*sequence

	notices    []Notice
	executions []*Execution
	runs       map[string]int
}

// sequence is one active attempt.
type sequence struct {
	handle    Handle
	links     []prefixindex.Link
	prompt    uint64
	execution *Execution
	pinned    []prefixindex.ChainHash
	reserved  uint64
	pulling   bool

	// prefillWork is what is left of prefill, in tokens of an empty context.
	prefillWork float64
	// allWork is what prefillWork was at the start.
	allWork float64
	// produced counts generated tokens; reported is how many were announced.
	produced float64
	reported uint32
}

// New returns a replica that starts at the given time. The config must have
// passed Check.
func New(config Config, now time.Duration) (*Replica, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	r := &Replica{config: config, now: now, runs: map[string]int{}}
	r.startIncarnation(config.Incarnation, now)
	return r, nil
}

// startIncarnation starts an incarnation with nothing in memory.
func (r *Replica) startIncarnation(incarnation uint64, upAt time.Duration) {
	r.cache = NewCache(r.config.CapacityTokens)
	r.journal = NewJournal(incarnation, r.config.JournalEvents)
	r.weights = weights{version: r.config.WeightVersion}
	r.reports = reportHistory{}
	r.draining = false
	r.upAt = upAt
	r.warmAt = upAt + r.config.Warming
	r.active = map[Handle]*sequence{}
	r.pulling = 0
	r.queue = nil
	r.prefilling = nil
	r.decoding = nil
	r.recordReport()
}

// Submit offers an attempt. A *RefusedError promises that it has not run. Every
// arrival is recorded, also a refused one.
func (r *Replica) Submit(now time.Duration, request Request) (Handle, error) {
	r.Advance(now)
	request.OutputTokens = max(request.OutputTokens, 1)
	execution := &Execution{Request: request, Outcome: OutcomeRunning, ArrivedAt: now}
	r.executions = append(r.executions, execution)
	if reason, refused := r.refusal(); refused {
		r.refuse(execution, reason)
		return 0, &RefusedError{Reason: reason}
	}
	r.nextHandle++
	execution.Handle = r.nextHandle
	attempt := &sequence{
		handle:    r.nextHandle,
		links:     prefixindex.Chain(request.Model, request.CacheSalt, request.Chunks),
		execution: execution,
		pulling:   request.AwaitPull,
	}
	for _, link := range attempt.links {
		attempt.prompt += uint64(link.Tokens)
	}
	r.active[attempt.handle] = attempt
	if attempt.pulling {
		r.pulling++
	} else {
		r.queue = append(r.queue, attempt)
	}
	r.startPrefill()
	r.recordReport()
	return attempt.handle, nil
}

// RecordRefusal records an arrival that the driver refused before the model saw
// it.
func (r *Replica) RecordRefusal(now time.Duration, request Request, reason RefusalReason) {
	r.Advance(now)
	execution := &Execution{Request: request, ArrivedAt: now}
	r.refuse(execution, reason)
	r.executions = append(r.executions, execution)
}

func (r *Replica) refuse(execution *Execution, reason RefusalReason) {
	execution.Outcome = OutcomeRefused
	execution.Refusal = reason
	execution.FinishedAt = r.now
}

func (r *Replica) refusal() (RefusalReason, bool) {
	waiting := len(r.queue) + r.pulling
	switch {
	case r.now < r.upAt:
		return RefusedDown, true
	case r.draining:
		return RefusedDraining, true
	case r.weights.loading():
		return RefusedLoading, true
	case r.warming() && len(r.active) >= r.config.WarmingRequests:
		return RefusedWarming, true
	case waiting >= r.config.MaxQueued:
		return RefusedBusy, true
	}
	return "", false
}

// Missing returns the chain hashes among positions first to last of an attempt
// that are not kept, and so are to be pulled.
func (r *Replica) Missing(handle Handle, first, last int) []prefixindex.ChainHash {
	attempt, ok := r.active[handle]
	if !ok {
		return nil
	}
	var missing []prefixindex.ChainHash
	for position := max(first, 0); position <= last && position < len(attempt.links); position++ {
		hash := attempt.links[position].Hash
		if _, kept := r.cache.Get(hash); !kept {
			missing = append(missing, hash)
		}
	}
	return missing
}

// PullDone ends the wait of an attempt for pulled chunks and keeps those that
// came. A failed pull brings none.
func (r *Replica) PullDone(now time.Duration, handle Handle, chunks []CachedChunk) {
	r.Advance(now)
	attempt, ok := r.active[handle]
	if !ok || !attempt.pulling {
		return
	}
	attempt.pulling = false
	r.pulling--
	pinned := r.cache.Pin(attempt.links)
	r.keep(chunks)
	r.cache.Unpin(pinned)
	r.cache.Touch(attempt.links)
	r.queue = append(r.queue, attempt)
	r.startPrefill()
	r.recordReport()
}

// Cancel stops an attempt and frees what it held.
func (r *Replica) Cancel(now time.Duration, handle Handle) {
	r.Advance(now)
	attempt, ok := r.active[handle]
	if !ok {
		return
	}
	outcome := OutcomeCancelledBeforeStart
	if attempt.execution.Started {
		outcome = OutcomeCancelled
	}
	r.release(attempt, outcome)
	r.startPrefill()
	r.recordReport()
}

// Export returns the chunks that a peer requests, up to the first one that is
// not kept.
func (r *Replica) Export(now time.Duration, hashes []prefixindex.ChainHash) []CachedChunk {
	r.Advance(now)
	if now < r.upAt {
		return nil
	}
	var chunks []CachedChunk
	for _, hash := range hashes {
		chunk, ok := r.cache.Get(hash)
		if !ok {
			break
		}
		chunks = append(chunks, chunk)
	}
	return chunks
}

// Drain makes the replica refuse new requests, or take them again.
func (r *Replica) Drain(now time.Duration, draining bool) {
	r.Advance(now)
	r.draining = draining
}

// Crash loses everything in memory. The replica answers again after the restart
// time, with a new incarnation, the weights that it is configured with, and
// nothing kept.
func (r *Replica) Crash(now time.Duration) {
	r.Advance(now)
	for _, handle := range sortedHandles(r.active) {
		attempt := r.active[handle]
		r.addNotice(NoticeCrashed, attempt)
		attempt.execution.Outcome = OutcomeCrashed
		attempt.execution.FinishedAt = now
	}
	r.startIncarnation(r.journal.Incarnation()+1, now+r.config.Restart)
}

// Up reports whether the replica answers at all.
func (r *Replica) Up(now time.Duration) bool { return now >= r.upAt }

// Executions returns the ground truth of every arrival, in order.
func (r *Replica) Executions() []*Execution { return r.executions }

// Runs returns how many attempts of a request have run, at least in part.
func (r *Replica) Runs(requestID string) int { return r.runs[requestID] }

// Journal returns the numbered events of the present incarnation.
func (r *Replica) Journal() *Journal { return r.journal }

// Snapshot returns a reset event that lists everything kept.
func (r *Replica) Snapshot() protocol.Event { return r.journal.Snapshot(r.cache.All()) }

// Chunk returns one cached chunk.
func (r *Replica) Chunk(hash prefixindex.ChainHash) (CachedChunk, bool) { return r.cache.Get(hash) }

func (r *Replica) warming() bool { return r.now < r.warmAt }

// keep stores chunks of one chain, in order, and reports what was stored and what
// had to go. It ends at the first chunk that finds no room, since no later chunk
// counts without it.
func (r *Replica) keep(chunks []CachedChunk) {
	stored, removed := r.cache.PutChain(chunks)
	r.journal.Removed(removed)
	r.journal.Stored(stored)
}
