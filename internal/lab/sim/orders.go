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
func (w *simulation) newOrderHeader(base uint64) *ridgeswitchv1.OrderHeader {
	w.operators.nameCount++
	return &ridgeswitchv1.OrderHeader{OrderId: fmt.Sprintf("o%d", w.operators.nameCount), BaseRevision: base}
}

// newOrder completes an order. The requests of the simulator are well formed, so
// that an error is a fault of the simulator.
func newOrder(content *controlpb.Order, err error, change checker.Change) *operatorOrder {
	if err != nil {
		panic(err)
	}
	return &operatorOrder{content: content, change: change}
}

// applyFirst is the order that forms the first configuration.
func (w *simulation) applyFirst() *operatorOrder {
	if w.settings.FailOpen {
		return w.documentOrder(w.firstConfiguration(), 0)
	}
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.ApplyConfigurationRequest{
		Order:         w.newOrderHeader(0),
		Configuration: w.firstConfiguration(),
	})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeApply})
}

// randomOrder is an order of any kind; base 0 lets it choose its own.
func (w *simulation) randomOrder(base uint64) *operatorOrder {
	switch w.random.IntN(10) {
	case 0:
		return w.evacuate(base, zoneName(w.random.IntN(3)))
	case 1:
		return w.restore(zoneName(w.random.IntN(3)))
	case 2:
		return w.setWall()
	case 3:
		return w.applyChanged()
	case 4:
		return w.invalidOrder()
	default:
		return w.randomChange(base)
	}
}

// randomChange is an order that certainly changes something when it is taken.
func (w *simulation) randomChange(base uint64) *operatorOrder {
	switch w.random.IntN(4) {
	case 0:
		return w.addKey(base)
	case 1:
		return w.nameWeights(base, pick(w, poolNames))
	case 2:
		return w.evacuate(base, zoneName(w.random.IntN(2)))
	default:
		return w.revokeKey(base)
	}
}

func (w *simulation) addKey(base uint64) *operatorOrder {
	tenant := pick(w, w.keys).tenant
	key := w.newKey(tenant)
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.AddKeyRequest{Order: w.newOrderHeader(base), Tenant: tenant, Key: key})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeAddKey, Tenant: tenant, Key: key.GetName()})
}

// revokeKey revokes a key that may be revoked already, or not in force yet.
func (w *simulation) revokeKey(base uint64) *operatorOrder {
	key := pick(w, w.keys)
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.RevokeKeyRequest{Order: w.newOrderHeader(base), Tenant: key.tenant, Key: key.name})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeRevoke, Tenant: key.tenant, Key: key.name})
}

// nameWeights names a version that no order named before.
func (w *simulation) nameWeights(base uint64, pool string) *operatorOrder {
	header := w.newOrderHeader(base)
	version := "w" + header.GetOrderId()
	if w.settings.FinishFirst {
		version = fmt.Sprint(1 + w.operators.nameCount)
	}
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.NameWeightsRequest{Order: header, Pool: pool, WeightVersion: version})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeWeights, Pool: pool, WeightVersion: version})
}

// evacuate gives a reason of its own, so that each order changes something.
func (w *simulation) evacuate(base uint64, zone string) *operatorOrder {
	header := w.newOrderHeader(base)
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.EvacuateZoneRequest{Order: header, Zone: zone, Reason: header.GetOrderId()})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeEvacuate, Zone: zone})
}

func (w *simulation) restore(zone string) *operatorOrder {
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.RestoreZoneRequest{Order: w.newOrderHeader(0), Zone: zone})
	order := newOrder(content, err, checker.Change{Kind: checker.ChangeRestore, Zone: zone})
	order.mayBeNoOp = true
	return order
}

func (w *simulation) setWall() *operatorOrder {
	tenant := pick(w, w.keys).tenant
	walled := w.chance(0.5)
	content, err := dynamic.WallOrder(&ridgeswitchv1.SetTenantWallRequest{Order: w.newOrderHeader(0), Tenant: tenant}, walled)
	order := newOrder(content, err, checker.Change{Kind: checker.ChangeUnwall, Tenant: tenant})
	if walled {
		order.change.Kind = checker.ChangeWall
	}
	order.mayBeNoOp = true
	return order
}

// readConfiguration is a copy of what an operator reads at some node.
func (w *simulation) readConfiguration() *ridgeswitchv1.Configuration {
	reader := pick(w, w.nodes)
	if reader.view == nil {
		return &ridgeswitchv1.Configuration{}
	}
	return proto.Clone(reader.view.Configuration).(*ridgeswitchv1.Configuration)
}

// applyChanged reads the configuration, changes it and applies it whole.
func (w *simulation) applyChanged() *operatorOrder {
	configuration := w.readConfiguration()
	if w.settings.FailOpen {
		return w.changedDocumentOrder(configuration)
	}
	header := w.newOrderHeader(configuration.GetRevision())
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

// invalidOrder is a whole configuration with a route to nowhere, which got past
// the checks of the node that took it.
func (w *simulation) invalidOrder() *operatorOrder {
	order := w.applyChanged()
	apply := order.content.GetApply()
	if w.settings.FailOpen {
		apply = order.content.GetApplyDocument().GetConfiguration()
	}
	apply.Routes = append(apply.Routes, &ridgeswitchv1.Route{
		Host:        "nowhere.example",
		Destination: &ridgeswitchv1.Route_Pool{Pool: "nowhere"},
	})
	order.invalid = true
	return order
}
