package listing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Member is a live node of the deployment.
type Member struct {
	ID   member.ID
	Zone string
	// HasDisk members precede others in the order of readers.
	HasDisk bool
	// Suspect members may have failed; members that are not suspect precede them.
	Suspect bool
	// weight orders members that are equal in HasDisk and Suspect.
	weight uint64
}

// compareReaders orders members as readers of the list: members that are not suspect
// first, then members with a disk, then by descending weight.
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

// weightOf returns the weight of a member: a hash of its ID, so that all nodes compute the
// same order. The member with the highest weight reads first.
func weightOf(id member.ID) uint64 { return xxhash.Sum64String("list reader " + string(id)) }

// precedes reports whether the readings of a replace those of b when both nodes became the
// reader in the same term.
func precedes(a, b member.ID) bool {
	return cmp.Or(cmp.Compare(weightOf(b), weightOf(a)), cmp.Compare(a, b)) < 0
}

// readerOrder owns the live members of the deployment, in the order of readers.
type readerOrder struct {
	self    member.ID
	zone    string
	members []Member
}

// set replaces the live members.
func (o *readerOrder) set(members []Member) {
	o.members = slices.Clone(members)
	for position := range o.members {
		o.members[position].weight = weightOf(o.members[position].ID)
	}
	slices.SortFunc(o.members, compareReaders)
}

// alone reports whether no other member is known.
func (o *readerOrder) alone() bool { return len(o.members) <= 1 }

// others returns the members other than this node.
func (o *readerOrder) others() []Member {
	return slices.DeleteFunc(slices.Clone(o.members), func(one Member) bool { return one.ID == o.self })
}

// has reports whether a node is a live member.
func (o *readerOrder) has(id member.ID) bool {
	return slices.ContainsFunc(o.members, func(one Member) bool { return one.ID == id })
}

// rank returns how many members precede this node in the order of readers, not counting
// the given reader, which is assumed to have stopped responding. If this node is the given
// reader, all other members precede it.
func (o *readerOrder) rank(reader member.ID) int {
	rank := 0
	for _, one := range o.members {
		switch one.ID {
		case o.self:
			if reader != o.self {
				return rank
			}
		case reader:
		default:
			rank++
		}
	}
	return rank
}

// otherZones returns the zones of the members outside this node's zone, sorted.
func (o *readerOrder) otherZones() []string {
	var zones []string
	for _, one := range o.members {
		if one.Zone != o.zone {
			zones = append(zones, one.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// firstOfZone returns the member that forwards readings within a zone: the first one of
// the zone in the order of readers.
func (o *readerOrder) firstOfZone(zone string) member.ID {
	for _, one := range o.members {
		if one.Zone == zone {
			return one.ID
		}
	}
	return ""
}
