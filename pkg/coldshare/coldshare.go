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
	DefaultOwners = 2
	DefaultSettle = time.Second
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
	// Settle is how long a node waits after it has become an owner.
	Settle time.Duration
}

// Bound counts what one node sends to cold replicas. It may be used by many
// goroutines.
type Bound struct {
	options Options

	mutex    sync.Mutex
	nodes    []string
	replicas map[string]*coldReplica
}

// coldReplica is what a node remembers of one replica.
type coldReplica struct {
	owned      bool
	ownedSince time.Duration
	sent       []time.Duration
	usedAt     time.Duration
}

// New returns a bound for a node that knows of no other.
func New(options Options) *Bound {
	if options.Owners <= 0 {
		options.Owners = DefaultOwners
	}
	if options.Settle <= 0 {
		options.Settle = DefaultSettle
	}
	return &Bound{options: options, nodes: []string{options.Node}, replicas: make(map[string]*coldReplica)}
}

// SetNodes replaces the live nodes, this one among them.
func (b *Bound) SetNodes(now time.Duration, nodes []string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = slices.Clone(nodes)
	for address, replica := range b.replicas {
		b.refresh(now, address, replica)
	}
}

// Allowed tells whether one more request may go to a cold replica now. It counts
// nothing.
func (b *Bound) Allowed(now time.Duration, address string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.allowed(now, b.replica(now, address))
}

// TryTake counts a request to a cold replica and returns true, or returns false
// when none may go there.
func (b *Bound) TryTake(now time.Duration, address string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	replica := b.replica(now, address)
	if !b.allowed(now, replica) {
		return false
	}
	replica.sent = append(replica.sent, now)
	return true
}

func (b *Bound) allowed(now time.Duration, replica *coldReplica) bool {
	if !replica.owned || now-replica.ownedSince < b.options.Settle {
		return false
	}
	for len(replica.sent) > 0 && replica.sent[0] <= now-window {
		replica.sent = replica.sent[1:]
	}
	return len(replica.sent) < b.part()
}

// part is how many requests each owner may send in a second. With fewer requests
// than owners, only as many nodes own the replica.
func (b *Bound) part() int { return int(b.options.PerSecond) / b.owners() }

func (b *Bound) owners() int { return max(1, min(b.options.Owners, int(b.options.PerSecond))) }

func (b *Bound) replica(now time.Duration, address string) *coldReplica {
	known, present := b.replicas[address]
	if !present {
		b.makeRoom()
		known = &coldReplica{}
		b.replicas[address] = known
		b.refresh(now, address, known)
	}
	known.usedAt = now
	return known
}

func (b *Bound) makeRoom() {
	if len(b.replicas) < maxReplicas {
		return
	}
	oldest, oldestAt := "", time.Duration(0)
	for address, replica := range b.replicas {
		if oldest == "" || replica.usedAt < oldestAt {
			oldest, oldestAt = address, replica.usedAt
		}
	}
	delete(b.replicas, oldest)
}

// refresh finds out whether this node is an owner now.
func (b *Bound) refresh(now time.Duration, address string, replica *coldReplica) {
	owned := b.rank(address) < b.owners()
	if owned && !replica.owned {
		replica.ownedSince = now
	}
	replica.owned = owned
}

// rank counts the nodes that go before this one for a replica.
func (b *Bound) rank(address string) int {
	own := weight(b.options.Node, address)
	ahead := 0
	for _, node := range b.nodes {
		if node == b.options.Node {
			continue
		}
		other := weight(node, address)
		if cmp.Or(cmp.Compare(own, other), cmp.Compare(b.options.Node, node)) < 0 {
			ahead++
		}
	}
	return ahead
}

func weight(node, address string) uint64 {
	return xxhash.Sum64String(node + "\x00" + address)
}
