package main

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/replica"
)

// The machine classes: the values of --class.
const (
	classLargeMemory   = "large"
	classSmallerMemory = "smaller"
)

func replicaCommand() *cli.Command {
	flags := standInFlags(
		&cli.StringFlag{Name: "address", Usage: "address to listen on", Required: true},
		&cli.StringFlag{Name: "zone", Usage: "zone of the replica", Required: true},
		&cli.StringFlag{Name: "class", Usage: "machine class: large or smaller", Value: classLargeMemory},
		&cli.Uint64Flag{Name: "capacity-tokens", Usage: "memory for kept parts, in tokens; 0 means the class's own"},
		&cli.StringFlag{Name: "weight-version", Usage: "weights loaded at the start", Value: "v1"},
		&cli.StringFlag{Name: "store", Usage: "address of the store to push made parts to"},
		&cli.BoolFlag{Name: "cold", Usage: "start slow, as after a restart"},
		&cli.DurationFlag{Name: "weight-load", Usage: "real time to load weights", Value: 2 * time.Second},
		&cli.DurationFlag{Name: "restart", Usage: "real time from a crash to the next answer", Value: 2 * time.Second},
		&cli.DurationFlag{Name: "warming", Usage: "real time of slow running after a start", Value: 5 * time.Second},
		&cli.DurationFlag{Name: "report-delay", Usage: "real age of reports", Value: 200 * time.Millisecond},
		&cli.DurationFlag{Name: "report-every", Usage: "real time between reports in the event stream", Value: 250 * time.Millisecond},
	)
	return &cli.Command{
		Name:   "replica",
		Usage:  "run a stand-in model replica",
		Flags:  flags,
		Action: runReplica,
	}
}

func runReplica(ctx context.Context, command *cli.Command) error {
	model, err := machineClass(command.String("class"))
	if err != nil {
		return err
	}
	model.Address = command.String("address")
	model.Zone = command.String("zone")
	model.WeightVersion = command.String("weight-version")
	// The first incarnation is the current time, so that incarnations also differ between
	// restarts of the process.
	model.Incarnation = uint64(time.Now().UnixMilli())
	if tokens := command.Uint64("capacity-tokens"); tokens > 0 {
		model.CapacityTokens = tokens
	}
	settings := replica.DefaultSettings(model)
	settings.TimeScale = command.Float64("time-scale")
	settings.Seed = command.Uint64("seed")
	settings.Store = command.String("store")
	settings.Links = linkModel(command)
	settings.Feed = feedPlan(command)
	settings.WeightLoad = command.Duration("weight-load")
	settings.Restart = command.Duration("restart")
	settings.Warming = command.Duration("warming")
	settings.ReportDelay = command.Duration("report-delay")
	settings.ReportEvery = command.Duration("report-every")
	server, err := replica.New(settings, command.Bool("cold"))
	if err != nil {
		return err
	}
	return server.Run(ctx)
}

func machineClass(name string) (emulator.Config, error) {
	switch name {
	case classLargeMemory:
		return emulator.LargeMemory(), nil
	case classSmallerMemory:
		return emulator.SmallerMemory(), nil
	}
	return emulator.Config{}, errors.Errorf("machine class %q is unknown; use %s or %s", name, classLargeMemory, classSmallerMemory)
}
