package fleet

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Demonstration is a deployment with a load, to be run and judged.
type Demonstration struct {
	Deployment *Deployment
	Load       LoadOptions
	// Fleet says how to run the processes; topology, clock and log are filled in.
	Fleet Options
	Log   *logrus.Entry
}

// Demonstrate runs a demonstration from the first process to the last and
// judges it.
func Demonstrate(ctx context.Context, demonstration Demonstration) (*Summary, error) {
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
	defer running.Stop()
	if err := running.Start(ctx); err != nil {
		return nil, errors.Wrap(err, "start the fleet")
	}
	experiment := &Experiment{Fleet: running, Topology: deployment.Topology,
		Configuration: deployment.Configuration, Clock: options.Clock, Plan: plan, Load: load,
		Log: demonstration.Log}
	outcome, err := experiment.Run(ctx)
	if err != nil {
		return nil, err
	}
	return Summarize(deployment.Topology, demonstration.Load.Seed, outcome), nil
}
