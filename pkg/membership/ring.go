package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// ring lists the other members in the order in which they follow one origin on
// a circle of hashes.
type ring struct {
	origin     uint64
	successors []ringMember
}

// ringMember is a member and its distance from the origin.
type ringMember struct {
	distance uint64
	id       member.ID
}

// ringPosition is the place of a member on the circle.
func ringPosition(id member.ID) uint64 {
	return xxhash.Sum64String(string(id))
}

func newRing(origin member.ID) ring {
	return ring{origin: ringPosition(origin)}
}

// memberAt works out a member's distance. Unsigned subtraction wraps, which closes
// the circle.
func (r *ring) memberAt(id member.ID) ringMember {
	return ringMember{distance: ringPosition(id) - r.origin, id: id}
}

func (r *ring) insert(id member.ID) {
	inserted := r.memberAt(id)
	at, found := slices.BinarySearchFunc(r.successors, inserted, compareRingMembers)
	if !found {
		r.successors = slices.Insert(r.successors, at, inserted)
	}
}

func (r *ring) remove(id member.ID) {
	at, found := slices.BinarySearchFunc(r.successors, r.memberAt(id), compareRingMembers)
	if found {
		r.successors = slices.Delete(r.successors, at, at+1)
	}
}

func compareRingMembers(a, b ringMember) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.id, b.id))
}

// monitorChoice collects monitors in ring order: first one from each zone, then
// the nearest of the rest, so that the loss of a zone takes as few as possible.
type monitorChoice struct {
	count int
	// perZone are the nearest members of distinct zones.
	perZone []member.Info
	// rest are the nearest members that perZone passed over.
	rest []member.Info
}

// offer considers the next member of the ring.
func (c *monitorChoice) offer(candidate member.Info) {
	sameZone := func(chosen member.Info) bool { return chosen.Zone == candidate.Zone }
	switch {
	case len(c.perZone) < c.count && !slices.ContainsFunc(c.perZone, sameZone):
		c.perZone = append(c.perZone, candidate)
	case len(c.rest) < c.count:
		c.rest = append(c.rest, candidate)
	}
}

// complete tells whether no later member can be chosen.
func (c *monitorChoice) complete() bool {
	return len(c.perZone) == c.count
}

// chosen returns at most limit monitors.
func (c *monitorChoice) chosen(limit int) []member.ID {
	var ids []member.ID
	for _, info := range slices.Concat(c.perZone, c.rest) {
		if len(ids) < limit {
			ids = append(ids, info.ID)
		}
	}
	return ids
}
