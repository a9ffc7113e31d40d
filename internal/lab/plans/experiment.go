package plans

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/fleet"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/links"
)

// maxLoadTime is the length of a load that nobody ends; plans end it.
const maxLoadTime = 5 * time.Minute

// Options choose an experiment.
type Options struct {
	Deployment *fleet.Deployment
	Plan       Plan
	Seed       uint64
	// Duration is the shortest length of the load; it lasts as long as the plan.
	Duration time.Duration
	// ModelRate is in requests per second.
	ModelRate float64
	// Fleet says how to run the processes, as for a demonstration.
	Fleet fleet.Options
	Log   *logrus.Entry
}

// Summary is the result of an experiment as one JSON object.
type Summary struct {
	*fleet.Summary
	Plan string `json:"plan"`
	// RecoveryS is the longest time, in seconds, from a disturbance until orders
	// were acknowledged and callers served again; the next two are its parts.
	RecoveryS        float64       `json:"recovery_s"`
	OrdersRecoveryS  float64       `json:"orders_recovery_s"`
	CallersRecoveryS float64       `json:"callers_recovery_s"`
	Disturbances     []Disturbance `json:"disturbances"`
}

// Experiment runs a plan from the first process to the last and judges it.
func Experiment(ctx context.Context, options Options) (*Summary, error) {
	var network *links.Network
	if options.Plan.Links {
		network = links.NewNetwork()
	}
	var played *run
	demonstration := fleet.Demonstration{
		Deployment: options.Deployment,
		Load:       fleet.LoadOptions{Seed: options.Seed, Duration: maxLoadTime, ModelRate: options.ModelRate},
		Fleet:      options.Fleet,
		Log:        options.Log,
		Script: func(stage fleet.Stage) fleet.Script {
			played = newRun(stage, options, network)
			return played
		},
	}
	demonstration.Fleet.Network = network
	outcome, err := fleet.Perform(ctx, demonstration)
	if err != nil {
		return nil, err
	}
	return played.summarize(outcome, options), nil
}

func (run *run) summarize(outcome *fleet.Outcome, options Options) *Summary {
	recovery := MeasureRecovery(outcome.Records, run.disturbances, run.submitted)
	summary := &Summary{
		Summary:          fleet.Summarize(options.Deployment.Topology, options.Seed, outcome),
		Plan:             run.plan.Name,
		RecoveryS:        recovery.Longest().Seconds(),
		OrdersRecoveryS:  recovery.Orders.Seconds(),
		CallersRecoveryS: recovery.Callers.Seconds(),
		Disturbances:     run.disturbances,
	}
	summary.Violations = append(summary.Violations, run.violations...)
	summary.Violations = append(summary.Violations, recovery.checkOrders(run.submitted)...)
	return summary
}

var _ fleet.Script = (*run)(nil)
