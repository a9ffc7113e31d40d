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

// duplicateRegister remembers the requests that are running and those that
// ended lately and may have run. Running ones are bounded by the tenants'
// limits, finished ones by number and age.
type duplicateRegister struct {
	mutex       sync.Mutex
	limit       int
	rememberFor time.Duration
	known       map[requestName]bool
	// finished is a ring of at most limit entries, the oldest at first.
	finished []finishedRequest
	first    int
	count    int
}

// newDuplicateRegister returns a register that has seen no request.
func newDuplicateRegister(limit int, rememberFor time.Duration) *duplicateRegister {
	return &duplicateRegister{
		limit:       limit,
		rememberFor: rememberFor,
		known:       make(map[requestName]bool),
		finished:    make([]finishedRequest, limit),
	}
}

// begin enters a request. It returns false if the request is known already.
func (r *duplicateRegister) begin(now time.Duration, name requestName) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire(now)
	if r.known[name] {
		return false
	}
	r.known[name] = true
	return true
}

// forget removes a running request that the caller may send again.
func (r *duplicateRegister) forget(name requestName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.known, name)
}

// finish remembers a running request as one that has ended.
func (r *duplicateRegister) finish(now time.Duration, name requestName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.count == r.limit {
		r.dropOldest()
	}
	r.finished[(r.first+r.count)%r.limit] = finishedRequest{name: name, at: now}
	r.count++
}

// expire drops the finished requests that are old enough.
func (r *duplicateRegister) expire(now time.Duration) {
	for r.count > 0 && now-r.finished[r.first].at >= r.rememberFor {
		r.dropOldest()
	}
}

// dropOldest drops the oldest finished request.
func (r *duplicateRegister) dropOldest() {
	delete(r.known, r.finished[r.first].name)
	r.finished[r.first] = finishedRequest{}
	r.first = (r.first + 1) % r.limit
	r.count--
}

// duplicateCheck refuses a request that this node is running or has run.
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
	if !c.register.begin(c.clock(), name) {
		problem := caller.NewProblem(caller.KindDuplicateRequest,
			"a request with this %s is running or has ended on this node: send a new one under a new identity", caller.HeaderRequestID)
		problem.MayHaveRun = true
		e.refuse(problem)
		return
	}
	defer func() {
		if e.certainlyNotRun || e.notRunHere || e.failed && e.described.Repeatable {
			c.register.forget(name)
			return
		}
		c.register.finish(c.clock(), name)
	}()
	next()
}
