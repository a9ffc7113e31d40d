package plans

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/fleet"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/links"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
)

// Times of every run.
const (
	// calmTime is how long there are orders without a fault, before the first fault and
	// between two.
	calmTime = 2 * time.Second
	// recoveryTimeout bounds the wait for service after a fault. It exceeds the
	// rule's bound, so that a late return is measured.
	recoveryTimeout = 30 * time.Second
	// attemptTimeout is when an operator tries another node.
	attemptTimeout = 2500 * time.Millisecond
	// faultTimeout bounds all faults of a plan.
	faultTimeout = 4 * time.Minute
)

// run is one run of a plan. It implements fleet.Script.
type run struct {
	fleet.Stage
	plan                Plan
	network             *links.Network
	duration            time.Duration
	random              *rand.Rand
	scenario            *operator.Scenario
	backgroundOperators *backgroundOperators

	// lock guards what the plan and the background operators both record.
	lock         sync.Mutex
	disturbances []Disturbance
	failures     []error
	violations   []checker.Violation
	acknowledged []acknowledgedOrder
	// submitted is until when orders were submitted without a pause.
	submitted time.Duration
	// ended is when the run was over.
	ended time.Duration
}

// runStream separates the draws of a run of a plan from others of the same seed.
const runStream = 0x91a5

func newRun(stage fleet.Stage, options Options, network *links.Network) *run {
	stage.Recorder.AttemptTimeout = attemptTimeout
	created := &run{
		Stage: stage, plan: options.Plan, network: network, duration: options.Duration,
		random: rand.New(rand.NewPCG(options.Seed, runStream)),
		scenario: &operator.Scenario{
			Plan: stage.Plan, Recorder: stage.Recorder,
			Machines: stage.Fleet, Log: stage.Log,
		},
	}
	created.backgroundOperators = newBackgroundOperators(created)
	return created
}

// Run implements fleet.Script.
func (run *run) Run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	began := run.Clock.Now()
	run.step("wait for the pool", func() error { return run.awaitPool(ctx, allServing) })
	run.step("add a key", func() error { return run.scenario.AddKey(ctx) })
	run.step("revoke a key", func() error { return run.scenario.RevokeKey(ctx) })
	run.step("name weights", func() error { return run.scenario.NameWeights(ctx, run.Plan.FirstWeights) })
	if !run.plan.SubmitsOrders {
		run.backgroundOperators.start(ctx)
	}
	pause.For(ctx, calmTime)
	run.step(run.plan.Name, func() error { return run.plan.injectFaults(ctx, run) })
	if run.plan.SubmitsOrders {
		run.submitted = run.Clock.Now()
	}
	run.step("wait for all nodes", func() error { return run.Fleet.AwaitReady(ctx) })
	run.step("name newer weights", func() error { return run.scenario.NameWeights(ctx, run.Plan.LastWeights) })
	pause.For(ctx, began+run.duration-run.Clock.Now())
	if !run.plan.SubmitsOrders {
		run.submitted = run.Clock.Now()
	}
	run.backgroundOperators.stop()
	run.step("look for what was acknowledged", func() error { return run.verify(ctx) })
	run.ended = run.Clock.Now()
}

// Disturbed implements fleet.Script.
func (run *run) Disturbed() time.Duration { return run.ended }

// Failures implements fleet.Script.
func (run *run) Failures() []error {
	run.lock.Lock()
	defer run.lock.Unlock()
	return run.failures
}

// step does one thing of the run, and records it if it fails; the run goes on.
func (run *run) step(name string, do func() error) {
	run.Log.WithField("at", run.Clock.Now()).Info(name)
	if err := do(); err != nil {
		run.fail(errors.Wrap(err, name))
	}
}

// fail records what could not be done.
func (run *run) fail(err error) {
	run.Log.WithError(err).Warn("failed")
	run.lock.Lock()
	defer run.lock.Unlock()
	run.failures = append(run.failures, err)
}

// recordDisturbance records that a fault begins now.
func (run *run) recordDisturbance(name string) {
	at := run.Clock.Now()
	run.Log.WithField("at", at).Info(name)
	run.lock.Lock()
	defer run.lock.Unlock()
	run.disturbances = append(run.disturbances, Disturbance{Name: name, At: at})
}

// violate records what no run may show.
func (run *run) violate(name checker.Name, detail string) {
	run.lock.Lock()
	defer run.lock.Unlock()
	run.violations = append(run.violations, checker.Violation{Invariant: name, Detail: detail, At: run.Clock.Now()})
}

// awaitCalm returns when service is back after a fault, and calmTime has passed since.
func (run *run) awaitCalm(ctx context.Context) error {
	if err := run.awaitService(ctx); err != nil {
		return err
	}
	pause.For(ctx, calmTime)
	return nil
}

// awaitService returns when an order that was sent after now is acknowledged, the pool
// serves and all nodes are ready.
func (run *run) awaitService(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := run.backgroundOperators.await(ctx, run.Clock.Now()); err != nil {
		return err
	}
	if err := run.awaitPool(ctx, anyServing); err != nil {
		return err
	}
	return run.Fleet.AwaitReady(ctx)
}
