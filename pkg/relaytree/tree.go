package relaytree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Member is a live node as the tree sees it.
type Member struct {
	ID   member.ID
	Zone string
}

// position is one node's place in the tree of one root.
type position struct {
	// parent is empty at the root.
	parent   member.ID
	children []member.ID
}

// placeInTree returns the place of self in the tree that every node derives
// from the same root and members. The root feeds one entry node in each other
// zone, and each entry node feeds its zone. Both levels are heaps with fanOut
// children a node, so that a node has at most twice fanOut children.
func placeInTree(self, root member.ID, members []Member, fanOut int) position {
	var entries []member.ID
	var zones []string
	within := map[string][]member.ID{}
	for _, m := range orderForRoot(root, members) {
		if len(within[m.Zone]) == 0 {
			entries = append(entries, m.ID)
			zones = append(zones, m.Zone)
		}
		within[m.Zone] = append(within[m.Zone], m.ID)
	}
	place := placeInHeap(self, entries, fanOut)
	for _, zone := range zones {
		inZone := placeInHeap(self, within[zone], fanOut)
		place.parent = cmp.Or(place.parent, inZone.parent)
		place.children = append(place.children, inZone.children...)
	}
	return place
}

// orderForRoot puts the root first and the others in an order that differs
// between roots, so that the inner nodes differ as well. While the root isn't
// live, the first of the others stands in.
func orderForRoot(root member.ID, members []Member) []Member {
	weighed := make([]weighedMember, len(members))
	for i, m := range members {
		weighed[i] = weighedMember{Member: m, weight: weightForRoot(root, m.ID)}
	}
	slices.SortFunc(weighed, func(a, b weighedMember) int {
		if a.weight != b.weight {
			return cmp.Compare(a.weight, b.weight)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	ordered := make([]Member, len(members))
	for i, m := range weighed {
		ordered[i] = m.Member
	}
	return ordered
}

// weighedMember is a member with its weight for one root.
type weighedMember struct {
	Member
	weight uint64
}

// weightForRoot is the place of a member in a root's order; the root comes first.
func weightForRoot(root, id member.ID) uint64 {
	if id == root {
		return 0
	}
	return xxhash.Sum64String(string(root) + "\x00" + string(id))
}

// placeInHeap reads nodes as a heap in which each has fanOut children.
func placeInHeap(self member.ID, nodes []member.ID, fanOut int) position {
	at := slices.Index(nodes, self)
	if at < 0 {
		return position{}
	}
	var place position
	if at > 0 {
		place.parent = nodes[(at-1)/fanOut]
	}
	first := min(at*fanOut+1, len(nodes))
	end := min(first+fanOut, len(nodes))
	place.children = slices.Clone(nodes[first:end])
	return place
}
