package enginebench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/timers"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// Settings describe one run.
type Settings struct {
	Profile Profile
	Policy  Policy
	Seed    uint64
	// Load multiplies the rates of the classes of requests.
	Load float64
	// Duration is the virtual time during which requests arrive.
	Duration time.Duration
	// EventLoss is the fraction of changes that are lost.
	EventLoss float64
	// LoadExchangeInterval is the time between two load exchanges of the routers; with 0
	// there are none.
	LoadExchangeInterval time.Duration
	// Tune changes the prefix-aware router's settings; may be nil.
	Tune func(*RouterSettings)
}

const (
	// warmUp is the time at the beginning whose requests are not counted, and runOut
	// the time at the end in which requests may finish.
	warmUp = 2 * time.Second
	runOut = 20 * time.Second
	// maxTransferWait is the wait for a link beyond which a transfer is not started.
	maxTransferWait = 2 * time.Second
	// crossZoneFactor multiplies the time of transfers between zones.
	crossZoneFactor = 2
	// storeZone is the zone of the store.
	storeZone = 1

	bitsPerByte           = 8
	millisecondsPerSecond = 1000
)

// The streams of random numbers of one seed, each with its own draws.
const (
	simulationStream = 3
	workloadStream   = 11
	// firstNodeStream is that of node 0; further nodes follow.
	firstNodeStream = 100
)

// simulation is one run, with all that it changes.
type simulation struct {
	settings Settings
	random   *rand.Rand
	timers   timers.Queue
	replicas []*replica
	// store is nil under policies without one. owners are the replicas and the store.
	store  *owner
	owners []*owner
	nodes  []node
	result *Result
	// lastUse is when a shared chunk was last used, by ID.
	lastUse map[string]time.Duration
}

// Run plays one run and returns its result.
func Run(settings Settings) *Result {
	s := &simulation{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, simulationStream)),
		result:   &Result{rereads: map[Reread]int{}},
		lastUse:  map[string]time.Duration{},
	}
	s.build()
	arrivals := workload(&settings.Profile, settings.Load, settings.Duration, settings.Seed)
	for _, arrival := range arrivals {
		s.timers.Add(arrival.arrivedAt, func(now time.Duration) { s.arrive(now, arrival, 0) })
	}
	s.timers.Add(0, s.sendChanges)
	s.timers.Add(0, s.sendReports)
	if settings.LoadExchangeInterval > 0 {
		s.timers.Add(0, s.exchangeLoads)
	}
	s.timers.Run(settings.Duration + runOut)
	s.result.summarize(arrivals, &settings.Profile)
	return s.result
}

// build creates replicas, store and routers.
func (s *simulation) build() {
	profile := &s.settings.Profile
	engine := &profile.Engine
	for number := range profile.Replicas {
		created := &replica{
			owner: owner{
				address:           fmt.Sprint("replica-", number),
				zone:              number * profile.Zones / profile.Replicas,
				memory:            newMemory(engine.MemoryTokens),
				linkBitsPerSecond: engine.LinkBitsPerSecond,
			},
			engine:   engine,
			slowness: profile.Slowness[s.random.IntN(len(profile.Slowness))],
			sim:      s,
		}
		s.replicas = append(s.replicas, created)
		s.owners = append(s.owners, &created.owner)
	}
	if s.settings.Policy.usesStore() {
		s.store = &owner{address: "store", zone: storeZone, memory: newMemory(engine.StoreTokens), linkBitsPerSecond: engine.StoreBitsPerSecond}
		s.owners = append(s.owners, s.store)
	}
	for number := range profile.Nodes {
		s.nodes = append(s.nodes, newNode(s, number))
	}
}

// arrive has the node of a request route it. A request that is refused comes back
// once, if its deadline allows that.
func (s *simulation) arrive(now time.Duration, arrival *arrival, attempt int) {
	node := s.nodes[arrival.node]
	placed, retryAfter := node.route(now, arrival)
	if retryAfter > 0 {
		s.result.refused++
		if attempt < 1 && now+retryAfter < arrival.arrivedAt+arrival.class.Deadline {
			s.timers.Add(now+retryAfter, func(now time.Duration) { s.arrive(now, arrival, attempt+1) })
		}
		return
	}
	outcome := &outcome{arrival: arrival, crossZone: s.replicas[placed.replica].zone != s.zoneOf(arrival.node)}
	s.result.outcomes = append(s.result.outcomes, outcome)
	request := &replicaRequest{
		arrival: arrival, priority: placed.priority, source: placed.source, save: placed.save, assumedTokens: placed.assumedTokens,
		onFirstEvent: func(at time.Duration) {
			outcome.firstEvent = at - arrival.arrivedAt
			s.timers.Add(at, func(now time.Duration) { node.firstEvent(now, &placed) })
		},
		onDone: func(at time.Duration) {
			s.timers.Add(at, func(now time.Duration) { node.finished(now, &placed) })
		},
	}
	s.sendWhenReady(now, placed.wait, func(now time.Duration) {
		s.replicas[placed.replica].submit(now+time.Millisecond, request)
	})
}

// waitPollInterval is the time between two checks whether a wait has ended.
const waitPollInterval = 5 * time.Millisecond

// sendWhenReady sends a request once its wait, if any, has ended.
func (s *simulation) sendWhenReady(now time.Duration, wait *kvrouter.PrefixWait, send func(now time.Duration)) {
	if wait == nil || wait.Done(now) {
		send(now)
		return
	}
	s.timers.Add(now+waitPollInterval, func(now time.Duration) { s.sendWhenReady(now, wait, send) })
}

func (s *simulation) zoneOf(node int) int { return node % s.settings.Profile.Zones }

// transfer reserves the links of both ends for a number of tokens, and returns when the
// transfer ends. It returns false when a link is busy for too long.
func (s *simulation) transfer(now time.Duration, from, to *owner, tokens int) (time.Duration, bool) {
	start := max(now, from.linkFreeAt, to.linkFreeAt)
	if from == s.store || to == s.store {
		start = max(now, replicaOf(s, from, to).linkFreeAt)
	}
	if start-now > maxTransferWait {
		return 0, false
	}
	engine := &s.settings.Profile.Engine
	took := float64(tokens) * engine.BytesPerToken * bitsPerByte / min(from.linkBitsPerSecond, to.linkBitsPerSecond) * millisecondsPerSecond
	if from.zone != to.zone {
		took *= crossZoneFactor
	}
	end := start + fromMilliseconds(engine.TransferSetup+took)
	from.linkFreeAt, to.linkFreeAt = end, end
	return end, true
}

// replicaOf returns the end of a transfer that is not the store: the store serves many
// transfers at once.
func replicaOf(s *simulation, from, to *owner) *owner {
	if from == s.store {
		return to
	}
	return from
}
