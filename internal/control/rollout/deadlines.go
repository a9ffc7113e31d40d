package rollout

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
)

const (
	// ageInterval is how often the leader replicates the ages of weights.
	ageInterval = time.Second
	// maxLeaderGap is the longest time between two leaders, with what the earlier one had
	// not replicated, that counts towards the age of a version. A shard that had no leader
	// for longer was disturbed, and its replicas could not be commanded.
	maxLeaderGap = 3 * time.Second
)

// weightsAges is how the leader of a shard counts the ages of the versions of its pools. It
// begins with each leadership.
type weightsAges struct {
	// uncounted is how much of the time that the node has known a version does not count,
	// by pool and version.
	uncounted map[string]map[string]time.Duration
}

func newWeightsAges() *weightsAges {
	return &weightsAges{uncounted: map[string]map[string]time.Duration{}}
}

// update takes the versions of a pool as the node knows them.
func (a *weightsAges) update(now time.Duration, pool string, versions []namedweights.Version) {
	next := make(map[string]time.Duration, len(versions))
	for _, version := range versions {
		uncounted, known := a.uncounted[pool][version.Name]
		if !known {
			uncounted = max(0, version.Age(now)-version.ReplicatedAge-maxLeaderGap)
		}
		next[version.Name] = uncounted
	}
	a.uncounted[pool] = next
}

// since returns from when on a version counts as named.
func (a *weightsAges) since(pool string, version namedweights.Version) time.Duration {
	return version.Since + a.uncounted[pool][version.Name]
}

// firstUnreached returns from when on the oldest version counts as named that a replica has
// not reached; false if it has reached all of them.
func (a *weightsAges) firstUnreached(pool, running string, versions []namedweights.Version) (time.Duration, bool) {
	for position, version := range versions {
		if !VersionReachedAnyOf(running, versions[position:]) {
			return a.since(pool, version), true
		}
	}
	return 0, false
}

// toReplicate returns the ages of the versions of some pools, if those that were replicated
// last are too old, or nil.
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
