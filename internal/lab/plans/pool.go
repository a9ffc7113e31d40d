package plans

import (
	"context"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
)

// servingPhase is the phase of replicas that get requests.
const servingPhase = "serving"

func isServing(replica *ridgeswitchv1.ReplicaStatus) bool { return replica.GetPhase() == servingPhase }

// allServing reports that every replica of a pool gets requests.
func allServing(replicas []*ridgeswitchv1.ReplicaStatus) bool {
	return len(replicas) > 0 && lo.EveryBy(replicas, isServing)
}

// anyServing reports that some replica of a pool gets requests.
func anyServing(replicas []*ridgeswitchv1.ReplicaStatus) bool {
	return lo.SomeBy(replicas, isServing)
}

// awaitPool returns when every node knows the pool to meet a condition. Weights
// that are named before the pool has begun to serve are loaded first.
func (run *run) awaitPool(ctx context.Context, condition func([]*ridgeswitchv1.ReplicaStatus) bool) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if run.poolMeets(ctx, condition) {
			return nil
		}
		pause.For(ctx, watchEvery)
	}
	return errors.Errorf("the pool did not serve within %v", recoveryTimeout)
}

func (run *run) poolMeets(ctx context.Context, condition func([]*ridgeswitchv1.ReplicaStatus) bool) bool {
	for _, target := range run.Fleet.LiveTargets() {
		status, err := run.Recorder.Weights(ctx, target, run.Plan.Pool)
		if err != nil || !condition(status.GetReplicas()) {
			return false
		}
	}
	return true
}
