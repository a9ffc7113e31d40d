package plans

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
)

// Numbers of the storm.
const (
	stormConfigurationCount = 200
	// One of so many configurations is invalid, is raced for, or is sent again.
	invalidEvery = 7
	raceEvery    = 10
	resendEvery  = 5
	// rivalCount is how many operators race on one base.
	rivalCount = 3
	// stormAttempts bounds how often an operator reads again after another node
	// had a newer configuration.
	stormAttempts = 40
)

// stormConfigurations applies configurations as fast as they are acknowledged,
// each with one route more than the one before.
func stormConfigurations(ctx context.Context, run *run) error {
	run.recordDisturbance("storm of configurations")
	for number := 1; number <= stormConfigurationCount; number++ {
		if err := run.stormIteration(ctx, number); err != nil {
			return errors.Wrapf(err, "configuration %d", number)
		}
		if number == stormConfigurationCount/2 {
			run.step("name newer weights", func() error { return run.scenario.NameWeights(ctx, run.Plan.LastWeights) })
		}
	}
	return nil
}

// stormIteration applies one configuration, or an invalid one.
func (run *run) stormIteration(ctx context.Context, number int) error {
	if number%invalidEvery == 0 {
		return run.applyInvalid(ctx, number)
	}
	rivals := 1
	if number%raceEvery == 0 {
		rivals = rivalCount
	}
	won, err := run.grow(ctx, number, rivals)
	if err != nil {
		return err
	}
	if number%resendEvery == 0 {
		return run.scenario.Resend(ctx, won)
	}
	return nil
}

// grow lets rivals add a route each on one base until one of them wins. A node
// may show a configuration that is not the newest, on which nobody wins.
func (run *run) grow(ctx context.Context, number, rivals int) (operator.Order, error) {
	for attempt := range stormAttempts {
		present, err := run.scenario.CurrentConfiguration(ctx)
		if err != nil {
			return operator.Order{}, err
		}
		orders := make([]operator.Order, rivals)
		for rival := range orders {
			orders[rival] = run.routeOrder(present, fmt.Sprintf("storm-%d-%d-%d", number, attempt, rival))
		}
		won, err := run.raceOrders(ctx, orders)
		if err != nil {
			return operator.Order{}, err
		}
		if won != nil {
			return *won, nil
		}
	}
	return operator.Order{}, errors.Errorf("no operator won in %d attempts", stormAttempts)
}

// raceOrders submits orders at the same time through different nodes and
// returns the one that won, or nil if all were refused as stale.
func (run *run) raceOrders(ctx context.Context, orders []operator.Order) (*operator.Order, error) {
	records := make([]checker.Order, len(orders))
	failures := make([]error, len(orders))
	var racing sync.WaitGroup
	for number, order := range orders {
		targets := run.scenario.Targets()
		racing.Go(func() { records[number], failures[number] = run.Recorder.SubmitUntilDecided(ctx, targets, order) })
	}
	racing.Wait()
	var won *operator.Order
	for number, record := range records {
		switch {
		case failures[number] != nil:
			return nil, failures[number]
		case record.Outcome == checker.OutcomeAcknowledged:
			won = &orders[number]
			run.recordAcknowledged(orders[number], record)
		case record.ProblemKind != baseStale:
			return nil, errors.Errorf("order %s was refused: %s", record.OrderID, record.ProblemKind)
		}
	}
	return won, nil
}

// baseStale is the kind of refusal that a lost race ends with.
const baseStale = "base_revision_stale"

// routeOrder adds one route to a configuration.
func (run *run) routeOrder(present *ridgeswitchv1.Configuration, name string) operator.Order {
	changed := proto.CloneOf(present)
	changed.Routes = append(changed.Routes, run.route(name, present.GetWebServices()[0].GetName()))
	return operator.ApplyOrder(run.scenario.OrderID(name), present.GetRevision(), changed)
}

// route returns a public route from a host of its own to a web service.
func (run *run) route(name, webService string) *ridgeswitchv1.Route {
	return &ridgeswitchv1.Route{
		Host: name + ".example", Public: true,
		Destination: &ridgeswitchv1.Route_WebService{WebService: webService},
	}
}

// applyInvalid submits a configuration with a route to nowhere.
func (run *run) applyInvalid(ctx context.Context, number int) error {
	present, err := run.scenario.CurrentConfiguration(ctx)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("storm-invalid-%d", number)
	changed := proto.CloneOf(present)
	changed.Routes = append(changed.Routes, run.route(name, "missing"))
	order := operator.ApplyOrder(run.scenario.OrderID(name), present.GetRevision(), changed)
	order.Invalid = true
	record, err := run.Recorder.SubmitUntilDecided(ctx, run.scenario.Targets(), order)
	if err != nil {
		return err
	}
	if record.Outcome != checker.OutcomeRefused {
		return errors.Errorf("an invalid configuration was %s", record.Outcome)
	}
	return nil
}
