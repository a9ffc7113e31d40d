package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/plans"
)

// The default load and the time limit of an experiment. The load is lower and the limit is
// longer than those of a demonstration, since a run takes longer and its purpose is to test
// faults.
const (
	// experimentModelRate is the default number of model requests per second.
	experimentModelRate = 40
	// experimentTimeout, added to --duration, bounds a run from the first process to the
	// last.
	experimentTimeout = 6 * time.Minute
)

// showPlans is the value of --plan with which the command lists all plans.
const showPlans = "list"

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "run a whole deployment on this machine through a plan of faults under load, and check it",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "plan", Usage: "name of the plan, or list", Required: true},
			&cli.DurationFlag{Name: "duration", Usage: "shortest length of the load, which lasts as long as the plan", Value: 10 * time.Second},
		}, fleetFlags(experimentModelRate)...),
		Action: runExperiment,
	}
}

// runExperiment runs a plan and prints its summary on the last line.
func runExperiment(ctx context.Context, command *cli.Command) error {
	if command.String("plan") == showPlans {
		printPlans()
		return nil
	}
	plan, err := plans.ByName(command.String("plan"))
	if err != nil {
		return err
	}
	return runFleet(ctx, command, command.Duration("duration")+experimentTimeout, func(ctx context.Context, run fleetRun) (summary, error) {
		return plans.Experiment(ctx, plans.Options{
			Deployment: run.deployment,
			Plan:       plan,
			Seed:       run.options.Seed,
			Duration:   command.Duration("duration"),
			ModelRate:  command.Float64("rate"),
			Fleet:      run.options,
			Log:        run.log,
		})
	})
}

func printPlans() {
	for _, plan := range plans.All() {
		fmt.Printf("%-16s %s\n", plan.Name, plan.Summary)
	}
}
