package dataplane

import (
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// staleFor is how long a back end is avoided after it has said that it is
	// not the one that the view describes, while it may be the same incarnation
	// with other weights, unless the view changes before.
	staleFor = time.Second
	// maxDenials bounds the incarnations that are remembered to be gone.
	maxDenials = 4096
)

// staleEntry is what the view said of a back end that it is not.
type staleEntry struct {
	instance, weightVersion string
	until                   time.Duration
}

// staleBackends remembers the back ends of which the view is out of date: those that
// refused a request because it was for another incarnation, or for other
// weights. An incarnation that is gone from its address never comes back to it,
// so that the address gets nothing until the view names another one there.
type staleBackends struct {
	mutex   sync.Mutex
	entries map[string]staleEntry
	// gone holds the incarnation that each address denied.
	gone map[string]string
}

// newStaleBackends returns a memory without entries.
func newStaleBackends() *staleBackends {
	return &staleBackends{entries: make(map[string]staleEntry), gone: make(map[string]string)}
}

// recordRefusal enters that a back end is not what the view says, and whether the
// incarnation that the view names is certainly gone. answered is the incarnation
// that refused, if it told.
func (o *staleBackends) recordRefusal(now time.Duration, replica routing.Replica, respondingInstance string) (gone bool) {
	sameInstancePossible := replica.WeightVersion != "" && (respondingInstance == "" || respondingInstance == replica.Instance)
	if replica.Instance != "" && !sameInstancePossible {
		return o.recordDenial(gossip.Denial{Address: replica.Address, Instance: replica.Instance})
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.entries[replica.Address] = staleEntry{
		instance: replica.Instance, weightVersion: replica.WeightVersion, until: now + staleFor,
	}
	return false
}

// recordDenial enters that an incarnation is gone from its address, and returns
// whether that was not known.
func (o *staleBackends) recordDenial(denial gossip.Denial) (fresh bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	instance, present := o.gone[denial.Address]
	if instance == denial.Instance || !present && len(o.gone) >= maxDenials {
		return false
	}
	o.gone[denial.Address] = denial.Instance
	return true
}

// isStale tells whether the view still says what a back end has denied.
func (o *staleBackends) isStale(now time.Duration, replica routing.Replica) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if gone, denied := o.gone[replica.Address]; denied && gone == replica.Instance {
		return true
	}
	entry, found := o.entries[replica.Address]
	if !found {
		return false
	}
	same := entry.instance == replica.Instance && entry.weightVersion == replica.WeightVersion
	if !same || now >= entry.until {
		delete(o.entries, replica.Address)
		return false
	}
	return true
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

// retain forgets what was said of incarnations that a view does not list.
func (o *staleBackends) retain(view *routing.View) {
	instances := make(map[string]string)
	for _, replica := range allReplicas(view) {
		instances[replica.Address] = replica.Instance
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for address, instance := range o.gone {
		if present, found := instances[address]; !found || present != instance {
			delete(o.gone, address)
		}
	}
	for address := range o.entries {
		if _, found := instances[address]; !found {
			delete(o.entries, address)
		}
	}
}
