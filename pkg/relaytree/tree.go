package relaytree

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Member is a live node and its zone.
type Member struct {
	ID   member.ID
	Zone string
}

// treePosition is one node's position in the tree of one root.
type treePosition struct {
	// parent is empty at the root.
	parent   member.ID
	children []member.ID
}

// positionInTree returns the position of self in the tree of a root. The tree depends only
// on the root, the members and fanOut, so that all nodes with the same members derive the
// same tree. It has two levels: a tree of one entry node per zone, with the root at its top,
// and in each zone a tree of its nodes, with the entry node at its top. Both are fanOut-ary
// trees in heap order, so that a node has at most twice fanOut children.
func positionInTree(self, root member.ID, members []Member, fanOut int) treePosition {
	var entries []member.ID
	var zones []string
	byZone := map[string][]member.ID{}
	for _, m := range orderForRoot(root, members) {
		if len(byZone[m.Zone]) == 0 {
			entries = append(entries, m.ID)
			zones = append(zones, m.Zone)
		}
		byZone[m.Zone] = append(byZone[m.Zone], m.ID)
	}
	position := positionInHeap(self, entries, fanOut)
	for _, zone := range zones {
		inZone := positionInHeap(self, byZone[zone], fanOut)
		position.parent = cmp.Or(position.parent, inZone.parent)
		position.children = append(position.children, inZone.children...)
	}
	return position
}

// orderForRoot returns the members with the root first and the others in an order that
// depends on the root, so that the trees of different roots have different inner nodes. If
// the root is not among the members, the first member of the order takes its place.
func orderForRoot(root member.ID, members []Member) []Member {
	weighted := make([]weightedMember, len(members))
	for i, m := range members {
		weighted[i] = weightedMember{Member: m, weight: weightForRoot(root, m.ID)}
	}
	slices.SortFunc(weighted, func(a, b weightedMember) int {
		if a.weight != b.weight {
			return cmp.Compare(a.weight, b.weight)
		}
		return cmp.Compare(a.ID, b.ID)
	})
	ordered := make([]Member, len(members))
	for i, m := range weighted {
		ordered[i] = m.Member
	}
	return ordered
}

// weightedMember is a member with its weight for one root.
type weightedMember struct {
	Member
	weight uint64
}

// weightForRoot returns the sort key of a member in the order of a root. That of the root
// itself is 0, so that it comes first.
func weightForRoot(root, id member.ID) uint64 {
	if id == root {
		return 0
	}
	return xxhash.Sum64String(string(root) + "\x00" + string(id))
}

// positionInHeap returns the position of self in the tree that nodes form in heap order,
// with up to fanOut children per node. It is empty if self is not among the nodes.
func positionInHeap(self member.ID, nodes []member.ID, fanOut int) treePosition {
	index := slices.Index(nodes, self)
	if index < 0 {
		return treePosition{}
	}
	var position treePosition
	if index > 0 {
		position.parent = nodes[(index-1)/fanOut]
	}
	first := min(index*fanOut+1, len(nodes))
	end := min(first+fanOut, len(nodes))
	position.children = slices.Clone(nodes[first:end])
	return position
}
