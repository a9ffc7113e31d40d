package view

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/namedweights"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// Config sets up a Builder.
type Config struct {
	// ServiceShards is the number of shards that services hash to.
	ServiceShards uint32
	// ReplicasFinishFirst means that replicas finish their requests by themselves before
	// they load weights, so that nodes need not drain them.
	ReplicasFinishFirst bool
	// WeightsDeadline is the time after the naming of a weight version at which the node
	// stops using replicas that do not run it; 0 means never.
	WeightsDeadline time.Duration
}

// Inputs are the inputs of Builder.Build.
type Inputs struct {
	Received *shardstate.Received
	// Endpoints are the back ends of each service in the platform's list.
	Endpoints map[string][]listing.Replica
	// Registered reports whether the node may send requests to the replicas of a shard.
	Registered func(shardID uint32) bool
}

// Builder builds views, and tracks how long the weight versions of pools have been named.
type Builder struct {
	config  Config
	weights *namedweights.Tracker
	// rollouts are the roll-outs in the newest view.
	rollouts []RolloutProgress
}

// NewBuilder returns a builder that has built no view.
func NewBuilder(config Config) *Builder {
	return &Builder{config: config, weights: namedweights.New(config.WeightsDeadline)}
}

// NamedWeights returns the versions that were named for a pool, as of the newest view; read
// only.
func (b *Builder) NamedWeights(pool string) []namedweights.Version { return b.weights.Versions(pool) }

// Build builds a view from the configuration, the service shards and the platform's list.
func (b *Builder) Build(now time.Duration, inputs Inputs) *routing.View {
	configuration := inputs.Received.Configuration()
	b.rollouts = nil
	b.weights.Retain(configuration.GetPools())
	view := &routing.View{
		Revision:      configuration.GetRevision(),
		Configuration: configuration,
		Tenants:       map[routing.KeyDigest]*routing.Tenant{},
		Hosts:         map[string]routing.Routes{},
		Pools:         map[string]*routing.Pool{},
		WebServices:   map[string]*routing.WebService{},
	}
	evacuated := shardstate.EvacuatedZones(configuration)
	addTenants(view, configuration)
	for _, pool := range configuration.GetPools() {
		view.Pools[pool.GetName()] = b.pool(now, inputs, pool, evacuated)
	}
	for _, service := range configuration.GetWebServices() {
		view.WebServices[service.GetName()] = webService(inputs, service, evacuated)
	}
	addRoutes(view, configuration)
	view.RankPriorities()
	return view
}

func addTenants(view *routing.View, configuration *ridgeswitchv1.Configuration) {
	for _, tenant := range configuration.GetTenants() {
		entry := &routing.Tenant{
			Name:          tenant.GetName(),
			Walled:        tenant.GetWalled(),
			SharingDomain: dynamic.SharingDomain(configuration, tenant.GetName()),
			Limits:        tenant.GetLimits(),
			Priority:      tenant.Priority,
		}
		for _, key := range tenant.GetKeys() {
			view.Tenants[routing.KeyDigest(key.GetSha256())] = entry
		}
	}
}

func addRoutes(view *routing.View, configuration *ridgeswitchv1.Configuration) {
	for _, route := range configuration.GetRoutes() {
		if choices := choicesOf(view, route); len(choices) > 0 {
			view.Hosts[route.GetHost()] = append(view.Hosts[route.GetHost()], routing.NewRoute(route, choices...))
		}
	}
	for _, routes := range view.Hosts {
		routes.Sort()
	}
}

// choicesOf resolves the destinations of a route. It omits a destination that the view does
// not contain; the validation of the configuration refuses such a route.
func choicesOf(view *routing.View, route *ridgeswitchv1.Route) []routing.Choice {
	var choices []routing.Choice
	add := func(pool, webService string, weight uint32) {
		destination := routing.Destination{Pool: view.Pools[pool], WebService: view.WebServices[webService]}
		if destination.Pool != nil || destination.WebService != nil {
			choices = append(choices, routing.Choice{Destination: destination, Weight: weight})
		}
	}
	if route.GetDestination() != nil {
		add(route.GetPool(), route.GetWebService(), 1)
	}
	for _, split := range route.GetSplit() {
		add(split.GetPool(), split.GetWebService(), split.GetWeight())
	}
	return choices
}

// pool returns a pool with its replicas. Where nodes drain replicas before these load
// weights, the leader of the service's shard waits only for registered nodes to drain a
// replica, so that a node that isn't registered with the shard must not send any requests.
func (b *Builder) pool(now time.Duration, inputs Inputs, pool *ridgeswitchv1.Pool, evacuated shardstate.ZoneSet) *routing.Pool {
	shardID := shardstate.ShardOfService(pool.GetService(), b.config.ServiceShards)
	registered := b.config.ReplicasFinishFirst || inputs.Registered(shardID)
	service := inputs.Received.Service(shardID)
	rows := service.GetReplicas()
	entry := &routing.Pool{Config: pool, Store: findStore(inputs.Received.Configuration(), pool.GetStore())}
	for _, endpoint := range inputs.Endpoints[pool.GetService()] {
		row := shardstate.FindReplica(rows, endpoint.Address)
		version := rollout.RunningVersion(row, endpoint)
		versionKnown := version != "" || pool.GetWeightVersion() == "" && endpoint.Instance != ""
		excluded := endpoint.Draining || rollout.OutOfService(row, endpoint) || evacuated.Has(endpoint.Zone)
		entry.Replicas = append(entry.Replicas, replica(endpoint, version, registered && versionKnown && !excluded))
	}
	b.weights.Update(now, pool, service.GetWeightsAges())
	versions := b.weights.Versions(pool.GetName())
	b.excludeOutdated(now, entry, versions)
	b.recordProgress(now, entry, versions)
	return entry
}

func webService(inputs Inputs, service *ridgeswitchv1.WebService, evacuated shardstate.ZoneSet) *routing.WebService {
	entry := &routing.WebService{Config: service}
	for _, endpoint := range inputs.Endpoints[service.GetService()] {
		entry.Replicas = append(entry.Replicas, replica(endpoint, "", !endpoint.Draining && !evacuated.Has(endpoint.Zone)))
	}
	return entry
}

// replica returns the entry of a back end in a view.
func replica(endpoint listing.Replica, version string, admitting bool) routing.Replica {
	return routing.Replica{
		Address:        endpoint.Address,
		Zone:           endpoint.Zone,
		Instance:       endpoint.Instance,
		Slots:          endpoint.Slots,
		SlowStartUntil: endpoint.WarmingUntil,
		WeightVersion:  version,
		Admitting:      admitting,
	}
}

func findStore(configuration *ridgeswitchv1.Configuration, name string) *ridgeswitchv1.Store {
	for _, store := range configuration.GetStores() {
		if store.GetName() == name {
			return store
		}
	}
	return nil
}
