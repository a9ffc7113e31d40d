package health

import "sync"

// Quarantine keeps requests away from replicas that report another weight version than
// control state has for them, for as long as the two differ. Chunks that such a replica
// caches may have been computed under either version.
//
// A replica leaves when control state has the version that it reported last, when it reports
// the one that control state has, or when it is no longer listed. Since it gets no requests,
// such a report can only come from its event stream (package feeds): where reports are read
// page by page there is none.
type Quarantine struct {
	mutex sync.Mutex
	// reported holds the weight version that each replica reported last, by address.
	reported map[string]string
}

// NewQuarantine returns a Quarantine without reports.
func NewQuarantine() *Quarantine {
	return &Quarantine{reported: make(map[string]string)}
}

// Report records the weight version that a replica says it runs.
func (q *Quarantine) Report(address, weightVersion string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.reported[address] = weightVersion
}

// Forget removes a replica that is no longer listed.
func (q *Quarantine) Forget(address string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.reported, address)
}

// Contains reports whether a replica is in quarantine, given the version that control
// state has for it. A replica that has reported nothing is not: control state has
// confirmed its version.
func (q *Quarantine) Contains(address, weightVersion string) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	reported, found := q.reported[address]
	return found && reported != weightVersion
}
