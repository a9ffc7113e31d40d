package health

import "sync"

// Quarantine contains the replicas that report another weight version than control state
// has for them. They receive no requests while the two versions differ, because the chunks
// that such a replica caches may have been computed under either version.
//
// A replica leaves quarantine when control state adopts the version that the replica
// reported last, when the replica reports the version in control state, or when it is no
// longer listed. Because a replica in quarantine receives no requests, it can only report
// another version in its event stream (package feeds). Replicas whose reports are read page
// by page have no event stream, so their reports cannot end the quarantine.
type Quarantine struct {
	mutex sync.Mutex
	// reported contains the weight version that each replica reported last, by address.
	reported map[string]string
}

// NewQuarantine returns a Quarantine without reports.
func NewQuarantine() *Quarantine {
	return &Quarantine{reported: make(map[string]string)}
}

// Report records the weight version that a replica reports.
func (q *Quarantine) Report(address, weightVersion string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.reported[address] = weightVersion
}

// Forget removes the report of a replica. It is called when the replica is no longer listed.
func (q *Quarantine) Forget(address string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.reported, address)
}

// Contains reports whether a replica is in quarantine, given the version that control
// state has for it. A replica that has reported no version is not in quarantine, because no
// report contradicts the version that control state has.
func (q *Quarantine) Contains(address, weightVersion string) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	reported, found := q.reported[address]
	return found && reported != weightVersion
}
