package plans

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
)

// acknowledgedOrder is an order that was acknowledged, with its revision.
type acknowledgedOrder struct {
	order    operator.Order
	revision uint64
}

// requireAcknowledged submits an order until it is decided, and records it. It fails
// unless the order is acknowledged.
func (run *run) requireAcknowledged(ctx context.Context, order operator.Order) error {
	record, err := run.Recorder.SubmitUntilDecided(ctx, run.scenario.Targets(), order)
	if err != nil {
		return err
	}
	if record.Outcome != checker.OutcomeAcknowledged {
		return errors.Errorf("order %s was refused: %s", record.OrderID, record.ProblemKind)
	}
	run.recordAcknowledged(order, record)
	return nil
}

// recordAcknowledged keeps an acknowledged order, for verify.
func (run *run) recordAcknowledged(order operator.Order, record checker.Order) {
	run.lock.Lock()
	defer run.lock.Unlock()
	run.acknowledged = append(run.acknowledged, acknowledgedOrder{order: order, revision: record.Revision})
}

// verifyMargin is how much longer than the bound verify waits until all nodes serve
// what was acknowledged.
const verifyMargin = 100 * time.Millisecond

// verify checks that every node has all that was acknowledged, and sends every order
// again: a resend must be answered as the first time.
func (run *run) verify(ctx context.Context) error {
	if len(run.acknowledged) == 0 {
		return errors.New("no order was acknowledged, so that there is nothing to look for")
	}
	pause.For(ctx, checker.ServedBound+verifyMargin)
	for _, target := range run.Fleet.LiveTargets() {
		configuration, err := run.Recorder.Configuration(ctx, target)
		if err != nil {
			return err
		}
		for _, missing := range missing(configuration, run.acknowledged) {
			run.violate(AcknowledgedKept, fmt.Sprintf("%s does not hold order %s, acknowledged as revision %d",
				target.Node, missing.order.Request.GetOrder().GetOrderId(), missing.revision))
		}
	}
	for _, acknowledged := range run.acknowledged {
		record, err := run.Recorder.SubmitUntilDecided(ctx, run.scenario.Targets(), acknowledged.order)
		if err != nil {
			return err
		}
		if record.Outcome != checker.OutcomeAcknowledged || record.Revision != acknowledged.revision {
			run.violate(AcknowledgedKept, fmt.Sprintf("order %s, acknowledged as revision %d, was answered %s %d when resent",
				record.OrderID, acknowledged.revision, record.Outcome, record.Revision))
		}
	}
	return nil
}

// missing returns the acknowledged orders that are not in force in a configuration.
func missing(configuration *ridgeswitchv1.Configuration, acknowledged []acknowledgedOrder) []acknowledgedOrder {
	keys, routes := make(map[string]bool), make(map[string]bool)
	for _, tenant := range configuration.GetTenants() {
		for _, key := range tenant.GetKeys() {
			keys[keyPath(tenant.GetName(), key.GetName(), key.GetSha256())] = true
		}
	}
	for _, route := range configuration.GetRoutes() {
		routes[route.GetHost()] = true
	}
	var found []acknowledgedOrder
	for _, candidate := range acknowledged {
		if !isInForce(candidate.order, keys, routes) {
			found = append(found, candidate)
		}
	}
	return found
}

// isInForce reports whether an order is in force where these keys and hosts of routes
// are.
func isInForce(order operator.Order, keys, routes map[string]bool) bool {
	switch request := order.Request.(type) {
	case *ridgeswitchv1.AddKeyRequest:
		return keys[keyPath(request.GetTenant(), request.GetKey().GetName(), request.GetKey().GetSha256())]
	case *ridgeswitchv1.ApplyConfigurationRequest:
		for _, route := range request.GetConfiguration().GetRoutes() {
			if !routes[route.GetHost()] {
				return false
			}
		}
		return true
	default:
		return false
	}
}

func keyPath(tenant, key, digest string) string { return tenant + "/" + key + "/" + digest }
