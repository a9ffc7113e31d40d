package prefixindex

import (
	"container/heap"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// never is the next expiry while nothing is predicted.
const never = int64(math.MaxInt64)

// predictions holds chunks that owners probably cache, separate from those that
// they reported.
type predictions struct {
	ttl        time.Duration
	maximum    int
	partitions *partitions
	// sizes contains the cached tokens of predicted chunks that were reported before, see
	// Index.DemoteReported.
	sizes *chunkSizes
	// nextExpiry is the earliest instant in queue, in nanoseconds, or never. Lookups
	// read it to skip the lock while no prediction has expired.
	nextExpiry atomic.Int64

	mutex   sync.Mutex
	expires map[prediction]time.Duration
	// queue holds an expiry for each prediction and each renewal of one; an expiry
	// that a renewal has superseded is skipped when it is due.
	queue expiryQueue
}

// prediction identifies a predicted chunk of an owner.
type prediction struct {
	hash  ChainHash
	owner Owner
}

func newPredictions(options Options, sizes *chunkSizes) *predictions {
	p := &predictions{
		ttl:        options.PredictionTTL,
		maximum:    options.MaxPredicted,
		partitions: newPartitions(options.Shards),
		sizes:      sizes,
		expires:    make(map[prediction]time.Duration),
	}
	p.nextExpiry.Store(never)
	return p
}

func (p *predictions) add(now, ttl time.Duration, owner Owner, links []Link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expireDue(now)
	for _, link := range links {
		p.put(prediction{hash: link.Hash, owner: owner}, now+ttl)
	}
	p.enforceLimit()
}

// addHashes does the same as add for chunks of which only the hashes are known.
func (p *predictions) addHashes(now, ttl time.Duration, owner Owner, hashes []ChainHash) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expireDue(now)
	for _, hash := range hashes {
		p.put(prediction{hash: hash, owner: owner}, now+ttl)
	}
	p.enforceLimit()
}

// put adds or renews a prediction. The caller must hold the mutex, as for expireDue,
// expireEarliest, removeLocked, enforceLimit, compact and publishNextExpiry.
func (p *predictions) put(key prediction, expiry time.Duration) {
	if current, present := p.expires[key]; present && current >= expiry {
		return
	}
	p.expires[key] = expiry
	p.queue.add(queuedExpiry{prediction: key, expiresAt: expiry})
	p.partitions.put(key.owner, key.hash)
}

// enforceLimit drops those predictions that expire first while there are more than the
// maximum.
func (p *predictions) enforceLimit() {
	for len(p.expires) > p.maximum {
		p.expireEarliest()
	}
	p.compact()
	p.publishNextExpiry()
}

func (p *predictions) remove(owner Owner, hashes []ChainHash) {
	if p.empty() {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, hash := range hashes {
		p.removeLocked(prediction{hash: hash, owner: owner})
	}
	p.compact()
	p.publishNextExpiry()
}

func (p *predictions) drop(owner Owner) {
	if p.empty() {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key := range p.expires {
		if key.owner == owner {
			p.removeLocked(key)
		}
	}
	p.compact()
	p.publishNextExpiry()
}

func (p *predictions) expire(now time.Duration) {
	if p.nextExpiry.Load() > int64(now) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expireDue(now)
	p.publishNextExpiry()
}

func (p *predictions) count() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.expires)
}

// empty reports whether there are no predictions, without taking the lock.
func (p *predictions) empty() bool { return p.nextExpiry.Load() == never }

func (p *predictions) expireDue(now time.Duration) {
	for len(p.queue) > 0 && p.queue[0].expiresAt <= now {
		p.expireEarliest()
	}
}

// expireEarliest removes the earliest expiry from the queue, and its prediction unless
// the prediction was renewed since.
func (p *predictions) expireEarliest() {
	first := p.queue.popEarliest()
	if p.expires[first.prediction] == first.expiresAt {
		p.removeLocked(first.prediction)
	}
}

func (p *predictions) removeLocked(key prediction) {
	if _, present := p.expires[key]; !present {
		return
	}
	delete(p.expires, key)
	p.partitions.remove(key.owner, key.hash)
	p.sizes.clearUncertain(key.owner, key.hash)
}

// compact rebuilds the queue when superseded expiries outnumber the others, so
// that renewals do not grow it without bound.
func (p *predictions) compact() {
	if len(p.queue) <= 2*len(p.expires)+minimumSlots {
		return
	}
	live := p.queue[:0]
	for _, queued := range p.queue {
		if p.expires[queued.prediction] == queued.expiresAt {
			live = append(live, queued)
		}
	}
	p.queue = live
	heap.Init(&p.queue)
}

func (p *predictions) publishNextExpiry() {
	if len(p.expires) == 0 {
		p.nextExpiry.Store(never)
		return
	}
	p.nextExpiry.Store(int64(p.queue[0].expiresAt))
}

// queuedExpiry is the instant at which a prediction expires.
type queuedExpiry struct {
	prediction
	expiresAt time.Duration
}

// expiryQueue is a heap ordered by expiry, for container/heap.
type expiryQueue []queuedExpiry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].expiresAt < q[j].expiresAt }
func (q expiryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// add inserts an element, and popEarliest removes the earliest. Unlike heap.Push
// and heap.Pop they don't allocate for the conversion to an interface.
func (q *expiryQueue) add(queued queuedExpiry) {
	*q = append(*q, queued)
	heap.Fix(q, len(*q)-1)
}

func (q *expiryQueue) popEarliest() queuedExpiry {
	first, last := (*q)[0], len(*q)-1
	(*q)[0] = (*q)[last]
	*q = (*q)[:last]
	if last > 0 {
		heap.Fix(q, 0)
	}
	return first
}

// Push inserts an element. Push and Pop exist only to implement heap.Interface.
func (q *expiryQueue) Push(queued any) { q.add(queued.(queuedExpiry)) }

// Pop removes the earliest element.
func (q *expiryQueue) Pop() any { return q.popEarliest() }
