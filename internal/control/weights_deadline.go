package control

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// requiredPoolDivisor of a pool, one in so many, must run the named version before a node
// gives up the replicas that do not.
const requiredPoolDivisor = 4

// weightsTarget is the version that the configuration names for a pool, and since
// when this node has known it.
type weightsTarget struct {
	version string
	since   time.Duration
}

// followWeightsTarget follows the versions that the configuration names.
func (m *Machine) followWeightsTarget(pool *ridgeswitchv1.Pool) weightsTarget {
	known, found := m.weightsTargets[pool.GetName()]
	if !found || known.version != pool.GetWeightVersion() {
		known = weightsTarget{version: pool.GetWeightVersion(), since: m.now}
		m.weightsTargets[pool.GetName()] = known
	}
	return known
}

// weightsOverdue tells whether the bound within which named weights are to be
// everywhere is about to end.
func (m *Machine) weightsOverdue(target weightsTarget) bool {
	deadline := m.config.Times.WeightsDeadline
	return deadline > 0 && m.now >= target.since+deadline
}

// tickWeightsDeadline has the view built anew when a deadline passes.
func (m *Machine) tickWeightsDeadline(before time.Duration) {
	deadline := m.config.Times.WeightsDeadline
	if deadline <= 0 {
		return
	}
	for _, target := range m.weightsTargets {
		if before < target.since+deadline && m.now >= target.since+deadline {
			m.viewStale = true
		}
	}
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
