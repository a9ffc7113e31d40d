package view

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// RolloutProgress is how far the weights that were named for a pool have come, by the
// newest view.
type RolloutProgress struct {
	Pool    string
	Version string
	// NamedAt is since when this node has counted the version as named.
	NamedAt time.Duration
	// Overdue means that the deadline of the version, or of one before it, has passed.
	Overdue bool
	// Replicas counts those of the pool, Outdated those that don't run the version, and
	// OutdatedAdmitting those of them that get requests.
	Replicas          int
	Outdated          int
	OutdatedAdmitting int
}

// Rollouts returns the progress of all pools with named weights, in the order of the
// configuration; read only, and until the next view is built.
func (b *Builder) Rollouts() []RolloutProgress { return b.rollouts }

// recordProgress records the progress of a pool in the view that is being built.
func (b *Builder) recordProgress(pool *routing.Pool, versions []namedweights.Version, overdue bool) {
	target, found := lo.Last(versions)
	if !found {
		return
	}
	progress := RolloutProgress{
		Pool:     pool.Config.GetName(),
		Version:  target.Name,
		NamedAt:  target.Since,
		Overdue:  overdue,
		Replicas: len(pool.Replicas),
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
