package listing

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Replica is one listed back end.
type Replica struct {
	Service string
	Address string
	Zone    string
	// Instance names the incarnation of the back end; empty if the platform has no
	// such name.
	Instance string
	// WeightVersion is the version that the list shows, which may lag; empty if it
	// shows none.
	WeightVersion string
	// Slots is how many requests it works on at once; 0 if unknown.
	Slots    int
	Draining bool
	// WarmingUntil is until when it warms up; 0 if it is warm. Within the machine it
	// is on the clock of the reader, in whole milliseconds; Machine.Replicas tells
	// it on that of the node.
	WarmingUntil time.Duration
}

// key names a back end within a list.
type key struct {
	service, address string
}

func (r Replica) key() key { return key{service: r.Service, address: r.Address} }

// compareReplicas orders a list.
func compareReplicas(a, b Replica) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
}

// sorted returns a copy in order, without double entries.
func sorted(replicas []Replica) []Replica {
	ordered := slices.Clone(replicas)
	slices.SortStableFunc(ordered, compareReplicas)
	return slices.CompactFunc(ordered, func(a, b Replica) bool { return a.key() == b.key() })
}

// digestOf is the digest of a sorted list; never 0.
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

// change is a replica that a list has in another form than its base, or no more.
type change struct {
	replica Replica
	gone    bool
}

// changesBetween lists what makes one sorted list into another.
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

// apply returns a sorted list with changes made.
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

// intersect is what two lists of unknown order agree on: the replicas that
// both have in the same incarnation, draining if either says so.
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

// onClock returns a list whose warm-up times are shifted to another clock.
func onClock(replicas []Replica, shift time.Duration) []Replica {
	shifted := slices.Clone(replicas)
	for position := range shifted {
		if shifted[position].WarmingUntil > 0 {
			shifted[position].WarmingUntil += shift
		}
	}
	return shifted
}
