package main

import (
	"context"
	"encoding/json"
	"os"
	"runtime/pprof"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/hollow"
)

func hollowCommand() *cli.Command {
	return &cli.Command{
		Name:  "hollow",
		Usage: "run the control part of many nodes in this process and print what a node costs, as one JSON object",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "nodes", Usage: "number of nodes", Value: 60},
			&cli.IntFlag{Name: "core", Usage: "how many of them hold control state", Value: 5},
			&cli.IntFlag{Name: "zones", Usage: "number of zones", Value: 9},
			&cli.IntFlag{Name: "replicas", Usage: "number of replicas", Value: 185},
			&cli.IntFlag{Name: "tenants", Usage: "number of tenants", Value: 8},
			&cli.IntFlag{Name: "seconds", Usage: "time to measure, after the nodes have come to serve", Value: 10},
			&cli.DurationFlag{Name: "start-every", Usage: "time between the starts of two nodes", Value: 10 * time.Millisecond},
			&cli.DurationFlag{Name: "settle", Usage: "how long the nodes may take to come to serve", Value: 90 * time.Second},
			&cli.DurationFlag{Name: "change-every", Usage: "time between two changes of the configuration; 0 means none", Value: time.Second},
			&cli.IntFlag{Name: "stretch", Usage: "multiply the periods and timeouts of the nodes, to fit more of them", Value: 1},
			&cli.BoolFlag{Name: "virtual", Usage: "run on one goroutine and a virtual clock, with processor time by role and kind of message"},
			&cli.IntFlag{Name: "parts", Usage: "parts that each replica keeps in the index that is measured", Value: 1000},
			&cli.DurationFlag{Name: "index", Usage: "how long to feed that index; 0 leaves it out", Value: 2 * time.Second},
			&cli.StringFlag{Name: "sockets", Usage: "shared: a transport a zone; own: one a node, for small fleets", Value: string(hollow.SharedSockets)},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the changes and of the index", Value: 1},
			&cli.StringFlag{Name: "cpu-profile", Usage: "file for a processor profile, in which the label role tells core from front nodes"},
		},
		Action:   runHollow,
		Commands: []*cli.Command{hollowStartCommand()},
	}
}

func hollowStartCommand() *cli.Command {
	return &cli.Command{
		Name:  "start",
		Usage: "start all nodes at once on the virtual clock, and print what that takes, one JSON object a size",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "sizes", Usage: "numbers of nodes", Value: []int{30, 100, 300}},
			&cli.IntFlag{Name: "core", Usage: "how many of them hold control state", Value: 9},
			&cli.IntFlag{Name: "zones", Usage: "number of zones", Value: 6},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the starts and of the network", Value: 1},
			&cli.StringFlag{Name: "cpu-profile", Usage: "file for a processor profile"},
		},
		Action: runHollowStart,
	}
}

// runHollowStart measures the start of a fleet of each size, and prints one line of JSON for
// each.
func runHollowStart(ctx context.Context, command *cli.Command) error {
	stopProfile, err := startProfile(command.String("cpu-profile"))
	if err != nil {
		return err
	}
	defer stopProfile()
	for _, nodes := range command.IntSlice("sizes") {
		figures, err := hollow.MeasureStart(ctx, hollow.Settings{
			Nodes:      nodes,
			Core:       command.Int("core"),
			Zones:      command.Int("zones"),
			Replicas:   1,
			Tenants:    1,
			Duration:   time.Second,
			Stretch:    1,
			StartEvery: time.Millisecond,
			Sockets:    hollow.SharedSockets,
			Seed:       command.Uint64("seed"),
		})
		if err != nil {
			return err
		}
		if err := json.NewEncoder(command.Root().Writer).Encode(figures); err != nil {
			return errors.Wrap(err, "write the figures")
		}
	}
	return nil
}

// runHollow runs the nodes and prints the result on the last line. It returns an error if the
// measurement was stopped early.
func runHollow(ctx context.Context, command *cli.Command) error {
	stopProfile, err := startProfile(command.String("cpu-profile"))
	if err != nil {
		return err
	}
	result, err := hollow.Run(ctx, hollow.Settings{
		Nodes:              command.Int("nodes"),
		Core:               command.Int("core"),
		Zones:              command.Int("zones"),
		Replicas:           command.Int("replicas"),
		Tenants:            command.Int("tenants"),
		Duration:           time.Duration(command.Int("seconds")) * time.Second,
		StartEvery:         command.Duration("start-every"),
		ConvergenceTimeout: command.Duration("settle"),
		Stretch:            command.Int("stretch"),
		Virtual:            command.Bool("virtual"),
		ChangeEvery:        command.Duration("change-every"),
		ChunksPerReplica:   command.Int("parts"),
		IndexDuration:      command.Duration("index"),
		Sockets:            hollow.Sockets(command.String("sockets")),
		MemoryLimit:        hollow.DefaultMemoryLimit,
		Seed:               command.Uint64("seed"),
	})
	stopProfile()
	if err != nil {
		return err
	}
	if err := json.NewEncoder(command.Root().Writer).Encode(result); err != nil {
		return errors.Wrap(err, "write the result")
	}
	if result.Stopped != "" {
		return errors.New(result.Stopped)
	}
	return nil
}

// startProfile starts a CPU profile if a file is named. The returned function stops the
// profile and closes the file.
func startProfile(name string) (func(), error) {
	if name == "" {
		return func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, errors.Wrap(err, "create the file of the CPU profile")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close()
		return nil, errors.Wrap(err, "start the CPU profile")
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}
