// Package slowstart limits the requests that a replica in slow start receives in any
// second from all nodes together, without communication between the nodes.
//
// For each such replica, rendezvous hashing over the live nodes selects a few owners.
// Only the owners may send to the replica, and each owner sends at most its quota in any
// second. Nodes with different views of the live nodes may select different owners. This is
// why each owner has a fixed quota, and why a node that becomes an owner waits before it
// sends, for as long as a change of the live nodes may take to reach the other nodes.
//
// A Limiter records, for each replica that it was asked about, whether its node is an owner
// and when the node has sent requests lately. It does no I/O, reads no clock and starts no
// goroutine, and is safe for concurrent use.
package slowstart

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Options.
const (
	DefaultOwners         = 2
	DefaultOwnershipDelay = time.Second

	// window is the duration over which requests are counted.
	window = time.Second
	// maxReplicas bounds the replicas that a limiter tracks; the least recently used
	// ones are evicted.
	maxReplicas = 4096
)

// Options configure a Limiter. Zero values of Owners and OwnershipDelay mean the
// defaults.
type Options struct {
	// Node is the name of this node.
	Node string
	// PerSecond is how many requests a replica in slow start may receive in a second
	// from all nodes together. It is rounded down to a multiple of the number of owners;
	// below 1, no request is allowed.
	PerSecond float64
	// Owners is how many nodes may send to one replica in slow start.
	Owners int
	// OwnershipDelay is how long a node waits, after it has become an owner, before it
	// sends.
	OwnershipDelay time.Duration
}

// Limiter counts the requests that one node sends to replicas in slow start. It is safe
// for concurrent use. Times are readings of the node's monotonic clock.
type Limiter struct {
	options Options

	mutex sync.Mutex
	// nodes are the live nodes, this one included.
	nodes []string
	// replicas holds the tracked replicas by address.
	replicas map[string]*replicaState
}

// replicaState is what a limiter tracks of one replica.
type replicaState struct {
	// owned reports whether this node is an owner, and ownedSince is when it last became
	// one.
	owned      bool
	ownedSince time.Duration
	// sentAt are the times of the requests in the last window, oldest first.
	sentAt []time.Duration
	// usedAt is the time of the last call of Allowed or TryAcquire for the replica.
	usedAt time.Duration
}

// New returns the limiter of a node that knows no other node.
func New(options Options) *Limiter {
	if options.Owners <= 0 {
		options.Owners = DefaultOwners
	}
	if options.OwnershipDelay <= 0 {
		options.OwnershipDelay = DefaultOwnershipDelay
	}
	return &Limiter{options: options, nodes: []string{options.Node}, replicas: make(map[string]*replicaState)}
}

// SetNodes replaces the live nodes, which include this one.
func (l *Limiter) SetNodes(now time.Duration, nodes []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes = slices.Clone(nodes)
	for address, replica := range l.replicas {
		l.updateOwnership(now, address, replica)
	}
}

// Allowed reports whether one more request may be sent to the replica at an address now. It
// counts no request.
func (l *Limiter) Allowed(now time.Duration, address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.allowed(now, l.trackedReplica(now, address))
}

// TryAcquire counts a request to the replica at an address and returns true, or returns
// false if no request may be sent to the replica now.
func (l *Limiter) TryAcquire(now time.Duration, address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	replica := l.trackedReplica(now, address)
	if !l.allowed(now, replica) {
		return false
	}
	replica.sentAt = append(replica.sentAt, now)
	return true
}

// allowed does the same as Allowed; the caller must hold the mutex.
func (l *Limiter) allowed(now time.Duration, replica *replicaState) bool {
	if !replica.owned || now-replica.ownedSince < l.options.OwnershipDelay {
		return false
	}
	for len(replica.sentAt) > 0 && replica.sentAt[0] <= now-window {
		replica.sentAt = replica.sentAt[1:]
	}
	return len(replica.sentAt) < l.quotaPerOwner()
}

// quotaPerOwner returns how many requests each owner may send in a second; 0 if PerSecond
// is below 1.
func (l *Limiter) quotaPerOwner() int { return int(l.options.PerSecond) / l.owners() }

// owners returns how many nodes own a replica. It is at most the number of requests that
// are allowed in a second, so that each owner may send at least one.
func (l *Limiter) owners() int { return max(1, min(l.options.Owners, int(l.options.PerSecond))) }

// trackedReplica returns the state of a replica, and starts to track the replica if
// necessary.
func (l *Limiter) trackedReplica(now time.Duration, address string) *replicaState {
	tracked, present := l.replicas[address]
	if !present {
		l.evictOldest()
		tracked = &replicaState{}
		l.replicas[address] = tracked
		l.updateOwnership(now, address, tracked)
	}
	tracked.usedAt = now
	return tracked
}

// evictOldest stops tracking the least recently used replica if there are too many.
func (l *Limiter) evictOldest() {
	if len(l.replicas) < maxReplicas {
		return
	}
	oldest, oldestAt := "", time.Duration(0)
	for address, replica := range l.replicas {
		if oldest == "" || replica.usedAt < oldestAt {
			oldest, oldestAt = address, replica.usedAt
		}
	}
	delete(l.replicas, oldest)
}

// updateOwnership determines whether this node owns a replica now.
func (l *Limiter) updateOwnership(now time.Duration, address string, replica *replicaState) {
	owned := l.rank(address) < l.owners()
	if owned && !replica.owned {
		replica.ownedSince = now
	}
	replica.owned = owned
}

// rank returns how many live nodes precede this one in the order of ownership of a replica.
func (l *Limiter) rank(address string) int {
	self := weight(l.options.Node, address)
	rank := 0
	for _, node := range l.nodes {
		if node == l.options.Node {
			continue
		}
		other := weight(node, address)
		if cmp.Or(cmp.Compare(self, other), cmp.Compare(l.options.Node, node)) < 0 {
			rank++
		}
	}
	return rank
}

// weight returns the rendezvous hash of a node and a replica. The nodes with the highest
// weights own the replica.
func weight(node, address string) uint64 {
	return xxhash.Sum64String(node + "\x00" + address)
}
