package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/fleet"
)

// The time margin and the default load of a demonstration.
const (
	// runMargin is the time for the start, the convergence and the checks, in addition to
	// the time of the load. With the default load of 10 s, the rest of a minute is left for
	// collecting the results and stopping the processes.
	runMargin = 44 * time.Second
	// demoModelRate is the default number of model requests per second.
	demoModelRate = 64
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment on this machine under load, change and faults, and check it",
		Flags: append([]cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "length of the load", Value: 10 * time.Second},
		}, fleetFlags(demoModelRate)...),
		Action: runDemo,
	}
}

// runDemo runs a demonstration and prints its summary on the last line.
func runDemo(ctx context.Context, command *cli.Command) error {
	return runFleet(ctx, command, command.Duration("duration")+runMargin, func(ctx context.Context, run fleetRun) (summary, error) {
		return fleet.Demonstrate(ctx, fleet.Demonstration{
			Deployment: run.deployment,
			Load: fleet.LoadOptions{
				Seed: run.options.Seed, Duration: command.Duration("duration"),
				ModelRate: command.Float64("rate"),
			},
			Fleet: run.options,
			Log:   run.log,
		})
	})
}
