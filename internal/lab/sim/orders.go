package sim

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// Contents of the simulated configurations.
const (
	tenantCount   = 3
	keysPerTenant = 2
	webService    = "calendar"
)

// orderFactory makes the orders of operators, from what they read at some node and
// from the keys that callers use.
type orderFactory struct {
	env      *environment
	machines *machines
	keys     *keyring
	// nameCount counts everything that needs a unique name.
	nameCount int
}

// newOrderHeader gives an order a new identity.
func (o *orderFactory) newOrderHeader(base uint64) *ridgeswitchv1.OrderHeader {
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
func (o *orderFactory) applyFirst() *operatorOrder {
	if o.env.settings.FailOpen {
		return o.documentOrder(o.firstConfiguration(), 0)
	}
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.ApplyConfigurationRequest{
		Order:         o.newOrderHeader(0),
		Configuration: o.firstConfiguration(),
	})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeApply})
}

// firstConfiguration is the configuration that the first order applies.
func (o *orderFactory) firstConfiguration() *ridgeswitchv1.Configuration {
	configuration := &ridgeswitchv1.Configuration{
		WebServices: []*ridgeswitchv1.WebService{{Name: webService, Service: webService, RequestTimeoutMs: 1000}},
		Routes: []*ridgeswitchv1.Route{{
			Host:        webService + ".example",
			Destination: &ridgeswitchv1.Route_WebService{WebService: webService},
			Public:      true,
		}},
	}
	for number := range tenantCount {
		configuration.Tenants = append(configuration.Tenants, o.newTenant(fmt.Sprintf("t%d", number)))
	}
	for _, pool := range poolNames {
		configuration.Pools = append(configuration.Pools, &ridgeswitchv1.Pool{
			Name:             pool,
			Model:            pool,
			Service:          pool,
			WeightVersion:    o.env.settings.firstWeights(),
			RequestTimeoutMs: 60000,
		})
		configuration.Routes = append(configuration.Routes, &ridgeswitchv1.Route{
			Host:        pool + ".example",
			Destination: &ridgeswitchv1.Route_Pool{Pool: pool},
		})
	}
	return configuration
}

func (o *orderFactory) newTenant(name string) *ridgeswitchv1.Tenant {
	tenant := &ridgeswitchv1.Tenant{Name: name, Limits: &ridgeswitchv1.Limits{
		RequestsPerSecond:  100,
		Burst:              10,
		ConcurrentRequests: 10,
		QueuedRequests:     10,
		QueueTimeoutMs:     1000,
	}}
	for range keysPerTenant {
		tenant.Keys = append(tenant.Keys, o.keys.add(name))
	}
	return tenant
}

// randomOrder returns an order of any kind; with base 0 the kind chooses the
// base.
func (o *orderFactory) randomOrder(base uint64) *operatorOrder {
	switch o.env.random.IntN(10) {
	case 0:
		return o.evacuate(base, zoneName(o.env.random.IntN(3)))
	case 1:
		return o.restore(zoneName(o.env.random.IntN(3)))
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
func (o *orderFactory) randomChange(base uint64) *operatorOrder {
	switch o.env.random.IntN(4) {
	case 0:
		return o.addKey(base)
	case 1:
		return o.nameWeights(base, pick(o.env.randomness, poolNames))
	case 2:
		return o.evacuate(base, zoneName(o.env.random.IntN(2)))
	default:
		return o.revokeKey(base)
	}
}

func (o *orderFactory) addKey(base uint64) *operatorOrder {
	tenant := pick(o.env.randomness, o.keys.keys).tenant
	key := o.keys.add(tenant)
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.AddKeyRequest{Order: o.newOrderHeader(base), Tenant: tenant, Key: key})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeAddKey, Tenant: tenant, Key: key.GetName()})
}

// revokeKey revokes a key that may be revoked already, or not be in force yet.
func (o *orderFactory) revokeKey(base uint64) *operatorOrder {
	key := pick(o.env.randomness, o.keys.keys)
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.RevokeKeyRequest{Order: o.newOrderHeader(base), Tenant: key.tenant, Key: key.name})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeRevoke, Tenant: key.tenant, Key: key.name})
}

// nameWeights names a version that no order named before. On a platform, versions only
// rise: an order that is overtaken by one for a newer version takes nothing back.
func (o *orderFactory) nameWeights(base uint64, pool string) *operatorOrder {
	if o.env.settings.FinishFirst && o.env.settings.FailOpen {
		return o.raiseWeights(pool)
	}
	header := o.newOrderHeader(base)
	version := "w" + header.GetOrderId()
	if o.env.settings.FinishFirst {
		version = fmt.Sprint(1 + o.nameCount)
	}
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.NameWeightsRequest{Order: header, Pool: pool, WeightVersion: version})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeWeights, Pool: pool, WeightVersion: version})
}

// raiseWeights names a version for the model of a pool, which has the pool's name.
func (o *orderFactory) raiseWeights(pool string) *operatorOrder {
	id := o.newOrderHeader(0).GetOrderId()
	version := uint64(1 + o.nameCount)
	content, err := dynamic.RaiseModelWeightsOrder(id, pool, pool, version)
	order := newOrder(content, err, checker.Change{Kind: checker.ChangeWeights, Pool: pool, WeightVersion: fmt.Sprint(version)})
	order.mayBeNoOp = true
	return order
}

// evacuate gives a unique reason, so that each order changes something.
func (o *orderFactory) evacuate(base uint64, zone string) *operatorOrder {
	header := o.newOrderHeader(base)
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.EvacuateZoneRequest{Order: header, Zone: zone, Reason: header.GetOrderId()})
	return newOrder(content, err, checker.Change{Kind: checker.ChangeEvacuate, Zone: zone})
}

func (o *orderFactory) restore(zone string) *operatorOrder {
	content, err := dynamic.OrderFromRequest(&ridgeswitchv1.RestoreZoneRequest{Order: o.newOrderHeader(0), Zone: zone})
	order := newOrder(content, err, checker.Change{Kind: checker.ChangeRestore, Zone: zone})
	order.mayBeNoOp = true
	return order
}

func (o *orderFactory) setWall() *operatorOrder {
	tenant := pick(o.env.randomness, o.keys.keys).tenant
	walled := o.env.chance(0.5)
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
func (o *orderFactory) readConfiguration() *ridgeswitchv1.Configuration {
	reader := pick(o.env.randomness, o.machines.nodes)
	if reader.view == nil {
		return &ridgeswitchv1.Configuration{}
	}
	return proto.Clone(reader.view.Configuration).(*ridgeswitchv1.Configuration)
}

// applyChanged reads the configuration, changes it and applies all of it.
func (o *orderFactory) applyChanged() *operatorOrder {
	configuration := o.readConfiguration()
	if o.env.settings.FailOpen {
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
func (o *orderFactory) invalidOrder() *operatorOrder {
	order := o.applyChanged()
	apply := order.content.GetApply()
	if o.env.settings.FailOpen {
		apply = order.content.GetApplyDocument().GetConfiguration()
	}
	apply.Routes = append(apply.Routes, &ridgeswitchv1.Route{
		Host:        "nowhere.example",
		Destination: &ridgeswitchv1.Route_Pool{Pool: "nowhere"},
	})
	order.invalid = true
	return order
}

// readRevision returns the revision that an operator reads at some node, which
// may be stale.
func (o *orderFactory) readRevision() uint64 {
	reader := pick(o.env.randomness, o.machines.nodes)
	if reader.view == nil {
		return 0
	}
	return reader.view.Revision
}
