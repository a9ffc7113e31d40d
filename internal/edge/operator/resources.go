package operator

import (
	"context"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// resources returns one resource for each service of the schema.
func resources(control Control) []resource {
	return []resource{
		&configurations{control: control},
		&tenants{control: control},
		&zones{control: control},
		&weights{control: control},
		&nodes{control: control},
	}
}

// submitRequest returns the function that serves a call whose request can be converted into an
// order without further arguments.
func submitRequest[Request proto.Message](control Control) func(context.Context, Request) (*ridgeswitchv1.OrderResult, error) {
	return func(ctx context.Context, request Request) (*ridgeswitchv1.OrderResult, error) {
		order, err := dynamic.OrderFromRequest(request)
		if err != nil {
			return nil, err
		}
		return submit(ctx, control, order)
	}
}

// configurations serves the complete configuration.
type configurations struct {
	control Control
}

func (c *configurations) service() protoreflect.Name { return "Configurations" }

func (c *configurations) calls() []call {
	return []call{
		newCall("ApplyConfiguration", submitRequest[*ridgeswitchv1.ApplyConfigurationRequest](c.control)),
		newCall("GetConfiguration", c.get),
		newCall("GetSource", c.source),
	}
}

// source returns the source document of the configuration in force.
func (c *configurations) source(ctx context.Context, _ *ridgeswitchv1.GetSourceRequest) (*ridgeswitchv1.Source, error) {
	source, err := c.control.Source(ctx)
	if err != nil {
		return nil, &UnavailableError{Kind: KindNoLeader, Message: err.Error()}
	}
	if source == nil {
		return nil, &dynamic.Error{
			Kind:    dynamic.KindNotFound,
			Message: "the configuration in force was not applied as a document; read the configuration instead",
		}
	}
	return source, nil
}

// get returns the configuration in force, or the configuration that this node serves if the request
// sets local.
func (c *configurations) get(ctx context.Context, request *ridgeswitchv1.GetConfigurationRequest) (*ridgeswitchv1.Configuration, error) {
	if request.GetLocal() {
		return requireConfiguration(c.control.Configuration())
	}
	configuration, err := c.control.ReadConfiguration(ctx)
	if err != nil {
		return nil, &UnavailableError{Kind: KindNoLeader, Message: err.Error()}
	}
	return requireConfiguration(configuration)
}

// requireConfiguration returns an error if the node has no configuration yet.
func requireConfiguration(configuration *ridgeswitchv1.Configuration) (*ridgeswitchv1.Configuration, error) {
	if configuration == nil {
		return nil, &UnavailableError{
			Kind:    KindUnavailable,
			Message: "the node has not learnt the configuration yet; try again or ask another node",
		}
	}
	return configuration, nil
}

// tenants serves the keys and walls of tenants.
type tenants struct {
	control Control
}

func (t *tenants) service() protoreflect.Name { return "Tenants" }

func (t *tenants) calls() []call {
	return []call{
		newCall("AddKey", submitRequest[*ridgeswitchv1.AddKeyRequest](t.control)),
		newCall("RevokeKey", submitRequest[*ridgeswitchv1.RevokeKeyRequest](t.control)),
		newCall("WallTenant", t.wall),
		newCall("UnwallTenant", t.unwall),
	}
}

func (t *tenants) wall(ctx context.Context, request *ridgeswitchv1.SetTenantWallRequest) (*ridgeswitchv1.OrderResult, error) {
	return t.setWall(ctx, request, true)
}

func (t *tenants) unwall(ctx context.Context, request *ridgeswitchv1.SetTenantWallRequest) (*ridgeswitchv1.OrderResult, error) {
	return t.setWall(ctx, request, false)
}

func (t *tenants) setWall(ctx context.Context, request *ridgeswitchv1.SetTenantWallRequest, walled bool) (*ridgeswitchv1.OrderResult, error) {
	order, err := dynamic.WallOrder(request, walled)
	if err != nil {
		return nil, err
	}
	return submit(ctx, t.control, order)
}

// zones serves the evacuations of zones.
type zones struct {
	control Control
}

func (z *zones) service() protoreflect.Name { return "Zones" }

func (z *zones) calls() []call {
	return []call{
		newCall("EvacuateZone", submitRequest[*ridgeswitchv1.EvacuateZoneRequest](z.control)),
		newCall("RestoreZone", submitRequest[*ridgeswitchv1.RestoreZoneRequest](z.control)),
	}
}

// weights serves the weight versions of pools.
type weights struct {
	control Control
}

func (w *weights) service() protoreflect.Name { return "Weights" }

func (w *weights) calls() []call {
	return []call{
		newCall("NameWeights", submitRequest[*ridgeswitchv1.NameWeightsRequest](w.control)),
		newCall("GetWeights", w.get),
	}
}

func (w *weights) get(_ context.Context, request *ridgeswitchv1.GetWeightsRequest) (*ridgeswitchv1.WeightsStatus, error) {
	return w.control.Weights(request.GetPool())
}

// nodes serves the node's view of the deployment.
type nodes struct {
	control Control
}

func (n *nodes) service() protoreflect.Name { return "Nodes" }

func (n *nodes) calls() []call {
	return []call{newCall("GetStatus", n.get)}
}

func (n *nodes) get(context.Context, *ridgeswitchv1.GetStatusRequest) (*ridgeswitchv1.NodeStatus, error) {
	return n.control.Status(), nil
}
