package dataplane

import "sync"

// quarantine keeps requests away from replicas that report another weight
// version than control state has for them. Parts that such a replica keeps may
// have been made under either version.
type quarantine struct {
	mutex    sync.Mutex
	reported map[string]string
}

// newQuarantine returns a quarantine that has heard of no replica.
func newQuarantine() *quarantine {
	return &quarantine{reported: make(map[string]string)}
}

// report enters the version that a replica runs by its own account.
func (q *quarantine) report(address, weightVersion string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.reported[address] = weightVersion
}

// forget drops a replica that is not listed any more.
func (q *quarantine) forget(address string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.reported, address)
}

// contains tells whether a replica is kept from requests, given the version that
// control state has for it. A replica that has reported nothing is not: control
// state has confirmed its version.
func (q *quarantine) contains(address, weightVersion string) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	reported, found := q.reported[address]
	return found && reported != weightVersion
}
