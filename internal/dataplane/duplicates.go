package dataplane

import (
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// requestName is the identity of a request among all tenants.
type requestName struct {
	tenant string
	id     string
}

// finishedRequest is a remembered request that has ended.
type finishedRequest struct {
	name requestName
	at   time.Duration
}

// knownRequest is what the register knows under one name.
type knownRequest struct {
	// repeatable tells that all submissions under the name may run again.
	repeatable bool
	// running and finished count the submissions that hold the name.
	running, finished int
}

// duplicateRegister remembers the requests that are running and those that
// ended lately and may have run. Running ones are bounded by the tenants'
// limits, finished ones by number and age.
//
// That an answer was written whole says nothing of what the caller got, and a
// caller may be gone long before the node notices. So what may run again is
// never held up by an earlier submission of it.
type duplicateRegister struct {
	mutex       sync.Mutex
	limit       int
	rememberFor time.Duration
	known       map[requestName]knownRequest
	// finished is a ring, the oldest entry at first. It grows with what it holds, up
	// to limit entries.
	finished []finishedRequest
	first    int
	count    int
}

// leastFinished is the size of the ring of finished requests at first.
const leastFinished = 64

// newDuplicateRegister returns a register that has seen no request.
func newDuplicateRegister(limit int, rememberFor time.Duration) *duplicateRegister {
	return &duplicateRegister{
		limit:       limit,
		rememberFor: rememberFor,
		known:       make(map[requestName]knownRequest),
		finished:    make([]finishedRequest, min(limit, leastFinished)),
	}
}

// begin enters a request. It returns false if the request is known already and
// either submission may not run again.
func (r *duplicateRegister) begin(now time.Duration, name requestName, repeatable bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire(now)
	entry, known := r.known[name]
	if known && !(entry.repeatable && repeatable) {
		return false
	}
	entry.repeatable = repeatable
	entry.running++
	r.known[name] = entry
	return true
}

// forget removes a running request that has not run.
func (r *duplicateRegister) forget(name requestName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry := r.known[name]
	entry.running--
	r.keep(name, entry)
}

// finish remembers a running request as one that has ended.
func (r *duplicateRegister) finish(now time.Duration, name requestName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.count == r.limit {
		r.dropOldest()
	}
	if r.count == len(r.finished) {
		r.grow()
	}
	r.finished[(r.first+r.count)%len(r.finished)] = finishedRequest{name: name, at: now}
	r.count++
	entry := r.known[name]
	entry.running--
	entry.finished++
	r.known[name] = entry
}

// grow makes room for more finished requests.
func (r *duplicateRegister) grow() {
	grown := make([]finishedRequest, min(r.limit, 2*len(r.finished)))
	copied := copy(grown, r.finished[r.first:])
	copy(grown[copied:], r.finished[:r.first])
	r.finished, r.first = grown, 0
}

// keep replaces what is known under a name, as long as a submission holds it.
func (r *duplicateRegister) keep(name requestName, entry knownRequest) {
	if entry.running == 0 && entry.finished == 0 {
		delete(r.known, name)
		return
	}
	r.known[name] = entry
}

// expire drops the finished requests that are old enough.
func (r *duplicateRegister) expire(now time.Duration) {
	for r.count > 0 && now-r.finished[r.first].at >= r.rememberFor {
		r.dropOldest()
	}
}

// dropOldest drops the oldest finished request.
func (r *duplicateRegister) dropOldest() {
	name := r.finished[r.first].name
	entry := r.known[name]
	entry.finished--
	r.keep(name, entry)
	r.finished[r.first] = finishedRequest{}
	r.first = (r.first + 1) % len(r.finished)
	r.count--
}

// duplicateCheck refuses a request that this node is running or has run, unless
// it may run again.
type duplicateCheck struct {
	register *duplicateRegister
	clock    func() time.Duration
}

// handle implements handler. Only identities that a tenant chose are checked:
// those made by the node are unique, and nothing tells callers without a key
// apart.
func (c *duplicateCheck) handle(e *exchange, next func()) {
	if e.tenant == nil || e.described.ID == "" {
		next()
		return
	}
	name := requestName{tenant: e.tenant.Name, id: e.described.ID}
	if !c.register.begin(c.clock(), name, e.described.Repeatable) {
		problem := caller.NewProblem(caller.KindDuplicateRequest,
			"a request with this %s is running or has ended on this node: send a new one under a new identity", caller.HeaderRequestID)
		problem.MayHaveRun = true
		e.refuse(problem)
		return
	}
	defer func() {
		if e.certainlyNotRun || e.notRunHere {
			c.register.forget(name)
			return
		}
		c.register.finish(c.clock(), name)
	}()
	next()
}
