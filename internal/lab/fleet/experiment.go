package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
)

// Time limits of an experiment, apart from the duration of its load, and its first revision.
const (
	// setupTimeout bounds the time until all running nodes serve the first configuration.
	setupTimeout = 25 * time.Second
	// convergenceTimeout is how long the deployment has to converge after the last
	// disturbance. It exceeds the bound on a weight roll-out, so that a run records a
	// roll-out that exceeds its bound.
	convergenceTimeout = checker.WeightsBound + time.Second
	// convergencePollEvery is the time between two checks whether the replicas converged.
	convergencePollEvery = 100 * time.Millisecond
	// samplingAfterConvergence is how long sampling continues after the last disturbance even if
	// all replicas have converged, so that the samples cover the time by which every node
	// must serve the newest configuration.
	samplingAfterConvergence = checker.ServedBound + time.Second
	// firstRevision is the base revision of the order that applies the first configuration.
	firstRevision = 0
)

// Script performs faults and changes while the load runs.
type Script interface {
	// Run performs all steps. It returns early when the context ends.
	Run(ctx context.Context)
	// Disturbed returns the time at which the last fault or change ended.
	Disturbed() time.Duration
	// Failures returns the errors of the steps that could not be performed.
	Failures() []error
}

// Stage contains what a script needs to act on a run.
type Stage struct {
	Deployment *Deployment
	Fleet      *Fleet
	Recorder   *operator.Recorder
	Plan       operator.Plan
	Clock      *Clock
	Log        *logrus.Entry
}

// Experiment runs a load and a script against a fleet and records the run.
type Experiment struct {
	Fleet      *Fleet
	Deployment *Deployment
	Clock      *Clock
	Plan       operator.Plan
	Load       caller.Load
	Log        *logrus.Entry
	// Script returns the script to run; the load then ends with the script. If Script is
	// nil, the scenario of the plan runs with the whole load.
	Script func(Stage) Script
}

// Outcome is the result of an experiment.
type Outcome struct {
	Records *checker.Records
	// Skipped counts requests that were not sent because too many were in flight.
	Skipped int
	// ConvergenceTime is the time from the last disturbance until every replica
	// ran the last weights; Converged reports whether all of them did.
	ConvergenceTime time.Duration
	Converged       bool
	// Failures are the errors of the script's steps that could not be performed.
	Failures []error
}

// Run runs the experiment on a fleet that has been started. The caller limits
// its duration with the context.
func (experiment *Experiment) Run(ctx context.Context) (*Outcome, error) {
	recorder := operator.NewRecorder(experiment.Clock.Now)
	if err := experiment.configure(ctx, recorder); err != nil {
		return nil, err
	}
	sampler := NewSampler(experiment.Fleet.Topology, experiment.Clock)
	balancer := caller.NewBalancer(trafficTargets(experiment.Deployment.Topology))
	runner := &caller.Runner{Run: experiment.Plan.Run, Balancer: balancer, Now: experiment.Clock.Now}
	script, load := experiment.script(recorder)
	outcome := &Outcome{}
	experiment.watch(ctx, sampler, balancer, func() {
		var acting sync.WaitGroup
		acting.Go(func() { runner.Do(ctx, load) })
		acting.Go(func() { script.Run(ctx) })
		acting.Wait()
		experiment.awaitConvergence(ctx, sampler, script, outcome)
	})
	outcome.Skipped = runner.Skipped()
	outcome.Failures = script.Failures()
	outcome.Records = experiment.records(recorder, runner, sampler, script)
	return outcome, experiment.collect(ctx, outcome.Records)
}

// script returns the script of the run and the load that runs with it.
func (experiment *Experiment) script(recorder *operator.Recorder) (Script, caller.Load) {
	if experiment.Script == nil {
		return &operator.Scenario{
			Plan: experiment.Plan, Recorder: recorder,
			Machines: experiment.Fleet, Log: experiment.Log,
		}, experiment.Load
	}
	chosen := experiment.Script(Stage{
		Deployment: experiment.Deployment, Fleet: experiment.Fleet,
		Recorder: recorder, Plan: experiment.Plan, Clock: experiment.Clock, Log: experiment.Log,
	})
	return endLoadWithScript(chosen, experiment.Load)
}

// collect reads the records of the stand-ins, even if the context of the run has ended.
func (experiment *Experiment) collect(ctx context.Context, records *checker.Records) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), collectTimeout)
	defer cancel()
	return experiment.Fleet.Collect(ctx, records)
}

// configure applies the first configuration and waits until all running nodes are ready.
func (experiment *Experiment) configure(ctx context.Context, recorder *operator.Recorder) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	order := operator.ApplyOrder(fmt.Sprintf("%s-first", experiment.Plan.Run), firstRevision, experiment.Deployment.Configuration)
	record, err := recorder.SubmitUntilDecided(ctx, experiment.Fleet.LiveTargets(), order)
	if err != nil {
		return errors.Wrap(err, "apply the first configuration")
	}
	if record.Outcome != checker.OutcomeAcknowledged {
		return errors.Errorf("the first configuration was refused: %s", record.ProblemKind)
	}
	return errors.Wrap(experiment.Fleet.AwaitReady(ctx), "wait for the nodes to serve the first configuration")
}

// watch runs the sampler and the balancer until act returns.
func (experiment *Experiment) watch(ctx context.Context, sampler *Sampler, balancer *caller.Balancer, act func()) {
	balancer.Poll(ctx)
	ctx, stop := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() { sampler.Run(ctx) })
	watching.Go(func() { balancer.Run(ctx) })
	act()
	stop()
	watching.Wait()
}

// awaitConvergence waits until every listed replica that is not draining runs the last
// weights, or until convergenceTimeout after the last disturbance.
func (experiment *Experiment) awaitConvergence(ctx context.Context, sampler *Sampler, script Script, outcome *Outcome) {
	disturbedUntil := script.Disturbed()
	for ctx.Err() == nil && experiment.Clock.Now() < disturbedUntil+convergenceTimeout {
		if sampler.ReplicasRunning(experiment.Plan.LastWeights) {
			outcome.Converged = true
			outcome.ConvergenceTime = max(0, experiment.Clock.Now()-disturbedUntil)
			pause.For(ctx, disturbedUntil+samplingAfterConvergence-experiment.Clock.Now())
			return
		}
		pause.For(ctx, convergencePollEvery)
	}
}

// records returns the records of the run except those of the stand-ins, which collect adds.
func (experiment *Experiment) records(recorder *operator.Recorder, runner *caller.Runner, sampler *Sampler, script Script) *checker.Records {
	end := experiment.Clock.Now()
	records := &checker.Records{
		Requests: runner.Records(),
		Orders:   recorder.Records(),
		Nodes:    experiment.Fleet.NodeRuns(),
		Calm:     []checker.Span{{From: script.Disturbed(), To: end}},
		End:      end,
	}
	for _, tenant := range experiment.Deployment.Configuration.GetTenants() {
		records.Tenants = append(records.Tenants, checker.Tenant{Name: tenant.GetName(), Walled: tenant.GetWalled()})
	}
	sampler.Fill(records)
	return records
}
