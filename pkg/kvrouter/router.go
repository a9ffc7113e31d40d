package kvrouter

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// pendingTTL is how long the chunks of a request count as pending, unless it fails
	// before.
	pendingTTL = 10 * time.Second
	// maxPending bounds the pending chunks.
	maxPending    = 1 << 16
	pendingShards = 16
)

// Router selects replicas. It is safe for concurrent use.
//
// Locks: mutex guards all but the feeds and the indexes. A feed has a mutex of its
// own, under which it changes the indexes and takes their locks. No goroutine waits
// for one of the two mutexes while it holds the other: selection reads a feed under
// the router's mutex by TryLock alone, and a feed never calls the router.
type Router struct {
	options Options
	// index has the chunks that owners cache, by their reports and predictions.
	index *prefixindex.Index
	// pending has the chunks of requests that were sent within the pendingTTL and did not
	// fail. They can't be pulled before the first event, but a request behind will find
	// them cached. After it they are in index too, as predicted or reported.
	pending     *prefixindex.Index
	scratchPool sync.Pool

	// mutex guards the fields below, and all of replicaState but its feed.
	mutex      sync.Mutex
	replicas   registry
	blockModel blockModel
	timeModel  timeModel
	// latest is the newest time that the router was given, for calls without a time.
	latest time.Duration
}

// New returns a Router without replicas.
func New(options Options) *Router {
	r := &Router{
		options:     options.withDefaults(),
		scratchPool: sync.Pool{New: func() any { return &scratch{} }},
	}
	r.index = prefixindex.New(r.options.Index)
	r.pending = prefixindex.New(prefixindex.Options{PredictionTTL: pendingTTL, MaxPredicted: maxPending, Shards: pendingShards})
	r.replicas = registry{
		index:       r.index,
		pending:     r.pending,
		options:     &r.options,
		feedOptions: r.options.feedOptions(),
		byAddress:   make(map[string]*replicaState),
	}
	r.blockModel = blockModel{options: &r.options, replicas: &r.replicas, bandwidths: speed.NewBandwidths(r.options.LinkBytesPerSecond, r.options.LinkLatency)}
	r.timeModel = timeModel{
		options:   &r.options,
		replicas:  &r.replicas,
		index:     r.index,
		pending:   r.pending,
		latencies: make(map[string]*speed.Latency),
	}
	return r
}

// IndexStats returns the size of the prefix index.
func (r *Router) IndexStats() prefixindex.Stats { return r.index.Stats() }

// ObserveLinkBandwidth records the bandwidth of pulls from one zone to another, in
// bytes per second.
func (r *Router) ObserveLinkBandwidth(fromZone, toZone string, bytesPerSecond float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.blockModel.bandwidths.Observe(r.latest, speed.Zones{From: fromZone, To: toZone}, bytesPerSecond)
}

// Forget drops the state of an address that is no longer listed, or whose reports are not
// believed any more. Reservations on it may still be finished.
func (r *Router) Forget(address string) {
	r.mutex.Lock()
	state, present := r.replicas.remove(address)
	r.mutex.Unlock()
	if !present {
		return
	}
	state.feed.Forget()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.replicas.releaseOwner(state.owner)
}

// Addresses returns, in no order, the addresses that the router has state of.
func (r *Router) Addresses() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return lo.Keys(r.replicas.byAddress)
}

// state returns the state of an address, which it creates when there is none. It takes
// the lock; the caller may use the feed of the state without it, and nothing else.
func (r *Router) state(now time.Duration, address string) *replicaState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(now)
	return r.replicas.state(now, address)
}

// existingState is state without creation: nil when there is none.
func (r *Router) existingState(address string) *replicaState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.replicas.byAddress[address]
}

// handleRestart discards what is true of the former incarnation of a replica.
func (r *Router) handleRestart(now time.Duration, state *replicaState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state.restart(now)
}

// observeTime records the newest time. The caller holds the lock.
func (r *Router) observeTime(now time.Duration) {
	r.latest = max(r.latest, now)
}
