package kvrouter

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// pendingTTL ends the parts of a request that never answers.
	pendingTTL = 10 * time.Second
	// maxPending bounds the parts of requests that have not answered.
	maxPending    = 1 << 16
	pendingShards = 16
)

// Router selects replicas. It is safe for concurrent use.
type Router struct {
	options Options
	index   *prefixindex.Index
	// pending holds the parts of requests that have not answered yet. They are
	// not there to pull, but a request behind will find them.
	pending     *prefixindex.Index
	scratchPool sync.Pool

	mutex         sync.Mutex
	replicas      map[string]*replicaState
	nextOwner     prefixindex.Owner
	freeOwners    []prefixindex.Owner
	bandwidths    linkBandwidths
	latencyModels map[string]*latencyModel
	recentHashes  recentHashes
	// latest is the newest time that the router was told.
	latest time.Duration
}

// Load is the load that the router assumes of a replica, in blocks.
type Load struct {
	PrefillBlocks  float64
	DecodeBlocks   float64
	ActiveRequests float64
}

// New returns a Router that knows of no replica.
func New(options Options) *Router {
	options = options.withDefaults()
	return &Router{
		options:       options,
		index:         prefixindex.New(options.Index),
		pending:       prefixindex.New(prefixindex.Options{PredictionTTL: pendingTTL, MaxPredicted: maxPending, Shards: pendingShards}),
		scratchPool:   sync.Pool{New: func() any { return &scratch{} }},
		replicas:      make(map[string]*replicaState),
		bandwidths:    newLinkBandwidths(),
		latencyModels: make(map[string]*latencyModel),
	}
}

// Load returns the load that the router assumes of a replica.
func (r *Router) Load(now time.Duration, address string) Load {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, present := r.replicas[address]
	if !present {
		return Load{}
	}
	return r.blocks(state.load.total(now, &r.options))
}

// IndexStats returns the size of the prefix index.
func (r *Router) IndexStats() prefixindex.Stats { return r.index.Stats() }

// ObserveLinkBandwidth takes in the bandwidth of pulls from one zone to another.
func (r *Router) ObserveLinkBandwidth(fromZone, toZone string, bytesPerSecond float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bandwidths.observe(r.latest, zonePair{from: fromZone, to: toZone}, bytesPerSecond)
}

// Forget drops all that is known of an address that the platform no longer
// lists. Reservations on it may still be finished.
func (r *Router) Forget(address string) {
	r.mutex.Lock()
	state, present := r.replicas[address]
	delete(r.replicas, address)
	r.mutex.Unlock()
	if !present {
		return
	}
	state.feed.forget()
	// Only now can no event of the old address reach the handle any more.
	r.mutex.Lock()
	r.freeOwners = append(r.freeOwners, state.owner)
	r.mutex.Unlock()
}

// Addresses returns, in no order, the addresses that the router knows.
func (r *Router) Addresses() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return lo.Keys(r.replicas)
}

// blocks turns a load in tokens into blocks.
func (r *Router) blocks(tokens load) Load {
	blockTokens := float64(r.options.BlockTokens)
	return Load{
		PrefillBlocks:  tokens.prefillTokens / blockTokens,
		DecodeBlocks:   tokens.decodeTokens / blockTokens,
		ActiveRequests: tokens.requests,
	}
}

// observeTime remembers the newest time. The router's lock is held.
func (r *Router) observeTime(now time.Duration) {
	r.latest = max(r.latest, now)
}
