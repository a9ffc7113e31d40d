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

// excludeOutdated sets the deadlines of the replicas that have not reached a named version, and
// stops admitting requests to those whose deadline has passed.
func (b *Builder) excludeOutdated(now time.Duration, pool *routing.Pool, versions []namedweights.Version) {
	if b.config.WeightsDeadline <= 0 {
		return
	}
	deadlines := make([]time.Duration, len(versions))
	for position := range versions {
		deadlines[position] = b.deadlineOf(now, pool, versions[position:])
	}
	for position := range pool.Replicas {
		excludeAfterDeadline(now, &pool.Replicas[position], versions, deadlines)
	}
}

// overdue reports whether the deadline of a version has passed, waived or not.
func (b *Builder) overdue(now time.Duration, version namedweights.Version) bool {
	return b.config.WeightsDeadline > 0 && version.Age(now) >= b.config.WeightsDeadline
}

// deadlineOf returns the deadline of the first of some versions, or routing.NoDeadline if it is
// waived.
//
// The deadline holds once leaders have replicated nearly all of its time, since they were able to
// command the replicas. Otherwise there may have been no leader to do that: once the deadline has
// passed by the clock of this node, it is waived until enough replicas have reached the version.
func (b *Builder) deadlineOf(now time.Duration, pool *routing.Pool, required []namedweights.Version) time.Duration {
	version := required[0]
	passes := version.EarliestSince() + b.config.WeightsDeadline
	if now < passes || version.ReplicatedUpTo(b.config.WeightsDeadline) || enoughReached(pool, required) {
		return passes
	}
	return routing.NoDeadline
}

// excludeAfterDeadline sets the deadline of a replica that has not reached all versions, and
// stops admitting requests to it if the deadline has passed.
func excludeAfterDeadline(now time.Duration, replica *routing.Replica, versions []namedweights.Version, deadlines []time.Duration) {
	for position, deadline := range deadlines {
		if rollout.VersionReachedAnyOf(replica.WeightVersion, versions[position:]) {
			continue
		}
		if !replica.Outdated {
			replica.Outdated, replica.WeightsDeadline = true, routing.NoDeadline
		}
		replica.WeightsDeadline = min(replica.WeightsDeadline, deadline)
	}
	replica.Admitting = replica.AdmitsAt(now)
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
