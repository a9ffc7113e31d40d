package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/fleet"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/plans"
)

// Defaults of experiments. They are gentler than those of a demonstration, since
// a run is longer and the faults are what matters.
const (
	experimentModelRate = 40
	// experimentTimeout bounds a run from the first process to the last.
	experimentTimeout = 6 * time.Minute
)

// listPlans is the name by which the plans are listed.
const listPlans = "list"

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

// runExperiment runs a plan and prints its summary as the last line.
func runExperiment(ctx context.Context, command *cli.Command) error {
	if command.String("plan") == listPlans {
		printPlans()
		return nil
	}
	plan, err := plans.ByName(command.String("plan"))
	if err != nil {
		return err
	}
	folder, cleanUp, err := demoFolder(command.String("folder"))
	if err != nil {
		return err
	}
	defer cleanUp()
	binary, err := nodeBinary(ctx, command.String("binary"), folder)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration("duration")+experimentTimeout)
	defer cancel()
	summary, err := experiment(ctx, command, plan, folder, binary)
	if err != nil {
		return err
	}
	line, err := json.Marshal(summary)
	if err != nil {
		return errors.Wrap(err, "encode the summary")
	}
	fmt.Println(string(line))
	return summary.Err()
}

func printPlans() {
	for _, plan := range plans.All() {
		fmt.Printf("%-16s %s\n", plan.Name, plan.Summary)
	}
}

func experiment(ctx context.Context, command *cli.Command, plan plans.Plan, folder, binary string) (*plans.Summary, error) {
	deployment, err := fleet.LoadDeployment(filepath.Join(command.String("deploy-folder"), command.String("deployment")))
	if err != nil {
		return nil, err
	}
	lab, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find the lab's own binary")
	}
	seed := command.Uint64("seed")
	return plans.Experiment(ctx, plans.Options{
		Deployment: deployment,
		Plan:       plan,
		Seed:       seed,
		Duration:   command.Duration("duration"),
		ModelRate:  command.Float64("rate"),
		Fleet: fleet.Options{NodeBinary: binary, LabBinary: lab, Folder: folder,
			TimeScale: command.Float64("time-scale"), Seed: seed},
		Log: logrus.NewEntry(demoLog()),
	})
}
