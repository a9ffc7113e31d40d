package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// ring lists the other members in the order in which they follow this node on a hash ring.
type ring struct {
	origin     uint64
	successors []ringMember
}

// ringMember is a member and its distance from this node on the ring.
type ringMember struct {
	distance uint64
	id       member.ID
}

// ringPosition returns the position of a member on the ring.
func ringPosition(id member.ID) uint64 {
	return xxhash.Sum64String(string(id))
}

func newRing(origin member.ID) ring {
	return ring{origin: ringPosition(origin)}
}

// memberAt returns a member with its distance. Unsigned subtraction wraps around, so the
// distance is right also across the end of the hash range.
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

// monitorChoice selects monitors from candidates that are offered in ring order: first the
// nearest candidate of each zone, then the nearest of the others, so that the loss of a zone
// affects as few monitors as possible.
type monitorChoice struct {
	count int
	// perZone are the nearest members of distinct zones.
	perZone []member.Info
	// rest are the nearest members that aren't in perZone.
	rest []member.Info
}

// offer considers the next candidate in ring order.
func (c *monitorChoice) offer(candidate member.Info) {
	sameZone := func(chosen member.Info) bool { return chosen.Zone == candidate.Zone }
	switch {
	case len(c.perZone) < c.count && !slices.ContainsFunc(c.perZone, sameZone):
		c.perZone = append(c.perZone, candidate)
	case len(c.rest) < c.count:
		c.rest = append(c.rest, candidate)
	}
}

// complete reports whether the choice is final, so that no further candidate can be chosen.
func (c *monitorChoice) complete() bool {
	return len(c.perZone) == c.count
}

// chosen returns at most limit monitors, the preferred ones first.
func (c *monitorChoice) chosen(limit int) []member.ID {
	var ids []member.ID
	for _, info := range slices.Concat(c.perZone, c.rest) {
		if len(ids) < limit {
			ids = append(ids, info.ID)
		}
	}
	return ids
}
