package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
)

// Bounds of an experiment beside its load.
const (
	// setupTimeout bounds the start up to the first served request.
	setupTimeout = 25 * time.Second
	// settleTimeout is how long the deployment gets after the last change. It
	// exceeds the bound on a roll-out, so that a late one is seen as such.
	settleTimeout = checker.WeightsBound + time.Second
	// settlePoll is how often the settling is looked at.
	settlePoll = 100 * time.Millisecond
	// afterSettled is how long the samples go on once all has settled, so that
	// the newest configuration is due everywhere before they end.
	afterSettled = checker.ServedBound + time.Second
	// firstRevision is the base of the first configuration.
	firstRevision = 0
)

// Experiment runs a load and a scenario against a fleet and records the run.
type Experiment struct {
	Fleet         *Fleet
	Topology      *Topology
	Configuration *ridgeswitchv1.Configuration
	Clock         *Clock
	Plan          operator.Plan
	Load          caller.Load
	Log           *logrus.Entry
}

// Outcome is what an experiment found.
type Outcome struct {
	Records *checker.Records
	// Skipped counts requests that were not sent since too many ran.
	Skipped int
	// WeightsSettled is the time from the last disturbance until every replica
	// ran the last weights; Settled tells whether they came to.
	WeightsSettled time.Duration
	Settled        bool
	// Failures are the steps of the scenario that could not be done.
	Failures []error
}

// Run runs the experiment on a fleet that has been started. Callers bound it by
// the context.
func (experiment *Experiment) Run(ctx context.Context) (*Outcome, error) {
	recorder := operator.NewRecorder(experiment.Clock.Now)
	if err := experiment.configure(ctx, recorder); err != nil {
		return nil, err
	}
	sampler := NewSampler(experiment.Topology, experiment.Clock)
	balancer := caller.NewBalancer(trafficTargets(experiment.Topology))
	runner := &caller.Runner{Run: experiment.Plan.Run, Balancer: balancer, Now: experiment.Clock.Now}
	scenario := &operator.Scenario{Plan: experiment.Plan, Recorder: recorder,
		Machines: experiment.Fleet, Log: experiment.Log}
	outcome := &Outcome{}
	experiment.watch(ctx, sampler, balancer, func() {
		var acting sync.WaitGroup
		acting.Go(func() { runner.Do(ctx, experiment.Load) })
		acting.Go(func() { scenario.Run(ctx) })
		acting.Wait()
		experiment.settle(ctx, sampler, scenario, outcome)
	})
	outcome.Skipped = runner.Skipped()
	outcome.Failures = scenario.Failures()
	outcome.Records = experiment.records(recorder, runner, sampler, scenario)
	return outcome, experiment.collect(ctx, outcome.Records)
}

// collect reads the ground truth, also when the time for the run is up.
func (experiment *Experiment) collect(ctx context.Context, records *checker.Records) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), collectTimeout)
	defer cancel()
	return experiment.Fleet.Collect(ctx, records)
}

// configure applies the first configuration and waits until all nodes serve it.
func (experiment *Experiment) configure(ctx context.Context, recorder *operator.Recorder) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	order := operator.ApplyOrder(fmt.Sprintf("%s-first", experiment.Plan.Run), firstRevision, experiment.Configuration)
	record, err := recorder.Insist(ctx, experiment.Fleet.LiveTargets(), order)
	if err != nil {
		return errors.Wrap(err, "apply the first configuration")
	}
	if record.Outcome != checker.OutcomeAcknowledged {
		return errors.Errorf("the first configuration was refused: %s", record.ProblemKind)
	}
	return errors.Wrap(experiment.Fleet.AwaitReady(ctx), "wait for the nodes to serve the first configuration")
}

// watch samples while act runs.
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

// settle waits until every replica runs the last weights, or until it should
// have.
func (experiment *Experiment) settle(ctx context.Context, sampler *Sampler, scenario *operator.Scenario, outcome *Outcome) {
	calmSince := scenario.Disturbed()
	for ctx.Err() == nil && experiment.Clock.Now() < calmSince+settleTimeout {
		if sampler.ReplicasRunning(experiment.Plan.LastWeights) {
			outcome.Settled = true
			outcome.WeightsSettled = max(0, experiment.Clock.Now()-calmSince)
			wait(ctx, calmSince+afterSettled-experiment.Clock.Now())
			return
		}
		wait(ctx, settlePoll)
	}
}

func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (experiment *Experiment) records(recorder *operator.Recorder, runner *caller.Runner, sampler *Sampler, scenario *operator.Scenario) *checker.Records {
	end := experiment.Clock.Now()
	records := &checker.Records{
		Requests: runner.Records(),
		Orders:   recorder.Records(),
		Nodes:    experiment.Fleet.Lives(),
		Calm:     []checker.Span{{From: scenario.Disturbed(), To: end}},
		End:      end,
	}
	for _, tenant := range experiment.Configuration.GetTenants() {
		records.Tenants = append(records.Tenants, checker.Tenant{Name: tenant.GetName(), Walled: tenant.GetWalled()})
	}
	sampler.Fill(records)
	return records
}
