package dataplane

import (
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/shared"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// outdatedFor is how long a back end is avoided after it has said that it is
	// not the one that the view describes, while it may be the same incarnation
	// with other weights, unless the view changes before.
	outdatedFor = time.Second
	// maxDenials bounds the incarnations that are remembered to be gone.
	maxDenials = 4096
)

// outdatedEntry is what the view said of a back end that it is not.
type outdatedEntry struct {
	instance, weightVersion string
	until                   time.Duration
}

// outdated remembers the back ends of which the view is out of date: those that
// refused a request because it was for another incarnation, or for other
// weights. An incarnation that is gone from its address never comes back to it,
// so that the address gets nothing until the view names another one there.
type outdated struct {
	mutex   sync.Mutex
	entries map[string]outdatedEntry
	// gone holds the incarnation that each address denied.
	gone map[string]string
}

// newOutdated returns a memory without entries.
func newOutdated() *outdated {
	return &outdated{entries: make(map[string]outdatedEntry), gone: make(map[string]string)}
}

// refused enters that a back end is not what the view says, and whether the
// incarnation that the view names is certainly gone. answered is the incarnation
// that refused, if it told.
func (o *outdated) refused(now time.Duration, listed routing.Replica, answered string) (gone bool) {
	sameMayAnswer := listed.WeightVersion != "" && (answered == "" || answered == listed.Instance)
	if listed.Instance != "" && !sameMayAnswer {
		return o.denied(shared.Denial{Address: listed.Address, Instance: listed.Instance})
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.entries[listed.Address] = outdatedEntry{
		instance: listed.Instance, weightVersion: listed.WeightVersion, until: now + outdatedFor,
	}
	return false
}

// denied enters that an incarnation is gone from its address, and returns
// whether that was not known.
func (o *outdated) denied(denial shared.Denial) (fresh bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	known, present := o.gone[denial.Address]
	if known == denial.Instance || !present && len(o.gone) >= maxDenials {
		return false
	}
	o.gone[denial.Address] = denial.Instance
	return true
}

// holds tells whether the view still says what a back end has denied.
func (o *outdated) holds(now time.Duration, listed routing.Replica) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if gone, denied := o.gone[listed.Address]; denied && gone == listed.Instance {
		return true
	}
	entry, known := o.entries[listed.Address]
	if !known {
		return false
	}
	same := entry.instance == listed.Instance && entry.weightVersion == listed.WeightVersion
	if !same || now >= entry.until {
		delete(o.entries, listed.Address)
		return false
	}
	return true
}

// listedReplicas returns all back ends that a view lists. One that several
// destinations share is returned for each.
func listedReplicas(view *routing.View) []routing.Replica {
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
func (o *outdated) retain(view *routing.View) {
	listed := make(map[string]string)
	for _, replica := range listedReplicas(view) {
		listed[replica.Address] = replica.Instance
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for address, instance := range o.gone {
		if present, stays := listed[address]; !stays || present != instance {
			delete(o.gone, address)
		}
	}
	for address := range o.entries {
		if _, stays := listed[address]; !stays {
			delete(o.entries, address)
		}
	}
}
