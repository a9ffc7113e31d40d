package plans

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

const (
	freezeTime = 25 * time.Second
	// newerWeightsAfter is when newer weights are named during a freeze, so that
	// the successor commands replicas while the frozen owner believes to.
	newerWeightsAfter = 8 * time.Second
)

// freezeCore freezes the owner of the configuration and the owner of the pool's
// shard, together if a majority of the core goes on without them, else one
// after the other.
func freezeCore(ctx context.Context, run *run) error {
	configuration, err := run.owner(ctx, control.ConfigurationShard)
	if err != nil {
		return err
	}
	pool, err := run.owner(ctx, run.poolShard())
	if err != nil {
		return err
	}
	owners := lo.Uniq([]string{configuration, pool})
	group := run.Fleet.Topology().Group
	if len(owners) <= (len(group)-1)/2 {
		return run.freeze(ctx, owners, true)
	}
	if err := run.freeze(ctx, owners[:1], false); err != nil {
		return err
	}
	// The first freeze may have moved the pool's shard.
	pool, err = run.owner(ctx, run.poolShard())
	if err != nil {
		return err
	}
	return run.freeze(ctx, []string{pool}, true)
}

// freeze stops nodes where they are for a while. In the meantime a roll-out is
// started if the weights are to be named.
func (run *run) freeze(ctx context.Context, names []string, nameWeights bool) error {
	for _, name := range names {
		run.disturb("freeze " + name)
		if err := run.Fleet.FreezeNode(name); err != nil {
			return err
		}
		defer func() { _ = run.Fleet.ThawNode(name) }()
	}
	thaw := run.Clock.Now() + freezeTime
	pause(ctx, newerWeightsAfter)
	if nameWeights {
		run.step("name newer weights", func() error { return run.scenario.NameWeights(ctx, run.Plan.LastWeights) })
	}
	pause(ctx, thaw-run.Clock.Now())
	for _, name := range names {
		run.disturb("thaw " + name)
		if err := run.Fleet.ThawNode(name); err != nil {
			return err
		}
	}
	if err := run.settle(ctx); err != nil {
		return err
	}
	pause(ctx, quietStart)
	return nil
}
