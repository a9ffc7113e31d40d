package node

import (
	"context"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/clock"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/platform"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// withDefaults sets Endpoints and Replicas, where they are not set, to the product's own
// protocols. The function view returns the routing view of the node, or nil if there is none
// yet.
func (e Edges) withDefaults(platformAddress string, view func() *routing.View) Edges {
	sender := outbound.New(outbound.Options{Name: "control"})
	if e.Endpoints == nil {
		e.Endpoints = &nativeEndpoints{client: platform.NewClient(sender, platformAddress), slowStart: slowStart{view: view}}
	}
	if e.Replicas == nil {
		e.Replicas = &nativeReplicas{client: replica.NewCommandClient(sender)}
	}
	return e
}

// nativeEndpoints reads the platform's endpoint list with the product's own protocol. It is
// not safe for concurrent use.
type nativeEndpoints struct {
	client    *platform.Client
	slowStart slowStart
}

// Read implements EndpointReader.
func (e *nativeEndpoints) Read(ctx context.Context) ([]control.ServiceEndpoints, error) {
	endpoints, err := e.client.Fetch(ctx)
	if err != nil {
		return nil, err
	}
	services := lo.Map(endpoints.Services, serviceEndpoints)
	e.slowStart.setWarmUpRemaining(clock.SinceBoot(), services)
	return services, nil
}

// serviceEndpoints converts a service of the platform's list to the type of package control.
func serviceEndpoints(service platform.Service, _ int) control.ServiceEndpoints {
	return control.ServiceEndpoints{
		Name: service.Name,
		Endpoints: lo.Map(service.Replicas, func(replica platform.Replica, _ int) control.Endpoint {
			return control.Endpoint{
				Address:  replica.Address,
				Zone:     replica.Zone,
				Draining: replica.State != platform.StateRunning,
			}
		}),
	}
}

// nativeReplicas implements ReplicaCommander with the product's own protocol.
type nativeReplicas struct {
	client *replica.CommandClient
}

// LoadWeights implements ReplicaCommander.
func (r *nativeReplicas) LoadWeights(ctx context.Context, command control.Command) (control.CommandOutcome, error) {
	err := r.client.LoadWeights(ctx, command.Address, replica.WeightsCommand{
		WeightVersion: command.WeightVersion,
		Epoch:         command.Token,
		Leader:        command.Leader,
	})
	var stale *replica.StaleEpochError
	var status *replica.StatusError
	switch {
	case err == nil:
		return control.CommandAccepted, nil
	case errors.As(err, &stale):
		return control.CommandFenced, err
	case errors.As(err, &status):
		return control.CommandRefused, err
	default:
		return control.CommandUnknown, err
	}
}

// Report implements ReplicaCommander.
func (r *nativeReplicas) Report(ctx context.Context, address, _ string) (control.ReplicaReport, error) {
	report, err := r.client.Report(ctx, address)
	if err != nil {
		return control.ReplicaReport{}, err
	}
	return control.ReplicaReport{
		Incarnation:    report.Incarnation,
		WeightVersion:  report.WeightVersion,
		ActiveRequests: int(report.ActiveRequests),
		Age:            report.Age(),
	}, nil
}
