package plans

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
)

const (
	freezeTime = 25 * time.Second
	// newerWeightsAfter is when newer weights are named during a freeze, so that
	// the successor commands replicas while the frozen leader believes to.
	newerWeightsAfter = 8 * time.Second
)

// freezeCore freezes the leader of the configuration and the leader of the pool's
// shard, together if a majority of the core goes on without them, else one
// after the other.
func freezeCore(ctx context.Context, run *run) error {
	configuration, err := run.leader(ctx, control.ConfigurationShard)
	if err != nil {
		return err
	}
	pool, err := run.leader(ctx, run.poolShard())
	if err != nil {
		return err
	}
	leaders := lo.Uniq([]string{configuration, pool})
	group := run.Fleet.Topology().Group
	if len(leaders) <= (len(group)-1)/2 {
		return run.freeze(ctx, leaders, true)
	}
	if err := run.freeze(ctx, leaders[:1], false); err != nil {
		return err
	}
	// The first freeze may have moved the pool's shard.
	pool, err = run.leader(ctx, run.poolShard())
	if err != nil {
		return err
	}
	return run.freeze(ctx, []string{pool}, true)
}

// freeze stops nodes where they are for a while. In the meantime a roll-out is
// started if the weights are to be named.
func (run *run) freeze(ctx context.Context, names []string, nameWeights bool) error {
	for _, name := range names {
		run.recordDisturbance("freeze " + name)
		if err := run.Fleet.FreezeNode(name); err != nil {
			return err
		}
		defer func() { _ = run.Fleet.ThawNode(name) }()
	}
	thaw := run.Clock.Now() + freezeTime
	pause.For(ctx, newerWeightsAfter)
	if nameWeights {
		run.step("name newer weights", func() error { return run.scenario.NameWeights(ctx, run.Plan.LastWeights) })
	}
	pause.For(ctx, thaw-run.Clock.Now())
	for _, name := range names {
		run.recordDisturbance("thaw " + name)
		if err := run.Fleet.ThawNode(name); err != nil {
			return err
		}
	}
	return run.awaitCalm(ctx)
}
