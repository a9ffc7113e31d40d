package plans

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/fleet"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
)

// downTime is how long killed machines stay away.
const downTime = 3 * time.Second

// rollingRestart restarts every node in turn, as an upgrade does.
func rollingRestart(ctx context.Context, run *run) error {
	for _, node := range run.Fleet.Topology().Nodes {
		if err := run.restart(ctx, node.Name); err != nil {
			return err
		}
	}
	return nil
}

// restart stops a node by SIGTERM, starts it again and waits until it is ready.
func (run *run) restart(ctx context.Context, name string) error {
	run.recordDisturbance("restart " + name)
	if err := run.Fleet.StopNode(name); err != nil {
		return err
	}
	if err := run.Fleet.RestartNode(name); err != nil {
		return err
	}
	return run.Fleet.AwaitNode(ctx, name)
}

// loseCore kills all nodes with disks at once, and then a majority of them.
func loseCore(ctx context.Context, run *run) error {
	group := run.Fleet.Topology().Group
	if err := run.crash(ctx, "all nodes with disks", group); err != nil {
		return err
	}
	return run.crash(ctx, "a majority of the nodes with disks", run.choose(group, len(group)/2+1))
}

// killThird kills a third of all nodes, twice.
func killThird(ctx context.Context, run *run) error {
	names := lo.Map(run.Fleet.Topology().Nodes, func(node fleet.Node, _ int) string { return node.Name })
	for range 2 {
		if err := run.crash(ctx, "a third of all nodes", run.choose(names, len(names)/3)); err != nil {
			return err
		}
	}
	return nil
}

// choose returns some of the names.
func (run *run) choose(names []string, count int) []string {
	mixed := append([]string(nil), names...)
	run.random.Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
	return mixed[:count]
}

// crash kills nodes at once, starts them again on their disks after a while,
// and waits until all is well.
func (run *run) crash(ctx context.Context, what string, names []string) error {
	run.recordDisturbance("kill " + what)
	if err := run.killAll(names); err != nil {
		return err
	}
	pause.For(ctx, downTime)
	for _, name := range names {
		if err := run.Fleet.RestartNode(name); err != nil {
			return err
		}
	}
	return run.awaitCalm(ctx)
}

// killAll kills nodes at the same time.
func (run *run) killAll(names []string) error {
	failures := make([]error, len(names))
	var killing sync.WaitGroup
	for number, name := range names {
		killing.Go(func() { failures[number] = run.Fleet.KillNode(name) })
	}
	killing.Wait()
	failure, _ := lo.Find(failures, func(err error) bool { return err != nil })
	return failure
}
