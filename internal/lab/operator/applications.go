package operator

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// raceOperators is the number of operators that concurrently change the configuration
// on the same base revision.
const raceOperators = 2

// resends is the number of nodes to which an acknowledged order is sent again.
const resends = 3

// ApplyOrder returns the order to apply a complete configuration on a base revision;
// base 0 means any revision.
func ApplyOrder(orderID string, base uint64, configuration *ridgeswitchv1.Configuration) Order {
	return Order{
		Call: "ApplyConfiguration",
		Request: &ridgeswitchv1.ApplyConfigurationRequest{
			Order:         &ridgeswitchv1.OrderHeader{OrderId: orderID, BaseRevision: base},
			Configuration: configuration,
		},
		Change: checker.Change{Kind: checker.ChangeApply},
	}
}

// editOrder returns the order that applies an edit to the configuration that Present
// returns, with its revision as the base.
func (scenario *Scenario) editOrder(ctx context.Context, name string, edit func(*ridgeswitchv1.Configuration)) (Order, error) {
	present, err := scenario.CurrentConfiguration(ctx)
	if err != nil {
		return Order{}, err
	}
	changed := proto.CloneOf(present)
	edit(changed)
	return ApplyOrder(scenario.OrderID(name), present.GetRevision(), changed), nil
}

// CurrentConfiguration returns the configuration that the first node to answer serves.
func (scenario *Scenario) CurrentConfiguration(ctx context.Context) (*ridgeswitchv1.Configuration, error) {
	err := errors.New("no live node to read the configuration from; start one")
	for _, target := range scenario.Targets() {
		var configuration *ridgeswitchv1.Configuration
		configuration, err = scenario.Recorder.Configuration(ctx, target)
		if err == nil {
			return configuration, nil
		}
	}
	return nil, err
}

// changeLimits applies a configuration in which the burst limit of every tenant is one
// higher.
func (scenario *Scenario) changeLimits(ctx context.Context) error {
	order, err := scenario.editOrder(ctx, "limits", func(configuration *ridgeswitchv1.Configuration) {
		for _, tenant := range configuration.GetTenants() {
			tenant.Limits.Burst++
		}
	})
	if err != nil {
		return err
	}
	return scenario.RequireAcknowledged(ctx, order)
}

// Race submits conflicting orders on the same base revision concurrently, starting at
// different nodes if more than one is live. It returns an error if none is acknowledged.
// Otherwise it resends the acknowledged order to several nodes, as if the response had been
// lost.
func (scenario *Scenario) Race(ctx context.Context) error {
	orders, err := scenario.conflictingOrders(ctx)
	if err != nil {
		return err
	}
	results := make([]checker.Order, len(orders))
	var racing sync.WaitGroup
	for number, order := range orders {
		targets := scenario.Targets()
		racing.Go(func() { results[number], _ = scenario.Recorder.SubmitUntilDecided(ctx, targets, order) })
	}
	racing.Wait()
	winner := slices.IndexFunc(results, func(result checker.Order) bool {
		return result.Outcome == checker.OutcomeAcknowledged
	})
	if winner < 0 {
		return errors.Errorf("no concurrent order on the same base revision was acknowledged: outcomes %s and %s", results[0].Outcome, results[1].Outcome)
	}
	return scenario.Resend(ctx, orders[winner])
}

// conflictingOrders returns orders on the same base revision that differ in content.
func (scenario *Scenario) conflictingOrders(ctx context.Context) ([]Order, error) {
	present, err := scenario.CurrentConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	orders := make([]Order, raceOperators)
	for number := range orders {
		changed := proto.CloneOf(present)
		changed.Tenants[0].Limits.QueuedRequests += uint32(number + 1)
		orders[number] = ApplyOrder(scenario.OrderID(fmt.Sprintf("race-%d", number)), present.GetRevision(), changed)
	}
	return orders, nil
}

// Resend submits the identical order again, to up to resends nodes one after the other.
func (scenario *Scenario) Resend(ctx context.Context, order Order) error {
	targets := scenario.Targets()
	for _, target := range targets[:min(resends, len(targets))] {
		if _, err := scenario.Recorder.SubmitUntilDecided(ctx, []Target{target}, order); err != nil {
			return err
		}
	}
	return nil
}

// SendInvalid submits configurations that each break one rule. All must be refused.
func (scenario *Scenario) SendInvalid(ctx context.Context) error {
	for _, fault := range invalidEdits {
		order, err := scenario.editOrder(ctx, "invalid-"+fault.name, fault.edit)
		if err != nil {
			return err
		}
		order.Invalid = true
		record, err := scenario.Recorder.SubmitUntilDecided(ctx, scenario.Targets(), order)
		if err != nil {
			return err
		}
		if record.Outcome != checker.OutcomeRefused {
			return errors.Errorf("invalid configuration %s must be refused, but its outcome was %s", fault.name, record.Outcome)
		}
	}
	return nil
}

// invalidEdit is an edit that makes a configuration break one rule.
type invalidEdit struct {
	name string
	edit func(*ridgeswitchv1.Configuration)
}

var invalidEdits = []invalidEdit{
	{"dangling-route", func(configuration *ridgeswitchv1.Configuration) {
		configuration.Routes[0].Destination = &ridgeswitchv1.Route_Pool{Pool: "missing"}
	}},
	{"zero-limit", func(configuration *ridgeswitchv1.Configuration) {
		configuration.Tenants[0].Limits.ConcurrentRequests = 0
	}},
	{"duplicate-tenant", func(configuration *ridgeswitchv1.Configuration) {
		configuration.Tenants[1].Name = configuration.Tenants[0].GetName()
	}},
}
