package relaytree

import (
	"cmp"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// topology owns this node's view of the trees: the live members, the root of each topic,
// and this node's positions in the trees, which are derived from both.
type topology struct {
	self   member.ID
	fanOut int
	// members are the live members, this node included.
	members []Member
	roots   map[Topic]member.ID
	// positions caches this node's position in the tree of each root. It is cleared
	// when members or roots change.
	positions map[member.ID]treePosition
}

// setMembers replaces the live members, and adds this node if it isn't among them. It
// reports whether the members changed.
func (t *topology) setMembers(members []Member) bool {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	isSelf := func(other Member) bool { return other.ID == t.self }
	if !slices.ContainsFunc(sorted, isSelf) {
		sorted = append(sorted, Member{ID: t.self})
	}
	if slices.Equal(sorted, t.members) {
		return false
	}
	t.members = sorted
	t.positions = map[member.ID]treePosition{}
	return true
}

// setRoot sets the root of a topic. It reports whether the root changed.
func (t *topology) setRoot(topic Topic, root member.ID) bool {
	if t.roots[topic] == root {
		return false
	}
	t.roots[topic] = root
	t.positions = map[member.ID]treePosition{}
	return true
}

// position returns this node's position in the tree of a topic. If the root of the topic
// isn't known, the position has neither parent nor children.
func (t *topology) position(topic Topic) treePosition {
	root, known := t.roots[topic]
	if !known {
		return treePosition{}
	}
	position, cached := t.positions[root]
	if !cached {
		position = positionInTree(t.self, root, t.members, t.fanOut)
		t.positions[root] = position
	}
	return position
}

// parents returns this node's parents in the trees of all topics, sorted.
func (t *topology) parents() []member.ID {
	var parents []member.ID
	for topic := range t.roots {
		if parent := t.position(topic).parent; parent != "" {
			parents = append(parents, parent)
		}
	}
	slices.Sort(parents)
	return slices.Compact(parents)
}

// others returns the live members except this node.
func (t *topology) others() []Member {
	return slices.DeleteFunc(slices.Clone(t.members), func(other Member) bool { return other.ID == t.self })
}
