package namedweights

import (
	"slices"
	"time"

	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// maxVersions bounds the versions that are kept of a pool.
const maxVersions = 16

// Version is a weight version that was named for a pool.
type Version struct {
	Name string
	// Since is from when on this node counts the version as named; it may lie before the
	// start of the process.
	Since time.Duration
	// ReplicatedAge is the age that the leader of the shard has replicated.
	ReplicatedAge time.Duration
}

// Age returns for how long this node counts the version as named.
func (v Version) Age(now time.Duration) time.Duration { return now - v.Since }

// Tracker keeps the versions that were named for pools.
type Tracker struct {
	// deadline is how long after the naming of a version replicas without it are given
	// up; 0 means never.
	deadline time.Duration
	pools    map[string][]Version
}

// New returns a tracker that has seen no version.
func New(deadline time.Duration) *Tracker {
	return &Tracker{deadline: deadline, pools: map[string][]Version{}}
}

// Versions returns the versions of a pool in the order of their naming; read only.
func (t *Tracker) Versions(pool string) []Version { return t.pools[pool] }

// Follow takes the version that the configuration names for a pool, and the ages that the
// leader of the pool's shard has replicated.
func (t *Tracker) Follow(now time.Duration, pool *ridgeswitchv1.Pool, ages []*controlpb.WeightsAge) {
	name := pool.GetName()
	versions := t.pools[name]
	if named := pool.GetWeightVersion(); named != "" {
		versions = appendNamed(versions, named, now)
	}
	versions = adoptAges(versions, now, lo.Filter(ages, func(age *controlpb.WeightsAge, _ int) bool { return age.GetPool() == name }))
	versions = WithoutSuperseded(versions, t.deadline, func(version Version) time.Duration { return version.ReplicatedAge })
	t.pools[name] = mergeExcess(versions)
}

// Retain forgets all pools but those of the configuration.
func (t *Tracker) Retain(pools []*ridgeswitchv1.Pool) {
	present := lo.KeyBy(pools, (*ridgeswitchv1.Pool).GetName)
	for name := range t.pools {
		if _, found := present[name]; !found {
			delete(t.pools, name)
		}
	}
}

// DeadlinePassed reports whether the deadline of a version lies between two instants.
func (t *Tracker) DeadlinePassed(before, now time.Duration) bool {
	if t.deadline <= 0 {
		return false
	}
	for _, versions := range t.pools {
		for _, version := range versions {
			if deadline := version.Since + t.deadline; before < deadline && now >= deadline {
				return true
			}
		}
	}
	return false
}

// appendNamed adds the version in force as the last one. One that is named again after
// others is a new naming.
func appendNamed(versions []Version, named string, now time.Duration) []Version {
	if last, found := lo.Last(versions); found && last.Name == named {
		return versions
	}
	others := lo.Reject(versions, func(version Version, _ int) bool { return version.Name == named })
	return append(others, Version{Name: named, Since: now})
}

// adoptAges takes over replicated ages. They may name versions from before this process.
// What the leader names no more is implied by a later version; what it does not name yet is
// newer than the rest.
func adoptAges(versions []Version, now time.Duration, ages []*controlpb.WeightsAge) []Version {
	if len(versions) == 0 || len(ages) == 0 {
		return versions
	}
	inForce := versions[len(versions)-1]
	var adopted []Version
	for position, replicated := range ages {
		if replicated.GetWeightVersion() == inForce.Name && position < len(ages)-1 {
			// This is the age of an earlier naming.
			continue
		}
		adopted = append(adopted, adoptAge(versions, now, replicated))
	}
	isAdopted := func(version Version) bool {
		return lo.ContainsBy(adopted, func(other Version) bool { return other.Name == version.Name })
	}
	_, last, _ := lo.FindLastIndexOf(versions, isAdopted)
	return append(adopted, versions[last+1:]...)
}

// adoptAge returns a version with its replicated age.
func adoptAge(versions []Version, now time.Duration, replicated *controlpb.WeightsAge) Version {
	version, known := lo.Find(versions, func(version Version) bool { return version.Name == replicated.GetWeightVersion() })
	if !known {
		version = Version{Name: replicated.GetWeightVersion(), Since: now}
	}
	age := time.Duration(replicated.GetAgeMs()) * time.Millisecond
	version.Since = min(version.Since, now-age)
	version.ReplicatedAge = max(version.ReplicatedAge, age)
	return version
}

// WithoutSuperseded drops the versions before the newest whose deadline has passed by an age:
// a replica that has reached that one is not held to any earlier.
func WithoutSuperseded(versions []Version, deadline time.Duration, age func(Version) time.Duration) []Version {
	if deadline <= 0 {
		return versions
	}
	_, newest, found := lo.FindLastIndexOf(versions, func(version Version) bool { return age(version) >= deadline })
	if !found {
		return versions
	}
	return versions[newest:]
}

// mergeExcess bounds the versions: where there are too many, the one that was named soonest
// after another takes over that one's time. The first one may be overdue, and stays.
func mergeExcess(versions []Version) []Version {
	for len(versions) > maxVersions {
		merged := 1
		for position := 2; position < len(versions)-1; position++ {
			if gapAfter(versions, position) < gapAfter(versions, merged) {
				merged = position
			}
		}
		successor := &versions[merged+1]
		successor.Since = min(successor.Since, versions[merged].Since)
		successor.ReplicatedAge = max(successor.ReplicatedAge, versions[merged].ReplicatedAge)
		versions = slices.Delete(versions, merged, merged+1)
	}
	return versions
}

// gapAfter is the time between the naming of a version and that of the next one.
func gapAfter(versions []Version, position int) time.Duration {
	return versions[position+1].Since - versions[position].Since
}
