package view

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// RolloutProgress is the progress of the roll-out of the weight version that is named for a
// pool, as of the newest view.
type RolloutProgress struct {
	Pool    string
	Version string
	// NamedAt is the time, on this node's clock, from which the age of the version counts.
	NamedAt time.Duration
	// ReplicatedAge is the greatest age of the version that a leader has replicated.
	ReplicatedAge time.Duration
	// Overdue means that the deadline of the version, or of an earlier one, has passed.
	// OverdueVersion is the last one of them.
	Overdue        bool
	OverdueVersion string
	// Replicas is the number of replicas of the pool, Outdated the number of those that have
	// not reached the version, and OutdatedAdmitting the number of outdated ones that get
	// requests.
	Replicas          int
	Outdated          int
	OutdatedAdmitting int
}

// Rollouts returns the progress of all pools with named weights, in the order of the
// configuration. The result is read only, and valid until the next view is built.
func (b *Builder) Rollouts() []RolloutProgress { return b.rollouts }

// recordProgress records the progress of a pool in the view that is being built.
func (b *Builder) recordProgress(now time.Duration, pool *routing.Pool, versions []namedweights.Version) {
	target, found := lo.Last(versions)
	if !found {
		return
	}
	progress := RolloutProgress{
		Pool:          pool.Config.GetName(),
		Version:       target.Name,
		NamedAt:       target.Since,
		ReplicatedAge: target.ReplicatedAge,
		Replicas:      len(pool.Replicas),
	}
	for _, version := range versions {
		if b.overdue(now, version) {
			progress.Overdue, progress.OverdueVersion = true, version.Name
		}
	}
	for _, replica := range pool.Replicas {
		if rollout.VersionReached(replica.WeightVersion, target.Name) {
			continue
		}
		progress.Outdated++
		if replica.Admitting {
			progress.OutdatedAdmitting++
		}
	}
	b.rollouts = append(b.rollouts, progress)
}
