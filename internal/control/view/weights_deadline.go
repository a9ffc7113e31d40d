package view

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// requiredPoolDivisor determines the part of a pool, one in requiredPoolDivisor replicas, that
// must have reached a named version before a node excludes the other replicas by its own
// clock alone.
const requiredPoolDivisor = 4

// DeadlinePassed reports whether the deadline of a named version lies between two instants,
// so that the view must be rebuilt.
func (b *Builder) DeadlinePassed(before, now time.Duration) bool {
	return b.weights.DeadlinePassed(before, now)
}

// setWeightsDeadlines sets the deadlines of the replicas that lack a named version.
func (b *Builder) setWeightsDeadlines(pool *routing.Pool, versions []namedweights.Version) {
	deadline := b.config.WeightsDeadline
	if deadline <= 0 {
		return
	}
	for position := range pool.Replicas {
		replica := &pool.Replicas[position]
		if lacking, found := rollout.OldestLacking(replica.WeightVersion, versions); found {
			replica.Outdated = true
			replica.WeightsDeadline = lacking.Since + deadline
		}
	}
}

// excludeOutdated stops admitting requests to the replicas that have not reached a named
// version by its deadline. It returns whether the deadline of a version has passed.
//
// If the leader of the shard has replicated an age beyond the deadline, leaders were able to
// command the replicas for all that time, and every outdated replica is excluded. If the
// deadline has passed only by the clock of this node, there may have been no leader to
// command the replicas: they are excluded once enough others have reached the version.
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

// enoughReached reports whether enough replicas of a pool admit requests and have reached the
// first of some versions, or run one that was named later.
func enoughReached(pool *routing.Pool, required []namedweights.Version) bool {
	reached := 0
	for _, replica := range pool.Replicas {
		if replica.Admitting && rollout.VersionReachedAnyOf(replica.WeightVersion, required) {
			reached++
		}
	}
	return reached > 0 && reached*requiredPoolDivisor >= len(pool.Replicas)
}

// excludeBefore stops admitting requests to the replicas that have not reached the first of
// some versions, and run none that was named later.
func excludeBefore(pool *routing.Pool, required []namedweights.Version) {
	for position := range pool.Replicas {
		replica := &pool.Replicas[position]
		replica.Admitting = replica.Admitting && rollout.VersionReachedAnyOf(replica.WeightVersion, required)
	}
}
