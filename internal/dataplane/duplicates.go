package dataplane

import (
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// requestKey is the identity of a request among all tenants.
type requestKey struct {
	tenant string
	id     string
}

// finishedRequest is a remembered request that has ended.
type finishedRequest struct {
	key        requestKey
	finishedAt time.Duration
}

// registerEntry is what the register knows under one name.
type registerEntry struct {
	// repeatable tells that all submissions under the name may run again.
	repeatable bool
	// running and finished count the submissions that hold the name.
	running, finished int
}

// requestRegister remembers the requests that are running and those that
// ended lately and may have run. Running ones are bounded by the tenants'
// limits, finished ones by number and age.
//
// That an answer was written whole says nothing of what the caller got, and a
// caller may be gone long before the node notices. So what may run again is
// never held up by an earlier submission of it.
type requestRegister struct {
	mutex       sync.Mutex
	maxFinished int
	rememberFor time.Duration
	entries     map[requestKey]registerEntry
	// finished is a ring, the oldest entry at first. It grows with what it holds, up
	// to limit entries.
	finished []finishedRequest
	first    int
	count    int
}

// initialFinished is the size of the ring of finished requests at first.
const initialFinished = 64

// newRequestRegister returns a register that has seen no request.
func newRequestRegister(limit int, rememberFor time.Duration) *requestRegister {
	return &requestRegister{
		maxFinished: limit,
		rememberFor: rememberFor,
		entries:     make(map[requestKey]registerEntry),
		finished:    make([]finishedRequest, min(limit, initialFinished)),
	}
}

// begin enters a request. It returns false if the request is known already and
// either submission may not run again.
func (r *requestRegister) begin(now time.Duration, key requestKey, repeatable bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire(now)
	entry, found := r.entries[key]
	if found && !(entry.repeatable && repeatable) {
		return false
	}
	entry.repeatable = repeatable
	entry.running++
	r.entries[key] = entry
	return true
}

// forget removes a running request that has not run.
func (r *requestRegister) forget(key requestKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry := r.entries[key]
	entry.running--
	r.update(key, entry)
}

// finish remembers a running request as one that has ended.
func (r *requestRegister) finish(now time.Duration, key requestKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.count == r.maxFinished {
		r.dropOldest()
	}
	if r.count == len(r.finished) {
		r.grow()
	}
	r.finished[(r.first+r.count)%len(r.finished)] = finishedRequest{key: key, finishedAt: now}
	r.count++
	entry := r.entries[key]
	entry.running--
	entry.finished++
	r.entries[key] = entry
}

// grow makes room for more finished requests.
func (r *requestRegister) grow() {
	grown := make([]finishedRequest, min(r.maxFinished, 2*len(r.finished)))
	copied := copy(grown, r.finished[r.first:])
	copy(grown[copied:], r.finished[:r.first])
	r.finished, r.first = grown, 0
}

// update replaces what is known under a name, as long as a submission holds it.
func (r *requestRegister) update(key requestKey, entry registerEntry) {
	if entry.running == 0 && entry.finished == 0 {
		delete(r.entries, key)
		return
	}
	r.entries[key] = entry
}

// expire drops the finished requests that are old enough.
func (r *requestRegister) expire(now time.Duration) {
	for r.count > 0 && now-r.finished[r.first].finishedAt >= r.rememberFor {
		r.dropOldest()
	}
}

// dropOldest drops the oldest finished request.
func (r *requestRegister) dropOldest() {
	key := r.finished[r.first].key
	entry := r.entries[key]
	entry.finished--
	r.update(key, entry)
	r.finished[r.first] = finishedRequest{}
	r.first = (r.first + 1) % len(r.finished)
	r.count--
}

// duplicateChecker refuses a request that this node is running or has run, unless
// it may run again.
type duplicateChecker struct {
	register *requestRegister
	clock    func() time.Duration
}

// handle implements handler. Only identities that a tenant chose are checked:
// those made by the node are unique, and nothing tells callers without a key
// apart.
func (c *duplicateChecker) handle(e *exchange, next func()) {
	if e.tenant == nil || e.parsed.ID == "" {
		next()
		return
	}
	key := requestKey{tenant: e.tenant.Name, id: e.parsed.ID}
	if !c.register.begin(c.clock(), key, e.parsed.Idempotent) {
		problem := caller.NewError(caller.KindDuplicateRequest,
			"a request with this %s is running or has ended on this node: send a new one under a new identity", caller.HeaderRequestID)
		problem.MayHaveRun = true
		e.refuse(problem)
		return
	}
	defer func() {
		if e.certainlyNotRun || e.notRunHere {
			c.register.forget(key)
			return
		}
		c.register.finish(c.clock(), key)
	}()
	next()
}
