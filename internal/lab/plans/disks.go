package plans

import (
	"context"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// loseDiskTwice takes the disk of the configuration's leader right after it has
// acknowledged an order, waits until the member has its votes again, and at
// once takes that of the next leader.
func loseDiskTwice(ctx context.Context, run *run) error {
	first, err := run.loseLeadersDisk(ctx, "first", "")
	if err != nil {
		return err
	}
	if err := run.awaitVotes(ctx, first); err != nil {
		return err
	}
	second, err := run.loseLeadersDisk(ctx, "second", first)
	if err != nil {
		return err
	}
	if err := run.awaitService(ctx); err != nil {
		return err
	}
	return run.awaitVotes(ctx, second)
}

// loseLeadersDisk lets an order be acknowledged, and kills the leader of the
// configuration with its disk; if that is the spared node, another one. The
// node starts again on an empty disk.
func (run *run) loseLeadersDisk(ctx context.Context, name, spared string) (string, error) {
	victim, err := run.leader(ctx, control.ConfigurationShard)
	if err != nil {
		return "", err
	}
	if victim == spared {
		victim, _ = lo.Find(run.Fleet.Topology().Group, func(member string) bool { return member != spared })
	}
	order := run.keyOrder("disk-loss-"+name, 0)
	if err := run.requireAcknowledged(ctx, order); err != nil {
		return "", err
	}
	run.recordDisturbance("lose the disk of " + victim)
	return victim, run.replaceDisk(victim)
}

// replaceDisk kills a node and starts it again on an empty disk.
func (run *run) replaceDisk(name string) error {
	if err := run.Fleet.KillNode(name); err != nil {
		return err
	}
	if err := run.Fleet.LoseDisk(name); err != nil {
		return err
	}
	return run.Fleet.RestartNode(name)
}
