package health

import (
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// staleFor is how long a back end is avoided that has refused a request as meant for
	// another one and may be the same incarnation with other weights. It is avoided for a
	// shorter time if the view describes it otherwise before.
	staleFor = time.Second
	// maxDenials bounds the incarnations that are remembered as gone.
	maxDenials = 4096
)

// staleEntry is what the view said of a back end when that refused a request as meant for
// another one.
type staleEntry struct {
	instance, weightVersion string
	// until is when the back end is used again, on the node's clock.
	until time.Duration
}

// StaleBackends remembers the back ends of which the view is out of date: those that
// refused a request because it was for another incarnation, or for other
// weights. An incarnation that is gone from its address never comes back to it,
// so that the address gets nothing until the view names another one there.
type StaleBackends struct {
	mutex sync.Mutex
	// entries holds the refusals after which the same incarnation may still be there, by
	// address.
	entries map[string]staleEntry
	// gone holds the incarnation that is gone for good from an address, by address.
	gone map[string]string
}

// NewStaleBackends returns an empty set.
func NewStaleBackends() *StaleBackends {
	return &StaleBackends{entries: make(map[string]staleEntry), gone: make(map[string]string)}
}

// RecordRefusal records that a back end has refused a request as meant for another
// one, and returns whether the incarnation that the view names is newly found to be
// gone. respondingInstance is the incarnation that refused, "" if it did not say.
func (s *StaleBackends) RecordRefusal(now time.Duration, replica routing.Replica, respondingInstance string) (gone bool) {
	sameInstancePossible := replica.WeightVersion != "" && (respondingInstance == "" || respondingInstance == replica.Instance)
	if replica.Instance != "" && !sameInstancePossible {
		return s.RecordDenial(gossip.GoneInstance{Address: replica.Address, Instance: replica.Instance})
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.entries[replica.Address] = staleEntry{
		instance: replica.Instance, weightVersion: replica.WeightVersion, until: now + staleFor,
	}
	return false
}

// RecordDenial records that an incarnation is gone from its address, and returns
// whether that was not known before.
func (s *StaleBackends) RecordDenial(denial gossip.GoneInstance) (fresh bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	instance, present := s.gone[denial.Address]
	if instance == denial.Instance || !present && len(s.gone) >= maxDenials {
		return false
	}
	s.gone[denial.Address] = denial.Instance
	return true
}

// Contains reports whether a back end has denied what the view still says of it.
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

// Retain forgets the denials of incarnations, and the refusals of addresses, that a view
// does not list.
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

// allReplicas returns all back ends that a view lists. One that several
// destinations share is returned for each.
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
