// Package coldshare bounds the requests that a cold replica gets from a whole
// fleet of nodes in any second, without a word between them.
//
// For each cold replica, rendezvous hashing over the live nodes names a few
// owners. Only these may send to it, and each no more than its part of the
// bound in any second. Nodes whose views of the fleet differ may name different
// owners. An owner therefore keeps to its part, and one that has become an owner
// waits for as long as news may take before it sends.
package coldshare

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
	// window is the span in which requests are counted.
	window = time.Second
	// maxReplicas bounds the replicas that are remembered; those sent to longest
	// ago are forgotten.
	maxReplicas = 4096
)

// Options configure a Bound. Zero values mean the defaults.
type Options struct {
	// Node is the name of this node.
	Node string
	// PerSecond is how many requests a cold replica bears in a second.
	PerSecond float64
	// Owners is how many nodes may send to one cold replica.
	Owners int
	// OwnershipDelay is how long a node waits after it has become an owner.
	OwnershipDelay time.Duration
}

// Limiter counts what one node sends to cold replicas. It may be used by many
// goroutines.
type Limiter struct {
	options Options

	mutex    sync.Mutex
	nodes    []string
	replicas map[string]*replicaState
}

// replicaState is what a node remembers of one replica.
type replicaState struct {
	owned      bool
	ownedSince time.Duration
	sentAt     []time.Duration
	usedAt     time.Duration
}

// New returns a bound for a node that knows of no other.
func New(options Options) *Limiter {
	if options.Owners <= 0 {
		options.Owners = DefaultOwners
	}
	if options.OwnershipDelay <= 0 {
		options.OwnershipDelay = DefaultOwnershipDelay
	}
	return &Limiter{options: options, nodes: []string{options.Node}, replicas: make(map[string]*replicaState)}
}

// SetNodes replaces the live nodes, this one among them.
func (l *Limiter) SetNodes(now time.Duration, nodes []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes = slices.Clone(nodes)
	for address, replica := range l.replicas {
		l.updateOwnership(now, address, replica)
	}
}

// Allowed tells whether one more request may go to a cold replica now. It counts
// nothing.
func (l *Limiter) Allowed(now time.Duration, address string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.allowed(now, l.trackedReplica(now, address))
}

// TryAcquire counts a request to a cold replica and returns true, or returns false
// when none may go there.
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

func (l *Limiter) allowed(now time.Duration, replica *replicaState) bool {
	if !replica.owned || now-replica.ownedSince < l.options.OwnershipDelay {
		return false
	}
	for len(replica.sentAt) > 0 && replica.sentAt[0] <= now-window {
		replica.sentAt = replica.sentAt[1:]
	}
	return len(replica.sentAt) < l.quotaPerOwner()
}

// quotaPerOwner is how many requests each owner may send in a second. With fewer requests
// than owners, only as many nodes own the replica.
func (l *Limiter) quotaPerOwner() int { return int(l.options.PerSecond) / l.owners() }

func (l *Limiter) owners() int { return max(1, min(l.options.Owners, int(l.options.PerSecond))) }

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

// updateOwnership finds out whether this node is an owner now.
func (l *Limiter) updateOwnership(now time.Duration, address string, replica *replicaState) {
	owned := l.rank(address) < l.owners()
	if owned && !replica.owned {
		replica.ownedSince = now
	}
	replica.owned = owned
}

// rank counts the nodes that go before this one for a replica.
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

func weight(node, address string) uint64 {
	return xxhash.Sum64String(node + "\x00" + address)
}
