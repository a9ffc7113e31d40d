package claims

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Set is one agreed set of nodes. Equal epochs name equal sets.
type Set struct {
	Epoch   uint64
	Members []member.ID
}

// directory is the sets that have to agree to a claim, the newest last.
type directory []Set

// epoch returns the epoch of the newest set.
func (d directory) epoch() uint64 {
	if len(d) == 0 {
		return 0
	}
	return d[len(d)-1].Epoch
}

// homes returns the homes of a key in each set.
func (d directory) homes(key Key, count int) [][]member.ID {
	homes := make([][]member.ID, len(d))
	for i, set := range d {
		homes[i] = homesOf(set.Members, key, count)
	}
	return homes
}

// ranked is a node with its weight for a key.
type ranked struct {
	id     member.ID
	weight uint64
}

// homesOf returns the nodes with the greatest weights for a key. The loss or
// addition of a node moves only the keys that it is a home of.
func homesOf(members []member.ID, key Key, count int) []member.ID {
	all := make([]ranked, len(members))
	for i, id := range members {
		all[i] = ranked{id: id, weight: xxhash.Sum64(append(key[:len(key):len(key)], id...))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	homes := make([]member.ID, min(count, len(all)))
	for i := range homes {
		homes[i] = all[i].id
	}
	return homes
}

// majority returns how many of a number of homes are a majority.
func majority(homes int) int {
	return homes/2 + 1
}
