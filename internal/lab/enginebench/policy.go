package enginebench

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
)

// Policy names a way to choose replicas.
type Policy string

// The policies.
const (
	Random                    Policy = "random"
	LeastRequests             Policy = "least requests"
	Rendezvous                Policy = "rendezvous, bounded load"
	RendezvousStore           Policy = "rendezvous, priority, store"
	LeastStore                Policy = "least requests, priority, store"
	Router                    Policy = "router"
	RouterWithoutStore        Policy = "router, no store"
	RouterWithoutLoadExchange Policy = "router, no shared load"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{Random, LeastRequests, Rendezvous, RendezvousStore, LeastStore, Router, RouterWithoutStore, RouterWithoutLoadExchange}
}

func (p Policy) usesStore() bool {
	return p == RendezvousStore || p == LeastStore || p == Router || p == RouterWithoutLoadExchange
}

func (p Policy) isRouter() bool {
	return p == Router || p == RouterWithoutStore || p == RouterWithoutLoadExchange
}

// placement is where a node sends a request.
type placement struct {
	// replica is the number of the chosen replica.
	replica  int
	priority uint8
	// source is what the replica pulls from before, or nil, and save says whether it
	// saves its chunks to the store.
	source *owner
	save   bool
	// reservation is the request's load in the product's router; nil in others.
	reservation *kvrouter.Reservation
	// assumedTokens are the leading tokens that the router assumes to be cached.
	assumedTokens int
	// wait is what the request is held back for, or nil.
	wait *kvrouter.PrefixWait
}

// node is a router that receives a fraction of the requests.
type node interface {
	// route chooses a replica, or returns the time after which to try again.
	route(now time.Duration, arrival *arrival) (placed placement, retryAfter time.Duration)
	// firstEvent and finished tell that a request that route placed has sent its first
	// event, and that it has ended.
	firstEvent(now time.Duration, placed *placement)
	finished(now time.Duration, placed *placement)
	// changes, report and remoteLoads deliver what owners report and other routers send.
	changes(now time.Duration, address string, position cachefeed.Position, changes []cachefeed.ChunkChange)
	report(now time.Duration, address string, report kvrouter.Report)
	// loads returns the load that this router has put on each replica.
	loads(now time.Duration) []kvrouter.AddressLoad
	remoteLoads(now time.Duration, from int, loads []kvrouter.AddressLoad)
}

func newNode(s *simulation, number int) node {
	if s.settings.Policy.isRouter() {
		return newRouterNode(s, number)
	}
	return &simpleNode{
		sim:     s,
		policy:  s.settings.Policy,
		random:  rand.New(rand.NewPCG(s.settings.Seed, uint64(number)+firstNodeStream)),
		running: make([]int, len(s.replicas)),
	}
}

// simpleNode chooses by its own requests only.
type simpleNode struct {
	sim    *simulation
	policy Policy
	random *rand.Rand
	// running counts this node's requests on each replica.
	running []int
}

// boundedLoad bounds the requests of a replica relative to the mean.
const boundedLoad = 1.25

// hashMultiplier spreads hashes over all bits: 2^64 divided by the golden ratio.
const hashMultiplier = 0x9E3779B97F4A7C15

func (n *simpleNode) route(_ time.Duration, arrival *arrival) (placement, time.Duration) {
	placed := placement{priority: samePriority}
	switch n.policy {
	case Random:
		placed.replica = n.random.IntN(len(n.running))
	case LeastRequests, LeastStore:
		placed.replica = n.least()
	default:
		placed.replica = n.rendezvous(arrival.chunks[0].ID)
	}
	if n.policy.usesStore() {
		placed.priority = arrival.class.Priority
		placed.source = n.sim.store
		placed.save = true
	}
	n.running[placed.replica]++
	return placed, 0
}

// least returns the replica with the fewest of this node's requests, one of several
// at random.
func (n *simpleNode) least() int {
	offset := n.random.IntN(len(n.running))
	best := offset
	for step := range n.running {
		number := (offset + step) % len(n.running)
		if n.running[number] < n.running[best] {
			best = number
		}
	}
	return best
}

// rendezvous returns the replica with the highest hash together with a chunk, of those
// within the bounded load.
func (n *simpleNode) rendezvous(chunk string) int {
	total := 1
	for _, running := range n.running {
		total += running
	}
	bound := boundedLoad * float64(total) / float64(len(n.running))
	best, highest := -1, uint64(0)
	for number, running := range n.running {
		if float64(running) >= max(bound, 1) {
			continue
		}
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(chunk))
		_, _ = hash.Write([]byte(n.sim.replicas[number].address))
		mixed := hash.Sum64() * hashMultiplier
		if best < 0 || mixed > highest {
			best, highest = number, mixed
		}
	}
	if best < 0 {
		return n.least()
	}
	return best
}

func (n *simpleNode) firstEvent(time.Duration, *placement) {}

func (n *simpleNode) finished(_ time.Duration, placed *placement) { n.running[placed.replica]-- }

func (n *simpleNode) changes(time.Duration, string, cachefeed.Position, []cachefeed.ChunkChange) {}

func (n *simpleNode) report(time.Duration, string, kvrouter.Report) {}

func (n *simpleNode) loads(time.Duration) []kvrouter.AddressLoad { return nil }

func (n *simpleNode) remoteLoads(time.Duration, int, []kvrouter.AddressLoad) {}
