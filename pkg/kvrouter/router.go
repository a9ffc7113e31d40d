package kvrouter

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// pendingTTL is how long the chunks of a request count as pending, unless the request
	// fails earlier.
	pendingTTL    = 10 * time.Second
	pendingShards = 16
)

// Router selects replicas for requests. It is safe for concurrent use.
//
// Locks: mutex guards everything except the feeds and the indexes. Each feed has its own
// mutex, under which it changes the indexes and takes their locks. No goroutine blocks on a
// feed's mutex while it holds the router's, or the other way round: a selection, which holds
// the router's mutex, reads a feed with TryLock only, and a feed never calls the router.
type Router struct {
	options Options
	// index contains the chunks that owners cache according to reports and predictions.
	index *prefixindex.Index
	// pending contains the chunks of requests that were sent within the last pendingTTL and
	// have not failed. Before the first event of their request these chunks can't be pulled,
	// but a request that is queued behind it will find them cached. After the first event
	// they are in index as well, as predicted or reported.
	pending     *prefixindex.Index
	scratchPool sync.Pool

	// mutex guards the fields below, and all of replicaState except its feed.
	mutex      sync.Mutex
	replicas   registry
	blockModel blockModel
	timeModel  timeModel
	// latest is the newest time that a caller has passed. Methods without a time parameter
	// use it.
	latest time.Duration
}

// New returns a Router without replicas.
func New(options Options) *Router {
	r := &Router{
		options:     options.withDefaults(),
		scratchPool: sync.Pool{New: func() any { return &scratch{} }},
	}
	r.index = prefixindex.New(r.options.Index)
	r.pending = prefixindex.New(prefixindex.Options{PredictionTTL: pendingTTL, MaxPredicted: r.options.MaxPending, Shards: pendingShards})
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

// ObserveLinkBandwidth records the measured bandwidth of pulls from one zone to another, in
// bytes per second.
func (r *Router) ObserveLinkBandwidth(fromZone, toZone string, bytesPerSecond float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.blockModel.bandwidths.Observe(r.latest, speed.Zones{From: fromZone, To: toZone}, bytesPerSecond)
}

// Forget drops the state of an address that is no longer listed, or whose reports are no
// longer trusted. Reservations on it may still be finished.
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

// Addresses returns, in no particular order, the addresses that the router holds state for.
func (r *Router) Addresses() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return lo.Keys(r.replicas.byAddress)
}

// state returns the state of an address and creates it if there is none. It takes the
// router's lock only for the lookup; without the lock, the caller may use only the feed of
// the state.
func (r *Router) state(now time.Duration, address string) *replicaState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(now)
	return r.replicas.state(now, address)
}

// existingState returns the state of an address, or nil if there is none.
func (r *Router) existingState(address string) *replicaState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.replicas.byAddress[address]
}

// handleRestart discards the state that belongs to the former incarnation of a replica.
func (r *Router) handleRestart(now time.Duration, state *replicaState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state.restart(now)
}

// observeTime records a time that a caller passed. The caller of observeTime holds the
// router's lock.
func (r *Router) observeTime(now time.Duration) {
	r.latest = max(r.latest, now)
}
