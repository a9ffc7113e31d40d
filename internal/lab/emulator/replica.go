package emulator

import (
	"maps"
	"slices"
	"time"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Replica is the model of one replica. It is not safe for concurrent use; its
// driver calls it with times that never go back.
type Replica struct {
	config Config
	now    time.Duration

	// memory, engine, weights and reports are those of the present incarnation;
	// truth is of all.
	memory  memory
	engine  engine
	weights weights
	reports reportHistory
	truth   groundTruth

	draining bool
	// upAt is when the replica answers again after a crash, warmAt when it is at
	// full speed.
	upAt   time.Duration
	warmAt time.Duration

	nextHandle Handle
	// active are the accepted attempts; pulling counts those that wait for chunks
	// from elsewhere. All others are in the engine.
	active  map[Handle]*sequence
	pulling int
	// notices are those that the driver has not taken yet.
	notices []Notice
}

// New returns a replica that starts at the given time. The config must have
// passed Check.
func New(config Config, now time.Duration) (*Replica, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	r := &Replica{config: config, now: now, truth: groundTruth{runs: map[string]int{}}}
	r.startIncarnation(config.Incarnation, now)
	return r, nil
}

// startIncarnation starts an incarnation with nothing in memory.
func (r *Replica) startIncarnation(incarnation uint64, upAt time.Duration) {
	r.memory = newMemory(r.config.CapacityTokens, incarnation, r.config.JournalEvents)
	r.engine = engine{config: r.config}
	r.weights = weights{version: r.config.WeightVersion}
	r.reports = reportHistory{}
	r.draining = false
	r.upAt = upAt
	r.warmAt = upAt + r.config.Warming
	r.active = map[Handle]*sequence{}
	r.pulling = 0
	r.recordReport()
}

// Submit offers an attempt. A *RefusedError promises that it has not run. Every
// arrival is recorded, also a refused one.
func (r *Replica) Submit(now time.Duration, request Request) (Handle, error) {
	r.Advance(now)
	request.OutputTokens = max(request.OutputTokens, 1)
	execution := r.truth.arrived(now, request)
	if reason, refused := r.refusal(); refused {
		r.truth.refused(r.now, execution, reason)
		return 0, &RefusedError{Reason: reason}
	}
	r.nextHandle++
	execution.Handle = r.nextHandle
	attempt := newSequence(r.nextHandle, execution)
	r.active[attempt.handle] = attempt
	if attempt.pulling {
		r.pulling++
	} else {
		r.engine.queue = append(r.engine.queue, attempt)
	}
	r.startPrefill()
	r.recordReport()
	return attempt.handle, nil
}

// RecordRefusal records an arrival that the driver refused before the model saw
// it.
func (r *Replica) RecordRefusal(now time.Duration, request Request, reason RefusalReason) {
	r.Advance(now)
	r.truth.refused(r.now, r.truth.arrived(now, request), reason)
}

// refusal returns why the replica takes no request now, if it takes none.
func (r *Replica) refusal() (RefusalReason, bool) {
	waiting := len(r.engine.queue) + r.pulling
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
	return r.memory.missing(attempt.links, first, last)
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
	pinned := r.memory.Pin(attempt.links)
	r.memory.keep(chunks)
	r.memory.Unpin(pinned)
	r.memory.Touch(attempt.links)
	r.engine.queue = append(r.engine.queue, attempt)
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
	return leadingChunks(hashes, r.memory.Get)
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
	for _, handle := range slices.Sorted(maps.Keys(r.active)) {
		attempt := r.active[handle]
		r.addNotice(NoticeCrashed, attempt)
		attempt.execution.Outcome = OutcomeCrashed
		attempt.execution.FinishedAt = now
	}
	r.startIncarnation(r.memory.journal.Incarnation()+1, now+r.config.Restart)
}

// Up reports whether the replica answers at all.
func (r *Replica) Up(now time.Duration) bool { return now >= r.upAt }

// Executions returns the ground truth of every arrival, in order.
func (r *Replica) Executions() []*Execution { return r.truth.executions }

// Runs returns how many attempts of a request have run, at least in part.
func (r *Replica) Runs(requestID string) int { return r.truth.runs[requestID] }

// Journal returns the numbered events of the present incarnation.
func (r *Replica) Journal() *Journal { return r.memory.journal }

// Snapshot returns a reset event that lists everything kept.
func (r *Replica) Snapshot() protocol.Event { return r.memory.snapshot() }

// Chunk returns one cached chunk.
func (r *Replica) Chunk(hash prefixindex.ChainHash) (CachedChunk, bool) { return r.memory.Get(hash) }

func (r *Replica) warming() bool { return r.now < r.warmAt }

// speed is the engine's share of its full speed.
func (r *Replica) speed() float64 {
	switch {
	case r.weights.loading():
		return 0
	case r.warming():
		return r.config.WarmingSpeed
	}
	return 1
}
