package dataplane

import (
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// outdatedFor is how long a back end is avoided after it has said that it is not
// the one that the view describes, unless the view changes before.
const outdatedFor = time.Second

// outdatedEntry is what the view said of a back end that it is not.
type outdatedEntry struct {
	instance, weightVersion string
	until                   time.Duration
}

// outdated remembers the back ends of which the view is out of date: those that
// refused a request because it was for another incarnation, or for other
// weights.
type outdated struct {
	mutex   sync.Mutex
	entries map[string]outdatedEntry
}

// newOutdated returns a memory without entries.
func newOutdated() *outdated {
	return &outdated{entries: make(map[string]outdatedEntry)}
}

// refused enters that a back end is not what the view says.
func (o *outdated) refused(now time.Duration, address, instance, weightVersion string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.entries[address] = outdatedEntry{instance: instance, weightVersion: weightVersion, until: now + outdatedFor}
}

// holds tells whether the view still says what a back end has denied.
func (o *outdated) holds(now time.Duration, listed routing.Replica) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
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
