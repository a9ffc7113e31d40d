package control

import (
	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/rollout"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// receiveUpdates keeps newer states of shards that the relay tree brought. One that
// can't be decoded is skipped: the next update brings the whole state.
func (m *Machine) receiveUpdates(updates []relaytree.Update) {
	for _, update := range updates {
		if newer, err := m.received.Apply(update, m.relayedSections); err == nil && newer {
			m.viewStale = true
		}
	}
}

// relayedSections are the sections of a topic's newest state.
func (m *Machine) relayedSections(topic relaytree.Topic) []relaytree.Section {
	_, sections := m.relay.Snapshot(topic)
	return sections
}

// publishView puts a new view into the output if anything in it has changed.
func (m *Machine) publishView() {
	if !m.viewStale {
		return
	}
	m.viewStale = false
	m.output.View = m.buildView()
	for _, id := range m.shardIDs {
		m.confirmations.published[id] = m.received.Revision(id)
	}
	if m.updateLocalConfirmation() {
		m.sendConfirmation()
	}
}

// buildView joins configuration, service shards and the platform's list.
func (m *Machine) buildView() *routing.View {
	configuration := m.received.Configuration()
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
		view.Pools[pool.GetName()] = m.viewPool(pool, evacuated)
	}
	for _, service := range configuration.GetWebServices() {
		view.WebServices[service.GetName()] = m.viewWebService(service, evacuated)
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

// choicesOf resolves the destinations of a route. The configuration was checked:
// a name that is not found is one of a later configuration.
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

// viewPool lists a pool's replicas. Where replicas are drained before they load
// weights, a node without a registration with the shard that holds them would not
// be waited for, so that it admits nothing to them.
func (m *Machine) viewPool(pool *ridgeswitchv1.Pool, evacuated shardstate.ZoneSet) *routing.Pool {
	shardID := shardstate.ShardOfService(pool.GetService(), m.config.ServiceShards)
	registered := m.registered(shardID) || m.config.ReplicasFinishFirst
	rows := m.received.Service(shardID).GetReplicas()
	entry := &routing.Pool{Config: pool, Store: findStore(m.received.Configuration(), pool.GetStore())}
	for _, endpoint := range m.backends.services[pool.GetService()] {
		row := shardstate.FindReplica(rows, endpoint.Address)
		version := rollout.RunningVersion(row, endpoint)
		versionKnown := version != "" || pool.GetWeightVersion() == "" && endpoint.Instance != ""
		excluded := endpoint.Draining || rollout.OutOfService(row, endpoint) || evacuated.Has(endpoint.Zone)
		entry.Replicas = append(entry.Replicas, viewReplica(endpoint, version, registered && versionKnown && !excluded))
	}
	if target := m.followWeightsTarget(pool); m.weightsOverdue(target) {
		excludeOutdated(entry, target.version)
	}
	return entry
}

func (m *Machine) viewWebService(service *ridgeswitchv1.WebService, evacuated shardstate.ZoneSet) *routing.WebService {
	entry := &routing.WebService{Config: service}
	for _, endpoint := range m.backends.services[service.GetService()] {
		entry.Replicas = append(entry.Replicas, viewReplica(endpoint, "", !endpoint.Draining && !evacuated.Has(endpoint.Zone)))
	}
	return entry
}

// viewReplica is a listed back end as traffic sees it.
func viewReplica(endpoint listing.Replica, version string, admitting bool) routing.Replica {
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
