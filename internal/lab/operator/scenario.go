package operator

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
)

// orderTimeout bounds the duration of one step, including all resends of its orders.
const orderTimeout = 20 * time.Second

// Machines performs the actions of a scenario that are not orders: it acts on node and
// replica processes.
type Machines interface {
	KillNode(name string) error
	RestartNode(name string) error
	DrainReplica(ctx context.Context, address string) error
	// DisturbReplicas makes replicas refuse requests and truncate responses if disturbed
	// is set, and returns them to normal operation otherwise.
	DisturbReplicas(ctx context.Context, addresses []string, disturbed bool) error
	// LiveTargets returns the running nodes, in a fixed order.
	LiveTargets() []Target
}

// Plan names the objects that a scenario acts on.
type Plan struct {
	// Run identifies the run; it is the prefix of the IDs of its orders.
	Run string
	// Duration is the duration of the load; steps start at fixed fractions of it.
	Duration time.Duration
	Pool     string
	// FirstWeights is the weight version that is named first; LastWeights is named
	// before the roll-out of FirstWeights has completed.
	FirstWeights   string
	LastWeights    string
	EvacuatedZone  string
	DrainedReplica string
	// DisturbedReplicas refuse requests and truncate responses for a while.
	DisturbedReplicas []string
	KilledFront       string
	KilledCore        string
	// KeyTenant gets the additional key AddedKey with AddedDigest, RevokedKey of
	// RevokedTenant is revoked, and WalledTenant is walled and unwalled.
	KeyTenant     string
	AddedKey      string
	AddedDigest   string
	RevokedTenant string
	RevokedKey    string
	WalledTenant  string
}

// Scenario executes a plan: Run performs the steps one after the other. Only the goroutine
// of Run may change the scenario; Targets may be called by any goroutine.
type Scenario struct {
	Plan     Plan
	Recorder *Recorder
	Machines Machines
	Log      *logrus.Entry

	failures []error
	// next counts the calls of Targets.
	next atomic.Int64
	// lastStepEnded is the time at which the last step ended.
	lastStepEnded time.Duration
}

// step is one action of the scenario, at a fraction of the plan's duration.
type step struct {
	at   float64
	name string
	do   func(context.Context) error
}

func (scenario *Scenario) steps() []step {
	plan := scenario.Plan
	return []step{
		{0.05, "add a key", scenario.AddKey},
		{0.08, "change limits", scenario.changeLimits},
		{0.12, "race on one base", scenario.Race},
		{0.18, "send invalid configurations", scenario.SendInvalid},
		{0.20, "revoke a key", scenario.RevokeKey},
		{0.25, "name weights", func(ctx context.Context) error { return scenario.NameWeights(ctx, plan.FirstWeights) }},
		{0.28, "drain a replica", scenario.drainReplica},
		{0.32, "evacuate a zone", scenario.evacuate},
		{0.35, "disturb replicas", func(ctx context.Context) error { return scenario.disturb(ctx, true) }},
		{0.40, "kill a front node", func(context.Context) error { return scenario.Machines.KillNode(plan.KilledFront) }},
		{0.45, "wall a tenant", scenario.wall},
		{0.55, "kill a core node", func(context.Context) error { return scenario.Machines.KillNode(plan.KilledCore) }},
		{0.58, "name newer weights", func(ctx context.Context) error { return scenario.NameWeights(ctx, plan.LastWeights) }},
		{0.75, "end the disturbance", func(ctx context.Context) error { return scenario.disturb(ctx, false) }},
		{0.80, "restart the front node", func(context.Context) error { return scenario.Machines.RestartNode(plan.KilledFront) }},
		{0.85, "restart the core node", func(context.Context) error { return scenario.Machines.RestartNode(plan.KilledCore) }},
		{0.90, "restore the zone", scenario.restore},
		{0.95, "unwall the tenant", scenario.unwall},
	}
}

// Run performs every step at its time, or later if earlier steps have not ended by then.
// A step that fails is recorded, and Run continues with the next one. If the context ends,
// Run records the step that is due next as failed and returns.
func (scenario *Scenario) Run(ctx context.Context) {
	started := scenario.Recorder.now()
	for _, step := range scenario.steps() {
		due := started + time.Duration(step.at*float64(scenario.Plan.Duration))
		pause.For(ctx, due-scenario.Recorder.now())
		if ctx.Err() != nil {
			scenario.fail(step.name, ctx.Err())
			return
		}
		scenario.Log.WithField("at", scenario.Recorder.now()).Info(step.name)
		if err := scenario.runStep(ctx, step); err != nil {
			scenario.fail(step.name, err)
		}
		scenario.lastStepEnded = scenario.Recorder.now()
	}
}

func (scenario *Scenario) runStep(ctx context.Context, step step) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return step.do(ctx)
}

// fail logs and records that a step failed.
func (scenario *Scenario) fail(name string, err error) {
	scenario.Log.WithError(err).Warn(name + " failed")
	scenario.failures = append(scenario.failures, errors.Wrap(err, name))
}

// Failures returns the errors of the steps that failed.
func (scenario *Scenario) Failures() []error { return scenario.failures }

// Disturbed returns the time at which the last step ended.
func (scenario *Scenario) Disturbed() time.Duration { return scenario.lastStepEnded }

// Targets returns the live nodes, rotated so that consecutive calls begin with
// different nodes.
func (scenario *Scenario) Targets() []Target {
	live := scenario.Machines.LiveTargets()
	if len(live) == 0 {
		return nil
	}
	first := int(scenario.next.Add(1)) % len(live)
	return append(append([]Target(nil), live[first:]...), live[:first]...)
}

// OrderID returns the ID of an order, prefixed by the name of the run.
func (scenario *Scenario) OrderID(name string) string {
	return fmt.Sprintf("%s-%s", scenario.Plan.Run, name)
}

// RequireAcknowledged submits an order until a node acknowledges or refuses it, and
// returns an error unless it is acknowledged.
func (scenario *Scenario) RequireAcknowledged(ctx context.Context, order Order) error {
	record, err := scenario.Recorder.SubmitUntilDecided(ctx, scenario.Targets(), order)
	if err != nil {
		return err
	}
	if record.Outcome != checker.OutcomeAcknowledged {
		return errors.Errorf("order %s was refused: %s", record.OrderID, record.ProblemKind)
	}
	return nil
}

func (scenario *Scenario) drainReplica(ctx context.Context) error {
	return scenario.Machines.DrainReplica(ctx, scenario.Plan.DrainedReplica)
}

func (scenario *Scenario) disturb(ctx context.Context, disturbed bool) error {
	return scenario.Machines.DisturbReplicas(ctx, scenario.Plan.DisturbedReplicas, disturbed)
}
