package listing

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Replica is one back end in the platform's list.
type Replica struct {
	Service string
	Address string
	Zone    string
	// Instance identifies the incarnation of the back end; empty if the platform does
	// not tell.
	Instance string
	// WeightVersion is the version that the platform's list shows, which may be
	// outdated; empty if the list shows none.
	WeightVersion string
	// Slots is how many requests the back end processes concurrently; 0 if unknown.
	Slots    int
	Draining bool
	// WarmingUntil is when the warm-up of the back end ends; 0 if it is warm. In
	// readings it is on the clock of the reader, in whole milliseconds; the list that
	// Machine.Replicas returns has it on the clock of the node.
	WarmingUntil time.Duration
}

// key identifies a back end within a list.
type key struct {
	service, address string
}

func (r Replica) key() key { return key{service: r.Service, address: r.Address} }

// compareReplicas orders a list by service and address.
func compareReplicas(a, b Replica) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
}

// sorted returns a sorted copy of a list without duplicates.
func sorted(replicas []Replica) []Replica {
	ordered := slices.Clone(replicas)
	slices.SortStableFunc(ordered, compareReplicas)
	return slices.CompactFunc(ordered, func(a, b Replica) bool { return a.key() == b.key() })
}

// digestOf returns the digest of a sorted list. It is never 0, which as Reading.Base means
// that there is no base.
func digestOf(replicas []Replica) uint64 {
	digest := xxhash.New()
	for _, replica := range replicas {
		for _, text := range []string{replica.Service, replica.Address, replica.Zone, replica.Instance, replica.WeightVersion} {
			writeNumber(digest, uint64(len(text)))
			_, _ = digest.WriteString(text)
		}
		writeNumber(digest, uint64(replica.Slots))
		writeNumber(digest, uint64(replica.WarmingUntil))
		if replica.Draining {
			_, _ = digest.WriteString("draining")
		}
	}
	return max(1, digest.Sum64())
}

func writeNumber(digest *xxhash.Digest, number uint64) {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], number)
	_, _ = digest.Write(encoded[:])
}

// change is a replica that is new or different in a list compared to its base, or that is
// gone from the list.
type change struct {
	replica Replica
	gone    bool
}

// changesBetween returns the changes that lead from one sorted list to another.
func changesBetween(before, after []Replica) []change {
	known := byKey(before)
	var changes []change
	for _, replica := range after {
		if earlier, found := known[replica.key()]; !found || earlier != replica {
			changes = append(changes, change{replica: replica})
		}
		delete(known, replica.key())
	}
	for _, replica := range before {
		if _, left := known[replica.key()]; left {
			changes = append(changes, change{replica: Replica{Service: replica.Service, Address: replica.Address}, gone: true})
		}
	}
	return changes
}

// apply returns the sorted list that results from applying changes to base.
func apply(base []Replica, changes []change) []Replica {
	known := byKey(base)
	for _, one := range changes {
		if one.gone {
			delete(known, one.replica.key())
		} else {
			known[one.replica.key()] = one.replica
		}
	}
	changed := make([]Replica, 0, len(known))
	for _, replica := range known {
		changed = append(changed, replica)
	}
	slices.SortFunc(changed, compareReplicas)
	return changed
}

func byKey(replicas []Replica) map[key]Replica {
	known := make(map[key]Replica, len(replicas))
	for _, replica := range replicas {
		known[replica.key()] = replica
	}
	return known
}

// intersect combines two lists of which either may be the later one. It returns the
// replicas that both lists contain in the same incarnation; a replica that drains in either
// list is draining in the result. The other attributes are those of the second list.
func intersect(one, other []Replica) []Replica {
	known := byKey(one)
	var allowed []Replica
	for _, replica := range other {
		counterpart, found := known[replica.key()]
		if !found || counterpart.Instance != replica.Instance {
			continue
		}
		replica.Draining = replica.Draining || counterpart.Draining
		allowed = append(allowed, replica)
	}
	return allowed
}

// onClock returns a copy of a list with its warm-up times shifted to another clock.
func onClock(replicas []Replica, shift time.Duration) []Replica {
	shifted := slices.Clone(replicas)
	for position := range shifted {
		if shifted[position].WarmingUntil > 0 {
			shifted[position].WarmingUntil += shift
		}
	}
	return shifted
}
