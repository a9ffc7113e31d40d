package inbound

import (
	"container/list"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// smallHolderBytes is what a request may hold of the part of the budget that is reserved
	// for requests that hold no more. largeHolderNumerator and largeHolderDenominator are the
	// part that is not reserved.
	smallHolderBytes       = 64 << 10
	largeHolderNumerator   = 7
	largeHolderDenominator = 8
	// evictionTimeout is how long a charge waits for evicted requests to give back what they
	// hold.
	evictionTimeout = time.Second
)

// ErrOverloaded refuses a request because what clients may make the process hold is used up. The
// request has not run.
var ErrOverloaded = errors.New("the node holds as much of its clients' requests as it may: send the request again later")

// Budget is what the clients of a process may make it hold. It may be used concurrently.
type Budget struct {
	limits Limits
	// bulk is held by the goroutine that processes the part of a body beyond smallHolderBytes.
	bulk chan struct{}
	// parsing is held by the goroutine that parses the content of a request.
	parsing chan struct{}

	mutex sync.Mutex
	// held is the sum of all charges, and evictedHeld the part of it that evicted requests have
	// yet to give back.
	held, evictedHeld int64
	// responses is the part of held that is charged for responses of back ends.
	responses int64
	// incomplete contains the connections that wait for a request or read one, in the order in
	// which they began to.
	incomplete *list.List
	// changed is closed and replaced when a charge is given back or a request is evicted, if
	// waiters is above 0.
	changed chan struct{}
	waiters int
	stats   Stats
}

// Stats counts what a budget has refused.
type Stats struct {
	// HeldBytes is the sum of all charges at present.
	HeldBytes int64
	// Connections is the number of open connections at present.
	Connections int
	// Refused counts the requests and connections that found no room, and Evicted the
	// incomplete requests and waiting connections that made room for others.
	Refused, Evicted uint64
}

// NewBudget returns a budget.
func NewBudget(limits Limits) *Budget {
	return &Budget{
		limits:     limits,
		bulk:       make(chan struct{}, 1),
		parsing:    make(chan struct{}, 1),
		incomplete: list.New(),
		changed:    make(chan struct{}),
	}
}

// Limits returns the limits of the budget.
func (b *Budget) Limits() Limits { return b.limits }

// Stats returns the counters.
func (b *Budget) Stats() Stats {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	stats := b.stats
	stats.HeldBytes = b.held
	return stats
}

// charge adds bytes to what a connection's request holds. If the budget is spent, it evicts other
// requests and waits until they have given back enough. It returns ErrOverloaded if the request
// itself was or has to be evicted, or if all others are complete.
func (b *Budget) charge(connection *Connection, bytes int64) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var timeout <-chan time.Time
	for {
		if connection.evicted {
			return ErrOverloaded
		}
		missing := b.held + bytes - b.allowed(connection.held+bytes)
		if missing <= 0 {
			b.held += bytes
			connection.held += bytes
			return nil
		}
		if missing > b.evictedHeld && !b.evictLargest(connection) {
			b.stats.Refused++
			return ErrOverloaded
		}
		if timeout == nil {
			timer := time.NewTimer(evictionTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		if !b.awaitChange(timeout) {
			b.stats.Refused++
			return ErrOverloaded
		}
	}
}

// allowed returns how much all requests may hold if one of them is to hold the given bytes.
func (b *Budget) allowed(holder int64) int64 {
	if holder <= smallHolderBytes {
		return b.limits.Bytes
	}
	return b.limits.Bytes / largeHolderDenominator * largeHolderNumerator
}

// evictLargest evicts the incomplete request whose bytes times its age are greatest. It returns
// false if that is the given connection's own, or if there is none.
func (b *Budget) evictLargest(own *Connection) bool {
	now := time.Now()
	var largest *Connection
	var most float64
	for element := b.incomplete.Front(); element != nil; element = element.Next() {
		candidate := element.Value.(*Connection)
		if candidate.evicted || candidate.held == 0 {
			continue
		}
		if product := float64(candidate.held) * float64(now.Sub(candidate.since)); largest == nil || product > most {
			largest, most = candidate, product
		}
	}
	if largest == nil || largest == own {
		return false
	}
	largest.evict()
	return true
}

// awaitChange waits until a charge was given back or a request was evicted. It returns false if
// the time ends first. The mutex is released meanwhile.
func (b *Budget) awaitChange(timeout <-chan time.Time) bool {
	changed := b.changed
	b.waiters++
	b.mutex.Unlock()
	inTime := true
	select {
	case <-changed:
	case <-timeout:
		inTime = false
	}
	b.mutex.Lock()
	b.waiters--
	return inTime
}

// announceChange wakes the goroutines that wait for a change.
func (b *Budget) announceChange() {
	if b.waiters > 0 {
		close(b.changed)
		b.changed = make(chan struct{})
	}
}

// giveBack takes bytes off what a connection's request holds.
func (b *Budget) giveBack(connection *Connection, bytes int64) {
	if bytes == 0 {
		return
	}
	b.held -= bytes
	connection.held -= bytes
	if connection.evicted {
		b.evictedHeld -= bytes
	}
	b.announceChange()
}

// giveBackAll takes off all that a connection's request holds.
func (b *Budget) giveBackAll(connection *Connection) {
	b.responses -= connection.response
	connection.response = 0
	b.giveBack(connection, connection.held)
}
