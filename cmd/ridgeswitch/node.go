package main

import (
	"context"
	"errors"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/proc"

	"github.com/ridgeswitch/ridgeswitch/internal/logring"
	"github.com/ridgeswitch/ridgeswitch/internal/node"
	"github.com/ridgeswitch/ridgeswitch/internal/reload"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

// forceQuitMargin is how long after the drain time-out the HTTP framework ends a process that
// still runs.
const forceQuitMargin = 10 * time.Second

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:   "node",
		Usage:  "run a node until SIGTERM",
		Flags:  static.Flags(),
		Action: runNode,
	}
}

func initCommand() *cli.Command {
	return &cli.Command{
		Name:  "init",
		Usage: "mark an empty data folder as that of a founding member",
		Description: "Run it once on each node with a disk when a deployment is first set up. " +
			"Do not run it on a machine that replaces another, or after a disk was lost: " +
			"a node with an uninitialised folder copies the state from the others and does not vote.",
		Flags:  static.Flags(),
		Action: runInit,
	}
}

// checkedSettings reads and checks the settings. The error contains all faults.
func checkedSettings(command *cli.Command) (*static.Settings, error) {
	settings, err := static.FromCommand(command)
	if err != nil {
		return nil, err
	}
	if faults := settings.Check(); len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return settings, nil
}

func runInit(_ context.Context, command *cli.Command) error {
	settings, err := checkedSettings(command)
	if err != nil {
		return err
	}
	return node.Initialise(settings)
}

func runNode(ctx context.Context, command *cli.Command) error {
	watcher := reload.NewWatcher(command.String(static.FlagSettings))
	defer watcher.Close()
	settings, err := checkedSettings(command)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		return err
	}
	debug.SetGCPercent(settings.HeapGrowthPercent)
	node.LimitHeap(settings)
	ring := logring.New(settings.LogRing, os.Stderr)
	defer logring.DumpOnPanic(ring)
	logger := ring.Logger(level)
	logring.UseForFramework(logger)
	defer logring.DumpOnSignal(ring)()
	// The HTTP framework ends the process a fixed time after SIGTERM. The node needs its
	// drain time-out before that.
	proc.SetTimeToForceQuit(settings.DrainTimeout() + forceQuitMargin)
	running, err := node.New(settings, node.Edges{}, logger.WithField("node", settings.Node)) //nolint:contextcheck // the node listens until Run ends, and Run takes the context
	if err != nil {
		return err
	}
	go watcher.Run(ctx, reload.Target{
		Read:  func() (*static.Settings, error) { return static.FromCommand(command) },
		Apply: running.Reload,
		Log:   logger.WithField("component", "settings"),
	})
	return running.Run(ctx)
}
