package claims

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Set is a set of nodes on which all nodes agree. Sets of the same epoch are equal.
type Set struct {
	Epoch   uint64
	Members []member.ID
}

// directory contains the sets, each of which has to grant a claim by a majority of its homes.
// The newest set is the last.
type directory []Set

// epoch returns the epoch of the newest set; 0 if there is none.
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

// homesOf returns the homes of a key by rendezvous hashing: the count nodes with the greatest
// weights for the key. The removal or addition of a node changes the homes only of the keys
// of which that node is a home.
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

// majority returns the smallest number of homes that is a majority of the given number.
func majority(homes int) int {
	return homes/2 + 1
}
