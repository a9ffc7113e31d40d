package view

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// requiredPoolDivisor is the share of a pool, one in so many replicas, that must run a named
// version before a node gives up the replicas that do not by its own clock alone.
const requiredPoolDivisor = 4

// DeadlinePassed reports whether the deadline of a named version lies between two instants,
// so that the view is to be built anew.
func (b *Builder) DeadlinePassed(before, now time.Duration) bool {
	return b.weights.DeadlinePassed(before, now)
}

// excludeOutdated keeps requests from replicas that do not run named weights although the
// deadline has passed. It returns whether there is such a version.
//
// If the leader of the shard has replicated that, control has worked for all that time, and
// nothing excuses an outdated replica. By the clock of this node alone there may have been
// nobody to command the replicas: they are given up once enough others run the version.
func (b *Builder) excludeOutdated(now time.Duration, pool *routing.Pool, versions []namedweights.Version) (overdue bool) {
	deadline := b.config.WeightsDeadline
	if deadline <= 0 {
		return false
	}
	for position := range versions {
		required := versions[position:]
		replicated := required[0].ReplicatedAge >= deadline
		if !replicated && required[0].Age(now) < deadline {
			continue
		}
		overdue = true
		if replicated || enoughReached(pool, required) {
			excludeBefore(pool, required)
		}
	}
	return overdue
}

// enoughReached reports whether enough replicas of a pool run the first of some versions, or
// a later one.
func enoughReached(pool *routing.Pool, required []namedweights.Version) bool {
	reached := 0
	for _, replica := range pool.Replicas {
		if replica.Admitting && rollout.VersionReachedAnyOf(replica.WeightVersion, required) {
			reached++
		}
	}
	return reached > 0 && reached*requiredPoolDivisor >= len(pool.Replicas)
}

// excludeBefore keeps requests from replicas that run none of some versions.
func excludeBefore(pool *routing.Pool, required []namedweights.Version) {
	for position := range pool.Replicas {
		replica := &pool.Replicas[position]
		replica.Admitting = replica.Admitting && rollout.VersionReachedAnyOf(replica.WeightVersion, required)
	}
}
