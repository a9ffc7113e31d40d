// Package duplicates records the requests of a node, so that a request that must not run
// twice is refused when it is submitted again.
//
// A Register owns the records of the requests that are running, and of those that ended
// recently and may have run. It reads no clock and may be used concurrently.
package duplicates

import (
	"crypto/sha256"
	"sync"
	"time"
)

// digestBytes is the length of the part of a digest that stands for a key.
const digestBytes = 16

// Key is the identity of a request among all tenants.
type Key struct {
	Tenant string
	ID     string
}

// keyDigest stands for a Key in the register, so that what a request leaves there does not depend on
// the length of the identity that its caller chose.
type keyDigest [digestBytes]byte

// digest returns the digest of the key.
func (k Key) digest() keyDigest {
	full := sha256.Sum256([]byte(k.Tenant + "\x00" + k.ID))
	return keyDigest(full[:digestBytes])
}

// finishedRequest is a request that has ended and may have run.
type finishedRequest struct {
	key        keyDigest
	finishedAt time.Duration
}

// registerEntry is the state of one key.
type registerEntry struct {
	// idempotent reports whether all submissions with the key are idempotent.
	idempotent bool
	// running and finished count the submissions with the key.
	running, finished int
}

// Register records the requests that are running, and those that ended recently and may have
// run. The number of running requests is bounded by the limits of the tenants; finished
// requests are bounded by number and age.
//
// An idempotent request is not refused because of an earlier idempotent submission, because
// the caller may have a reason to retry: a completely written response does not prove that
// the caller has received it, and a caller may have disconnected long before the node
// notices.
type Register struct {
	mutex       sync.Mutex
	maxFinished int
	rememberFor time.Duration
	entries     map[keyDigest]registerEntry
	// finished is a ring buffer with count entries, the oldest at index first. It grows up
	// to maxFinished entries.
	finished []finishedRequest
	first    int
	count    int
}

// initialFinished is the initial capacity of the ring of finished requests.
const initialFinished = 64

// New returns an empty register. It remembers up to maxFinished finished requests, each for
// rememberFor.
func New(maxFinished int, rememberFor time.Duration) *Register {
	return &Register{
		maxFinished: maxFinished,
		rememberFor: rememberFor,
		entries:     make(map[keyDigest]registerEntry),
		finished:    make([]finishedRequest, min(maxFinished, initialFinished)),
	}
}

// Begin records a request that is about to run. It records nothing and returns false if the
// key is known, unless this submission and all earlier ones with the key are idempotent.
func (r *Register) Begin(now time.Duration, key Key, idempotent bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire(now)
	digest := key.digest()
	entry, found := r.entries[digest]
	if found && (!entry.idempotent || !idempotent) {
		return false
	}
	entry.idempotent = idempotent
	entry.running++
	r.entries[digest] = entry
	return true
}

// Forget removes a request that Begin has recorded and that has not run.
func (r *Register) Forget(key Key) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	digest := key.digest()
	entry := r.entries[digest]
	entry.running--
	r.update(digest, entry)
}

// Finish records that a running request has ended and may have run.
func (r *Register) Finish(now time.Duration, key Key) {
	digest := key.digest()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.count == r.maxFinished {
		r.dropOldest()
	}
	if r.count == len(r.finished) {
		r.grow()
	}
	r.finished[(r.first+r.count)%len(r.finished)] = finishedRequest{key: digest, finishedAt: now}
	r.count++
	entry := r.entries[digest]
	entry.running--
	entry.finished++
	r.entries[digest] = entry
}

// grow doubles the ring of finished requests, up to maxFinished.
func (r *Register) grow() {
	grown := make([]finishedRequest, min(r.maxFinished, 2*len(r.finished)))
	copied := copy(grown, r.finished[r.first:])
	copy(grown[copied:], r.finished[:r.first])
	r.finished, r.first = grown, 0
}

// update replaces the entry of a key, or deletes it if it counts no submission.
func (r *Register) update(key keyDigest, entry registerEntry) {
	if entry.running == 0 && entry.finished == 0 {
		delete(r.entries, key)
		return
	}
	r.entries[key] = entry
}

// expire drops the finished requests that ended at least rememberFor ago.
func (r *Register) expire(now time.Duration) {
	for r.count > 0 && now-r.finished[r.first].finishedAt >= r.rememberFor {
		r.dropOldest()
	}
}

// dropOldest drops the oldest finished request.
func (r *Register) dropOldest() {
	key := r.finished[r.first].key
	entry := r.entries[key]
	entry.finished--
	r.update(key, entry)
	r.finished[r.first] = finishedRequest{}
	r.first = (r.first + 1) % len(r.finished)
	r.count--
}
