package rollout

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
)

// ageInterval is how often the leader replicates the ages of weights.
const ageInterval = time.Second

// weightsAges computes the ages of the versions of a shard's pools on the leader. A new one
// is created for each term of leadership.
type weightsAges struct {
	// uncounted is how much of the age of a version on this node does not count, by pool
	// and version.
	uncounted map[string]map[string]time.Duration
}

func newWeightsAges() *weightsAges {
	return &weightsAges{uncounted: map[string]map[string]time.Duration{}}
}

// update replaces the versions of a pool by those that the node knows now.
func (a *weightsAges) update(now time.Duration, pool string, versions []namedweights.Version) {
	next := make(map[string]time.Duration, len(versions))
	for _, version := range versions {
		uncounted, known := a.uncounted[pool][version.Name]
		if !known {
			uncounted = max(0, version.Age(now)-version.ReplicatedAge-namedweights.MaxLeaderGap)
		}
		next[version.Name] = uncounted
	}
	a.uncounted[pool] = next
}

// since returns the time from which the age of a version counts.
func (a *weightsAges) since(pool string, version namedweights.Version) time.Duration {
	return version.Since + a.uncounted[pool][version.Name]
}

// firstUnreached returns the time from which the age of the oldest version counts that a
// replica has not reached; false if the replica has reached all versions.
func (a *weightsAges) firstUnreached(pool, running string, versions []namedweights.Version) (time.Duration, bool) {
	for position, version := range versions {
		if !VersionReachedAnyOf(running, versions[position:]) {
			return a.since(pool, version), true
		}
	}
	return 0, false
}

// toReplicate returns the ages of the versions of pools, or nil if none of them has to be
// replicated now. An age is due ageInterval after the last one that was replicated, and when
// it reaches the deadline.
func (a *weightsAges) toReplicate(now time.Duration, pools []Pool, deadline time.Duration) []*controlpb.WeightsAge {
	if deadline <= 0 {
		return nil
	}
	var ages []*controlpb.WeightsAge
	due := false
	for _, pool := range pools {
		name := pool.Config.GetName()
		ageOf := func(version namedweights.Version) time.Duration { return now - a.since(name, version) }
		for _, version := range namedweights.WithoutSuperseded(pool.Named, deadline, ageOf) {
			age := min(ageOf(version), deadline)
			due = due || age > version.ReplicatedAge && (age == deadline || age >= version.ReplicatedAge+ageInterval)
			ages = append(ages, &controlpb.WeightsAge{
				Pool:          name,
				Model:         pool.Config.GetModel(),
				WeightVersion: version.Name,
				AgeMs:         uint64(age.Milliseconds()),
			})
		}
	}
	if !due {
		return nil
	}
	return ages
}
