package control

import (
	"cmp"
	"slices"
	"time"
)

// ListedReplica is a back end as the platform lists it.
type ListedReplica struct {
	Address string
	Zone    string
	// Instance names the incarnation at the address; empty if the platform names
	// none.
	Instance string
	// Slots is how many requests it works on at once; 0 if unknown.
	Slots int
	// ColdRemaining is for how much longer it is cold after its start.
	ColdRemaining time.Duration
	// WeightVersion is the version that the list shows; empty if it shows none.
	WeightVersion string
	Draining      bool
}

// ListedService is a service with its back ends as the platform lists them.
type ListedService struct {
	Name     string
	Replicas []ListedReplica
}

// ReplicaReport is what a replica said of itself when it was asked.
type ReplicaReport struct {
	Address       string
	Incarnation   uint64
	WeightVersion string
	// ActiveRequests counts requests that run or wait on the replica.
	ActiveRequests int
	// MeasuredAt is when the replica took the numbers, which may be well
	// before they arrived.
	MeasuredAt time.Duration
}

// backends is what this node knows of back ends from outside control state.
type backends struct {
	services map[string][]ListedReplica
	listed   bool
	reports  map[string]ReplicaReport
	dirty    bool
	// watched are the replicas whose reports this node needs.
	watched []string
}

func newBackends() backends {
	return backends{
		services: map[string][]ListedReplica{},
		reports:  map[string]ReplicaReport{},
		dirty:    true,
	}
}

// SetPlatformList takes the platform's newest list.
func (m *Machine) SetPlatformList(now time.Duration, services []ListedService) Output {
	m.now = now
	next := map[string][]ListedReplica{}
	for _, service := range services {
		replicas := slices.Clone(service.Replicas)
		slices.SortFunc(replicas, func(a, b ListedReplica) int { return cmp.Compare(a.Address, b.Address) })
		next[service.Name] = replicas
	}
	m.registry.listed = true
	if !m.backends.listed || !sameServices(m.backends.services, next) {
		m.backends.services = next
		m.backends.listed = true
		m.backends.dirty = true
	}
	return m.take()
}

// SetReplicaReport takes what a replica said of itself.
func (m *Machine) SetReplicaReport(now time.Duration, report ReplicaReport) Output {
	m.now = now
	m.backends.reports[report.Address] = report
	return m.take()
}

// WatchedReplicas lists the replicas whose reports this node needs; read only.
func (m *Machine) WatchedReplicas() []string { return m.backends.watched }

// replicasToWatch lists the replicas of the shards that this node owns.
func (m *Machine) replicasToWatch() []string {
	var watched []string
	for _, pool := range m.held.configuration.GetPools() {
		hosted := m.shards[ShardOfService(pool.GetService(), m.config.ServiceShards)]
		if hosted == nil || !hosted.owned() {
			continue
		}
		for _, replica := range m.backends.services[pool.GetService()] {
			watched = append(watched, replica.Address)
		}
	}
	slices.Sort(watched)
	return slices.Compact(watched)
}

func sameServices(a, b map[string][]ListedReplica) bool {
	if len(a) != len(b) {
		return false
	}
	for name, replicas := range a {
		if !slices.Equal(replicas, b[name]) {
			return false
		}
	}
	return true
}
