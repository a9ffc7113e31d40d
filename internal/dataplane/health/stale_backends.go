package health

import (
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// staleFor is how long a back end receives no requests after it refused one that was
	// meant for another incarnation or weight version, if it may still be the listed
	// incarnation with other weights. It ends earlier if the view lists another incarnation
	// or weight version at the address.
	staleFor = time.Second
	// maxDenials is the maximum number of addresses whose gone incarnation is recorded.
	maxDenials = 4096
)

// staleEntry contains the incarnation and weight version that the view listed for a back end
// when the back end refused a request that was meant for another one.
type staleEntry struct {
	instance, weightVersion string
	// until is when the back end may receive requests again, on the node's clock.
	until time.Duration
}

// StaleBackends records the back ends for which the view is out of date: those that refused
// a request because it was meant for another incarnation or weight version. An incarnation
// that is gone from its address never returns to it, so the address receives no requests
// until the view lists another incarnation there.
type StaleBackends struct {
	mutex sync.Mutex
	// entries contains the refusals by back ends that may still be the listed incarnation,
	// by address.
	entries map[string]staleEntry
	// gone contains the incarnation that is permanently gone from an address, by address.
	gone map[string]string
}

// NewStaleBackends returns an empty set.
func NewStaleBackends() *StaleBackends {
	return &StaleBackends{entries: make(map[string]staleEntry), gone: make(map[string]string)}
}

// RecordRefusal records that a back end has refused a request because it was meant for
// another incarnation or weight version. replica is the back end as the view lists it, and
// respondingInstance the incarnation that refused, or "" if the refusal did not name it.
// RecordRefusal returns true if the refusal shows that the listed incarnation is gone, and
// this was not recorded before.
func (s *StaleBackends) RecordRefusal(now time.Duration, replica routing.Replica, respondingInstance string) (gone bool) {
	sameInstancePossible := replica.WeightVersion != "" && (respondingInstance == "" || respondingInstance == replica.Instance)
	if replica.Instance != "" && !sameInstancePossible {
		return s.RecordGoneInstance(gossip.GoneInstance{Address: replica.Address, Instance: replica.Instance})
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.entries[replica.Address] = staleEntry{
		instance: replica.Instance, weightVersion: replica.WeightVersion, until: now + staleFor,
	}
	return false
}

// RecordGoneInstance records that an incarnation is gone from its address, and returns whether
// this was newly recorded. Beyond maxDenials addresses, it records nothing for further ones.
func (s *StaleBackends) RecordGoneInstance(denial gossip.GoneInstance) (fresh bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	instance, present := s.gone[denial.Address]
	if instance == denial.Instance || !present && len(s.gone) >= maxDenials {
		return false
	}
	s.gone[denial.Address] = denial.Instance
	return true
}

// Contains reports whether a refusal or denial shows that the view's incarnation or weight
// version of a back end is out of date.
func (s *StaleBackends) Contains(now time.Duration, replica routing.Replica) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if gone, denied := s.gone[replica.Address]; denied && gone == replica.Instance {
		return true
	}
	entry, found := s.entries[replica.Address]
	if !found {
		return false
	}
	same := entry.instance == replica.Instance && entry.weightVersion == replica.WeightVersion
	if !same || now >= entry.until {
		delete(s.entries, replica.Address)
		return false
	}
	return true
}

// Retain removes the denials of incarnations and the refusals of addresses that the view no
// longer lists.
func (s *StaleBackends) Retain(view *routing.View) {
	instances := make(map[string]string)
	for _, replica := range allReplicas(view) {
		instances[replica.Address] = replica.Instance
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, instance := range s.gone {
		if present, found := instances[address]; !found || present != instance {
			delete(s.gone, address)
		}
	}
	for address := range s.entries {
		if _, found := instances[address]; !found {
			delete(s.entries, address)
		}
	}
}

// allReplicas returns all back ends that a view lists. A back end that several destinations
// share occurs once for each of them.
func allReplicas(view *routing.View) []routing.Replica {
	var all []routing.Replica
	for _, pool := range view.Pools {
		all = append(all, pool.Replicas...)
	}
	for _, service := range view.WebServices {
		all = append(all, service.Replicas...)
	}
	return all
}
