package sim

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// newOrderHeader gives an order a new identity.
func (o *operators) newOrderHeader(base uint64) *ridgeswitchv1.OrderHeader {
	o.nameCount++
	return &ridgeswitchv1.OrderHeader{OrderId: fmt.Sprintf("o%d", o.nameCount), BaseRevision: base}
}

// newOrder completes an order. The requests of the simulator are well formed, so
// that an error is a fault of the simulator itself.
func newOrder(content *controlpb.Order, err error, change checker.Change) *operatorOrder {
	if err != nil {
		panic(err)
	}
	return &operatorOrder{content: content, change: change}
}

// applyFirst is the order that forms the first configuration.
func (o *operators) applyFirst() *operatorOrder {
	if o.world.settings.FailOpen {
		return o.documentOrder(o.world.firstConfiguration(), 0)
	}
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.ApplyConfigurationRequest{
		Order:         o.newOrderHeader(0),
		Configuration: o.world.firstConfiguration(),
	})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeApply})
}

// randomOrder returns an order of any kind; with base 0 the kind chooses the
// base.
func (o *operators) randomOrder(base uint64) *operatorOrder {
	switch o.world.random.IntN(10) {
	case 0:
		return o.evacuate(base, zoneName(o.world.random.IntN(3)))
	case 1:
		return o.restore(zoneName(o.world.random.IntN(3)))
	case 2:
		return o.setWall()
	case 3:
		return o.applyChanged()
	case 4:
		return o.invalidOrder()
	default:
		return o.randomChange(base)
	}
}

// randomChange returns an order that changes something whenever it is accepted.
func (o *operators) randomChange(base uint64) *operatorOrder {
	switch o.world.random.IntN(4) {
	case 0:
		return o.addKey(base)
	case 1:
		return o.nameWeights(base, pick(o.world, poolNames))
	case 2:
		return o.evacuate(base, zoneName(o.world.random.IntN(2)))
	default:
		return o.revokeKey(base)
	}
}

func (o *operators) addKey(base uint64) *operatorOrder {
	tenant := pick(o.world, o.world.keys).tenant
	key := o.world.newKey(tenant)
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.AddKeyRequest{Order: o.newOrderHeader(base), Tenant: tenant, Key: key})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeAddKey, Tenant: tenant, Key: key.GetName()})
}

// revokeKey revokes a key that may be revoked already, or not be in force yet.
func (o *operators) revokeKey(base uint64) *operatorOrder {
	key := pick(o.world, o.world.keys)
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.RevokeKeyRequest{Order: o.newOrderHeader(base), Tenant: key.tenant, Key: key.name})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeRevoke, Tenant: key.tenant, Key: key.name})
}

// nameWeights names a version that no order named before.
func (o *operators) nameWeights(base uint64, pool string) *operatorOrder {
	header := o.newOrderHeader(base)
	version := "w" + header.GetOrderId()
	if o.world.settings.FinishFirst {
		version = fmt.Sprint(1 + o.nameCount)
	}
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.NameWeightsRequest{Order: header, Pool: pool, WeightVersion: version})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeWeights, Pool: pool, WeightVersion: version})
}

// evacuate gives a unique reason, so that each order changes something.
func (o *operators) evacuate(base uint64, zone string) *operatorOrder {
	header := o.newOrderHeader(base)
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.EvacuateZoneRequest{Order: header, Zone: zone, Reason: header.GetOrderId()})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeEvacuate, Zone: zone})
}

func (o *operators) restore(zone string) *operatorOrder {
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.RestoreZoneRequest{Order: o.newOrderHeader(0), Zone: zone})
	order := newOrder(content, err, checker.Change{Kind: checker.ChangeRestore, Zone: zone})
	order.mayBeNoOp = true
	return order
}

func (o *operators) setWall() *operatorOrder {
	tenant := pick(o.world, o.world.keys).tenant
	walled := o.world.chance(0.5)
	content, err := dynamic.WallOrder(&ridgeswitchv1.SetTenantWallRequest{Order: o.newOrderHeader(0), Tenant: tenant}, walled)
	order := newOrder(content, err, checker.Change{Kind: checker.ChangeUnwall, Tenant: tenant})
	if walled {
		order.change.Kind = checker.ChangeWall
	}
	order.mayBeNoOp = true
	return order
}

// readConfiguration returns a copy of what an operator reads at some node, which
// may be stale.
func (o *operators) readConfiguration() *ridgeswitchv1.Configuration {
	reader := pick(o.world, o.world.nodes)
	if reader.view == nil {
		return &ridgeswitchv1.Configuration{}
	}
	return proto.Clone(reader.view.Configuration).(*ridgeswitchv1.Configuration)
}

// applyChanged reads the configuration, changes it and applies all of it.
func (o *operators) applyChanged() *operatorOrder {
	configuration := o.readConfiguration()
	if o.world.settings.FailOpen {
		return o.changedDocumentOrder(configuration)
	}
	header := o.newOrderHeader(configuration.GetRevision())
	configuration.Routes = append(configuration.Routes, &ridgeswitchv1.Route{
		Host:        header.GetOrderId() + ".example",
		Destination: &ridgeswitchv1.Route_WebService{WebService: webService},
	})
	if len(configuration.GetWebServices()) == 0 {
		configuration.Routes = nil
	}
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.ApplyConfigurationRequest{Order: header, Configuration: configuration})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeApply})
}

// invalidOrder is a configuration with a route to an unknown destination that
// passed the checks of the node that accepted it.
func (o *operators) invalidOrder() *operatorOrder {
	order := o.applyChanged()
	apply := order.content.GetApply()
	if o.world.settings.FailOpen {
		apply = order.content.GetApplyDocument().GetConfiguration()
	}
	apply.Routes = append(apply.Routes, &ridgeswitchv1.Route{
		Host:        "nowhere.example",
		Destination: &ridgeswitchv1.Route_Pool{Pool: "nowhere"},
	})
	order.invalid = true
	return order
}
