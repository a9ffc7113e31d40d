package listing

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Member is a live node of the deployment.
type Member struct {
	ID   member.ID
	Zone string
	// HasDisk members read the list before others.
	HasDisk bool
	// Suspect members may be gone; others are preferred to them.
	Suspect bool
	// weight orders members that are alike otherwise.
	weight uint64
}

// compareReaders orders members as readers of the list: those that nobody
// suspects first, then those with a disk, then by weight.
func compareReaders(a, b Member) int {
	return cmp.Or(
		compareBools(b.Suspect, a.Suspect),
		compareBools(a.HasDisk, b.HasDisk),
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareBools orders true first.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// weightOf is the weight of a member; the highest one reads first.
func weightOf(id member.ID) uint64 { return xxhash.Sum64String("list reader " + string(id)) }

// precedes reports whether one of two readers that know nothing of each other wins.
func precedes(a, b member.ID) bool {
	return cmp.Or(cmp.Compare(weightOf(b), weightOf(a)), cmp.Compare(a, b)) < 0
}

// SetMembers takes the live members of the deployment.
func (m *Machine) SetMembers(members []Member) {
	m.members = slices.Clone(members)
	for position := range m.members {
		m.members[position].weight = weightOf(m.members[position].ID)
	}
	slices.SortFunc(m.members, compareReaders)
	if !m.current.present && !m.requestedFirst && len(m.others()) > 0 {
		m.requestedFirst = true
		m.nextRequest = m.now
	}
}

// others are the members without this node, in the order of readers.
func (m *Machine) others() []Member {
	return slices.DeleteFunc(slices.Clone(m.members), func(one Member) bool { return one.ID == m.config.Self })
}

// isMember reports whether a node is a live member.
func (m *Machine) isMember(id member.ID) bool {
	return slices.ContainsFunc(m.members, func(one Member) bool { return one.ID == id })
}

// rank is how many members read the list before this node once the present reader
// does not respond.
func (m *Machine) rank() int {
	rank := 0
	for _, one := range m.members {
		switch one.ID {
		case m.config.Self:
			if m.current.version.Reader != m.config.Self {
				return rank
			}
		case m.current.version.Reader:
		default:
			rank++
		}
	}
	return rank
}

// takeOverSteps is after how many steps of patience a node of a rank reads. The steps
// hold one, one, two, four nodes and so on, so that the last of many nodes does
// not wait for long, and few read in vain while the first are gone.
func takeOverSteps(rank int) int { return bits.Len(uint(rank)) }
