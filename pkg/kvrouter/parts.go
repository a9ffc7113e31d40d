package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Feed tells where a batch of part changes stands among all that a replica or
// store has reported.
type Feed struct {
	// Incarnation changes with each start of the holder. Incarnations have
	// no order.
	Incarnation uint64
	// From is the sequence number after which the batch begins, and Next the
	// last one that it covers: what to ask for changes after.
	From, Next uint64
	// Lost tells that changes before this batch are gone for good.
	Lost bool
}

// PartChange is what a holder reported of one part.
type PartChange struct {
	// Sequence is the number of the change; 0 when it is not known.
	Sequence uint64
	// Name is that of prefixindex.NamedPart; 0 to make it of the three texts.
	Name  prefixindex.ChainHash
	Salt  string
	Model string
	ID    string
	// Tokens is what the holder keeps of the part now, from its beginning. It
	// may be less than the part, and more than 0 for a removal.
	Tokens  uint32
	Removed bool
}

// IndexName returns the name of the part in the index.
func (c PartChange) IndexName() prefixindex.ChainHash {
	if c.Name != 0 {
		return c.Name
	}
	return prefixindex.NamedPart(c.Model, c.Salt, c.ID)
}

// PartsReported takes in a batch of changes that a replica or store reported of
// parts by their own IDs. Batches may come doubled, late and out of order. Where
// some are lost, everything that the holder reported before becomes a guess,
// which ends after the DoubtTTL unless it is reported again.
func (r *Router) PartsReported(now time.Duration, address string, batch Feed, changes []PartChange) FeedStatus {
	known := r.stateOf(now, address)
	status, restarted := known.feed.takeParts(now, batch, changes)
	if restarted {
		r.restarted(now, known)
	}
	return status
}

// PartsListed takes in all that a replica or store keeps after the change with
// the given sequence number. It replaces everything that was known.
func (r *Router) PartsListed(now time.Duration, address string, incarnation, sequence uint64, parts []PartChange) FeedStatus {
	known := r.stateOf(now, address)
	status, restarted := known.feed.takeList(now, incarnation, sequence, parts)
	if restarted {
		r.restarted(now, known)
	}
	return status
}

// PartsPosition returns the incarnation and the sequence number of the newest
// change of a holder that was taken in. Known is false when there was none.
func (r *Router) PartsPosition(address string) (incarnation, sequence uint64, known bool) {
	r.mutex.Lock()
	state, present := r.replicas[address]
	r.mutex.Unlock()
	if !present {
		return 0, 0, false
	}
	return state.feed.partsPosition()
}

// PartsWhole tells whether all that a holder keeps is known: it was followed from
// its beginning or from a list on, without a gap.
func (r *Router) PartsWhole(address string) bool {
	r.mutex.Lock()
	state, present := r.replicas[address]
	r.mutex.Unlock()
	return present && state.feed.partsWhole()
}

// Observe takes in that another router has sent a request to a replica, which
// therefore probably keeps the parts soon. A request that saves parts to a store
// is observed for the store as well.
func (r *Router) Observe(now time.Duration, address, model, cacheSalt string, naming Naming, parts []prefixindex.Part) {
	r.ObserveLinks(now, address, naming.Links(model, cacheSalt, parts))
}

// ObserveLinks is Observe for parts that are named already.
func (r *Router) ObserveLinks(now time.Duration, address string, links []prefixindex.Link) {
	known := r.stateOf(now, address)
	view := known.feed.view(now)
	switch {
	case r.options.Off.Expectations:
	case view.reports:
		known.feed.expect(now, links)
	default:
		known.feed.predict(now, view.life, links)
	}
}
