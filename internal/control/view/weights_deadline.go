package view

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// requiredPoolDivisor is the share of a pool, one in so many replicas, that must run the
// named version before a node gives up the replicas that do not.
const requiredPoolDivisor = 4

// weightsTarget is the version that the configuration names for a pool, and since
// when this node has known it.
type weightsTarget struct {
	version string
	since   time.Duration
}

// followTarget follows the versions that the configuration names.
func (b *Builder) followTarget(now time.Duration, pool *ridgeswitchv1.Pool) weightsTarget {
	known, found := b.targets[pool.GetName()]
	if !found || known.version != pool.GetWeightVersion() {
		known = weightsTarget{version: pool.GetWeightVersion(), since: now}
		b.targets[pool.GetName()] = known
	}
	return known
}

// overdue reports whether replicas that do not run a named version are to be given up:
// the time within which operators count on it is about to end.
func (b *Builder) overdue(now time.Duration, target weightsTarget) bool {
	deadline := b.config.WeightsDeadline
	return deadline > 0 && now >= target.since+deadline
}

// DeadlinePassed reports whether the time of a named version ended between two instants,
// so that the view is to be built anew.
func (b *Builder) DeadlinePassed(before, now time.Duration) bool {
	deadline := b.config.WeightsDeadline
	if deadline <= 0 {
		return false
	}
	for _, target := range b.targets {
		if before < target.since+deadline && now >= target.since+deadline {
			return true
		}
	}
	return false
}

// excludeOutdated keeps requests from replicas that do not run the named weights
// although their time is over, once enough others do.
func excludeOutdated(pool *routing.Pool, version string) {
	reached := 0
	for _, replica := range pool.Replicas {
		if replica.Admitting && rollout.VersionReached(replica.WeightVersion, version) {
			reached++
		}
	}
	if reached*requiredPoolDivisor < len(pool.Replicas) || reached == 0 {
		return
	}
	for position := range pool.Replicas {
		replica := &pool.Replicas[position]
		replica.Admitting = replica.Admitting && rollout.VersionReached(replica.WeightVersion, version)
	}
}
