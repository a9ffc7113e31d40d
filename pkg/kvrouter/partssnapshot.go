package kvrouter

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// PartsSnapshot returns all that a replica or store is known to keep, as of the
// change Feed.Next. Feed.Lost tells that it may keep more. Known is false for a
// holder that has reported nothing.
func (r *Router) PartsSnapshot(address string) (at Feed, parts []PartChange, known bool) {
	r.mutex.Lock()
	state, present := r.replicas[address]
	r.mutex.Unlock()
	if !present {
		return Feed{}, nil, false
	}
	return state.feed.partsSnapshot()
}

// AdoptParts takes in a snapshot that another router has made, see
// PartsSnapshot. The changes that this router has followed itself are newer than
// the snapshot and stay. A snapshot that tells nothing new, or that leaves a gap
// before those changes, is Stale and changes nothing.
func (r *Router) AdoptParts(now time.Duration, address string, at Feed, parts []PartChange) FeedStatus {
	return r.stateOf(now, address).feed.adopt(now, at, parts)
}

// partsSnapshot returns what the holder is known to keep.
func (f *feed) partsSnapshot() (at Feed, parts []PartChange, known bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.forgotten || !f.parts.seen {
		return Feed{}, nil, false
	}
	parts = lo.Map(f.index.Held(f.holder), func(link prefixindex.Link, _ int) PartChange {
		return PartChange{Name: link.Hash, Tokens: link.Tokens}
	})
	return Feed{Incarnation: f.incarnation, Next: f.parts.position, Lost: f.lost}, parts, true
}

// adopt takes in a snapshot of another router.
func (f *feed) adopt(now time.Duration, at Feed, parts []PartChange) FeedStatus {
	f.mutex.Lock()
	defer f.unlock()
	if f.forgotten || (f.started && at.Incarnation != f.incarnation) {
		// A snapshot is no sign of a new start: it may be an old one.
		return Stale
	}
	if current, _ := f.enterUnordered(now, at.Incarnation); !current {
		return Stale
	}
	newer := !f.parts.seen || (f.lost && !at.Lost && at.Next >= f.parts.position)
	switch {
	case newer:
		f.replaceParts(now, at.Next, parts)
	case f.parts.touched != nil && at.Next >= f.parts.begun:
		f.addBeneath(parts)
	default:
		return Stale
	}
	f.lost = at.Lost
	return Accepted
}

// addBeneath adds what was kept when the feed began. The parts that have changed
// since are known better.
func (f *feed) addBeneath(parts []PartChange) {
	touched := f.parts.touched
	f.parts.touched = nil
	for _, part := range parts {
		if _, changed := touched[part.IndexName()]; !changed {
			f.hold(part)
		}
	}
	f.announce()
}
