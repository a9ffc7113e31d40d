package kvrouter

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Stored records that a replica or store reported chunks that it now caches, under
// chained names. The caller must not change the slice afterwards, here as for
// Removed and Reset: an event may be buffered until an earlier one has come.
func (r *Router) Stored(now time.Duration, address string, incarnation, sequence uint64, links []prefixindex.Link) FeedStatus {
	return r.handleEvent(now, address, incarnation, event{kind: storedEvent, sequence: sequence, links: links})
}

// Removed records that a replica or store reported chunks that it evicted.
func (r *Router) Removed(now time.Duration, address string, incarnation, sequence uint64, hashes []prefixindex.ChainHash) FeedStatus {
	return r.handleEvent(now, address, incarnation, event{kind: removedEvent, sequence: sequence, hashes: hashes})
}

// Reset records that links is all that a replica or store cached when it had sent
// the events up to sequence. It makes the chunks certain again after lost events.
func (r *Router) Reset(now time.Duration, address string, incarnation, sequence uint64, links []prefixindex.Link) FeedStatus {
	return r.handleEvent(now, address, incarnation, event{kind: resetEvent, sequence: sequence, links: links})
}

// handleEvent passes an event to the feed of its owner.
func (r *Router) handleEvent(now time.Duration, address string, incarnation uint64, received event) FeedStatus {
	state := r.state(now, address)
	status, restarted := state.feed.handleEvent(now, incarnation, received)
	if restarted {
		r.handleRestart(now, state)
	}
	return status
}

// ObserveWeightVersion records that a response of a replica came from a weight
// version. Another version than the last one discards all that the replica
// reported before.
func (r *Router) ObserveWeightVersion(now time.Duration, address, version string) {
	r.state(now, address).feed.observeWeightVersion(version)
}

// ResyncNeeded returns, in order, the addresses whose events were lost, and that
// should be asked for a reset.
func (r *Router) ResyncNeeded(now time.Duration) []string {
	r.mutex.Lock()
	states := lo.Values(r.replicas.byAddress)
	r.mutex.Unlock()
	var addresses []string
	for _, state := range states {
		if state.feed.view(now).resyncNeeded {
			addresses = append(addresses, state.address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// state returns the state of an address, under the lock. The caller may use its
// feed without the lock.
func (r *Router) state(now time.Duration, address string) *replicaState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observeTime(now)
	return r.replicas.state(now, address)
}

// existingState returns the state of an address, or nil when there is none.
func (r *Router) existingState(address string) *replicaState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.replicas.byAddress[address]
}

func (r *Router) handleRestart(now time.Duration, state *replicaState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state.restart(now)
}
