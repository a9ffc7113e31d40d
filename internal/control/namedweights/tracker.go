package namedweights

import (
	"slices"
	"time"

	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// MaxLeaderGap is how much of the time without a leader counts at most towards the age of a
// version. It includes the time whose ages the earlier leader had not replicated. A longer time
// without a leader means a failure during which the replicas could not be commanded.
const MaxLeaderGap = 3 * time.Second

// maxVersions is the maximum number of versions that are kept for a pool.
const maxVersions = 16

// Version is a weight version that was named for a pool.
type Version struct {
	Name string
	// Since is when the version was named, as far as this node knows. It may be before
	// the start of the process.
	Since time.Duration
	// ReplicatedAge is the greatest age of the version that a leader of the pool's shard
	// has replicated, as far as this node knows; 0 if none.
	ReplicatedAge time.Duration
	// Uncertain means that the version was named before this process knew the pool, and that
	// no leader has replicated a greater age than the first one that the process has read. The
	// version may then have been named up to MaxLeaderGap earlier than known.
	Uncertain bool
}

// Age returns how long ago the version was named, as far as this node knows.
func (v Version) Age(now time.Duration) time.Duration { return now - v.Since }

// EarliestSince returns when the version was named at the earliest.
func (v Version) EarliestSince() time.Duration {
	if v.Uncertain {
		return v.Since - MaxLeaderGap
	}
	return v.Since
}

// ReplicatedUpTo reports whether leaders have replicated an age, or all of it but MaxLeaderGap.
func (v Version) ReplicatedUpTo(age time.Duration) bool {
	return v.ReplicatedAge > 0 && age-v.ReplicatedAge <= MaxLeaderGap
}

// Tracker keeps the versions that were named for pools.
type Tracker struct {
	// deadline is how long after a version was named nodes stop sending requests to
	// replicas that do not run it; 0 means never.
	deadline time.Duration
	pools    map[string]poolVersions
}

// poolVersions are the versions that were named for a pool while it had one model.
type poolVersions struct {
	model string
	// versions are in the order in which they were named.
	versions []Version
}

// New returns a tracker without versions.
func New(deadline time.Duration) *Tracker {
	return &Tracker{deadline: deadline, pools: map[string]poolVersions{}}
}

// Versions returns the versions of a pool in the order in which they were named. Callers must
// not modify them.
func (t *Tracker) Versions(pool string) []Version { return t.pools[pool].versions }

// Update updates the versions of a pool from the version that the configuration names and the
// ages that the leader of the pool's shard has replicated. The versions of another model, which
// the pool had before, do not count.
func (t *Tracker) Update(now time.Duration, pool *ridgeswitchv1.Pool, ages []*controlpb.WeightsAge) {
	entry, known := t.pools[pool.GetName()]
	if entry.model != pool.GetModel() {
		entry, known = poolVersions{model: pool.GetModel()}, false
	}
	versions := t.withNamed(now, pool, entry.versions, known)
	versions = adoptAges(versions, now, lo.Filter(ages, func(age *controlpb.WeightsAge, _ int) bool { return isAgeOf(age, pool) }))
	versions = WithoutSuperseded(versions, t.deadline, func(version Version) time.Duration { return version.ReplicatedAge })
	entry.versions = mergeExcess(versions)
	t.pools[pool.GetName()] = entry
}

// withNamed returns the versions of a pool with the version that the configuration names.
func (t *Tracker) withNamed(now time.Duration, pool *ridgeswitchv1.Pool, versions []Version, known bool) []Version {
	named := pool.GetWeightVersion()
	if last, found := lo.Last(versions); named == "" || found && last.Name == named {
		return versions
	}
	if !pool.GetWeightsInherited() {
		return appendNamed(versions, Version{Name: named, Since: now, Uncertain: !known})
	}
	if inherited := t.versionsOfModel(pool); len(inherited) > 0 {
		return inherited
	}
	// Nobody can tell for how long the version has been named.
	return appendNamed(versions, Version{Name: named, Since: now - t.deadline, ReplicatedAge: t.deadline})
}

// isAgeOf reports whether a replicated age is that of a pool with its present model.
func isAgeOf(age *controlpb.WeightsAge, pool *ridgeswitchv1.Pool) bool {
	return age.GetPool() == pool.GetName() && (age.GetModel() == "" || age.GetModel() == pool.GetModel())
}

// versionsOfModel returns a copy of the versions of another pool of the same model, for which the
// same version was named last, or nil if there is none. Of several pools it is the one whose first
// version was named earliest.
func (t *Tracker) versionsOfModel(pool *ridgeswitchv1.Pool) []Version {
	var earliest []Version
	for name, other := range t.pools {
		last, found := lo.Last(other.versions)
		if !found || name == pool.GetName() || other.model != pool.GetModel() || last.Name != pool.GetWeightVersion() {
			continue
		}
		if earliest == nil || other.versions[0].Since < earliest[0].Since {
			earliest = other.versions
		}
	}
	return slices.Clone(earliest)
}

// Retain drops the versions of all pools except the given ones.
func (t *Tracker) Retain(pools []*ridgeswitchv1.Pool) {
	present := lo.KeyBy(pools, (*ridgeswitchv1.Pool).GetName)
	for name := range t.pools {
		if _, found := present[name]; !found {
			delete(t.pools, name)
		}
	}
}

// DeadlinePassed reports whether any version reached its deadline between the times before
// (exclusive) and now (inclusive).
func (t *Tracker) DeadlinePassed(before, now time.Duration) bool {
	if t.deadline <= 0 {
		return false
	}
	for _, entry := range t.pools {
		for _, version := range entry.versions {
			if deadline := version.Since + t.deadline; before < deadline && now >= deadline {
				return true
			}
		}
	}
	return false
}

// appendNamed appends the version that the configuration names. A version that is named again
// after other versions moves to the end and starts anew.
func appendNamed(versions []Version, named Version) []Version {
	others := lo.Reject(versions, func(version Version, _ int) bool { return version.Name == named.Name })
	return append(others, named)
}

// adoptAges updates versions from the replicated ages, which may include versions from before
// the start of this process. The leader does not replicate the ages of superseded versions. A
// version without a replicated age is therefore dropped as superseded if a later version has a
// replicated age; otherwise it is newer than the versions with replicated ages, and is kept.
func adoptAges(versions []Version, now time.Duration, ages []*controlpb.WeightsAge) []Version {
	if len(versions) == 0 || len(ages) == 0 {
		return versions
	}
	inForce := versions[len(versions)-1]
	var adopted []Version
	for position, replicated := range ages {
		if replicated.GetWeightVersion() == inForce.Name && position < len(ages)-1 {
			// Ages of versions that were named later follow. This age therefore counts
			// from an earlier time at which the current version was named.
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

// adoptAge returns the version whose age was replicated, with that age. Neither the age
// nor the replicated age of a version that this node knows decreases.
func adoptAge(versions []Version, now time.Duration, replicated *controlpb.WeightsAge) Version {
	version, known := lo.Find(versions, func(version Version) bool { return version.Name == replicated.GetWeightVersion() })
	if !known {
		version = Version{Name: replicated.GetWeightVersion(), Since: now, Uncertain: true}
	}
	age := time.Duration(replicated.GetAgeMs()) * time.Millisecond
	version.Since = min(version.Since, now-age)
	if age > version.ReplicatedAge {
		version.Uncertain = version.Uncertain && version.ReplicatedAge == 0
		version.ReplicatedAge = age
	}
	return version
}

// WithoutSuperseded drops the versions before the newest one whose age has reached the
// deadline: a replica that has reached that version need not reach earlier ones.
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

// mergeExcess limits the versions to maxVersions. It removes the version whose successor was
// named soonest after it; the successor takes over its time of naming and its replicated age,
// so that no deadline is extended. The first version stays, since its deadline may have passed.
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
		successor.Uncertain = successor.Uncertain || versions[merged].Uncertain
		successor.ReplicatedAge = max(successor.ReplicatedAge, versions[merged].ReplicatedAge)
		versions = slices.Delete(versions, merged, merged+1)
	}
	return versions
}

// gapAfter returns the time from the naming of a version to that of the next one.
func gapAfter(versions []Version, position int) time.Duration {
	return versions[position+1].Since - versions[position].Since
}
