package fleet

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// Demonstration is a deployment and a load to run on it. The checker verifies the
// records of the run.
type Demonstration struct {
	Deployment *Deployment
	Load       LoadOptions
	// Fleet says how to run the processes; Perform sets Topology, Clock and Log.
	Fleet Options
	// Script is passed to Experiment.Script.
	Script func(Stage) Script
	Log    *logrus.Entry
}

// Demonstrate starts a fleet, runs a demonstration on it, stops the fleet and returns
// the checked result.
func Demonstrate(ctx context.Context, demonstration Demonstration) (*Summary, error) {
	outcome, err := Perform(ctx, demonstration)
	if err != nil {
		return nil, err
	}
	return Summarize(demonstration.Deployment.Topology, demonstration.Load.Seed, outcome), nil
}

// Perform starts a fleet, runs a demonstration on it and stops the fleet. It writes the
// records of the run to the fleet's folder.
func Perform(ctx context.Context, demonstration Demonstration) (*Outcome, error) {
	deployment := demonstration.Deployment
	plan, err := NewPlan(deployment, demonstration.Load.Seed, demonstration.Load.Duration)
	if err != nil {
		return nil, err
	}
	load, err := NewLoad(deployment, plan, demonstration.Load)
	if err != nil {
		return nil, err
	}
	options := demonstration.Fleet
	options.Topology = deployment.Topology
	options.Clock = NewClock()
	options.Log = demonstration.Log
	running := New(options)
	defer func() {
		if late := running.Stop(); len(late) > 0 {
			demonstration.Log.WithField("nodes", late).Warn("nodes did not exit in time after SIGTERM and were killed")
		}
	}()
	if err := running.Start(ctx); err != nil {
		return nil, errors.Wrap(err, "start the fleet")
	}
	experiment := &Experiment{
		Fleet: running, Deployment: deployment, Clock: options.Clock,
		Plan: plan, Load: load, Log: demonstration.Log, Script: demonstration.Script,
	}
	outcome, err := experiment.Run(ctx)
	if err != nil {
		return nil, err
	}
	return outcome, writeRecords(outcome.Records, options.Folder)
}

// recordsFile is the file with the records of a run, for the analysis of a violation.
const recordsFile = "records.json"

func writeRecords(records *checker.Records, folder string) error {
	data, err := json.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "encode the records")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(folder, recordsFile), data, 0o644), "write the records")
}
