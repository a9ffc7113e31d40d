package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// ringPosition is the place of a member on the ring.
func ringPosition(id member.ID) uint64 {
	return xxhash.Sum64String(string(id))
}

// ringSuccessors sorts candidates by their distance after self on the ring.
func ringSuccessors(self member.ID, candidates []member.Info) []member.Info {
	origin := ringPosition(self)
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b member.Info) int {
		// Unsigned subtraction wraps, which closes the ring.
		return cmp.Or(
			cmp.Compare(ringPosition(a.ID)-origin, ringPosition(b.ID)-origin),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return sorted
}

// chooseMonitors takes count successors, first one from each zone and then in
// plain order, so that the loss of one zone takes as few as possible.
func chooseMonitors(successors []member.Info, count int) []member.ID {
	var chosen []member.ID
	zones := map[string]bool{}
	for _, candidate := range successors {
		if len(chosen) < count && !zones[candidate.Zone] {
			zones[candidate.Zone] = true
			chosen = append(chosen, candidate.ID)
		}
	}
	for _, candidate := range successors {
		if len(chosen) < count && !slices.Contains(chosen, candidate.ID) {
			chosen = append(chosen, candidate.ID)
		}
	}
	slices.Sort(chosen)
	return chosen
}
