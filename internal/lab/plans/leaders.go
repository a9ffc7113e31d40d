package plans

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

// watchEvery is the time between two readings of the state of nodes.
const watchEvery = 100 * time.Millisecond

// poolShard is the shard of the deployment's pool.
func (run *run) poolShard() uint32 {
	return shardstate.ShardOfService(run.Fleet.Topology().Replicas.Service, static.DefaultServiceShards)
}

// leader returns the leader of a shard as it calls itself: others may know of a
// former one.
func (run *run) leader(ctx context.Context, shard uint32) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, target := range run.Fleet.LiveTargets() {
			if run.leads(ctx, target, shard) {
				return target.Node, nil
			}
		}
		pause.For(ctx, watchEvery)
	}
	return "", errors.Errorf("no node led shard %d in time", shard)
}

func (run *run) leads(ctx context.Context, target operator.Target, shard uint32) bool {
	status, err := run.Recorder.Status(ctx, target)
	if err != nil {
		return false
	}
	for _, row := range status.GetShards() {
		if row.GetShard() == shard {
			return row.GetLeader() == target.Node
		}
	}
	return false
}
