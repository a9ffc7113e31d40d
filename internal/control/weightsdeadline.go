package control

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// reachedShare of a pool, one in so many, must run the named version before a node
// gives up the replicas that do not.
const reachedShare = 4

// namedWeights is the version that the configuration names for a pool, and since
// when this node has known it.
type namedWeights struct {
	version string
	since   time.Duration
}

// noteNamedWeights follows the versions that the configuration names.
func (m *Machine) noteNamedWeights(pool *ridgeswitchv1.Pool) namedWeights {
	known, found := m.named[pool.GetName()]
	if !found || known.version != pool.GetWeightVersion() {
		known = namedWeights{version: pool.GetWeightVersion(), since: m.now}
		m.named[pool.GetName()] = known
	}
	return known
}

// weightsOverdue tells whether the bound within which named weights are to be
// everywhere is about to end.
func (m *Machine) weightsOverdue(named namedWeights) bool {
	deadline := m.config.Times.WeightsDeadline
	return deadline > 0 && m.now >= named.since+deadline
}

// tickWeightsDeadline has the view built anew when a deadline passes.
func (m *Machine) tickWeightsDeadline(before time.Duration) {
	deadline := m.config.Times.WeightsDeadline
	if deadline <= 0 {
		return
	}
	for _, named := range m.named {
		if before < named.since+deadline && m.now >= named.since+deadline {
			m.backends.dirty = true
		}
	}
}

// giveUpOutdated keeps requests from replicas that do not run the named weights
// although their time is over, once enough others do.
func giveUpOutdated(pool *routing.Pool, version string) {
	reached := 0
	for _, replica := range pool.Replicas {
		if replica.Admitting && versionReached(replica.WeightVersion, version) {
			reached++
		}
	}
	if reached*reachedShare < len(pool.Replicas) || reached == 0 {
		return
	}
	for position := range pool.Replicas {
		replica := &pool.Replicas[position]
		replica.Admitting = replica.Admitting && versionReached(replica.WeightVersion, version)
	}
}
