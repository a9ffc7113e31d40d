package sim

import (
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// The streams of random numbers of a run.
const (
	planStream uint64 = iota + 1
	runStream
	readStream
)

// simulation is one run.
type simulation struct {
	settings Settings
	// plan decides the deployment and its faults; random decides all else.
	plan   *rand.Rand
	random *rand.Rand
	// readPlan decides who reads when.
	readPlan *rand.Rand
	now      time.Duration
	events   eventQueue

	// nodes are those that there are; all holds those taken away too.
	nodes         []*node
	everyNode     []*node
	byAddress     map[string]*node
	group         []member.ID
	groupZones    map[member.ID]string
	serviceShards uint32
	network       *network
	replicas      map[string]*replica
	platform      *platform
	keys          []tenantKey
	operators     *operators
	// delayedCommandFaults counts the active faults that hold commands back.
	delayedCommandFaults int
	// majorityLost tells that the disks of a majority are gone, and that the
	// groups have not been formed anew.
	majorityLost   bool
	majorityLostAt time.Duration
	// freezeNextCommand freezes the next node that is about to command.
	freezeNextCommand bool

	// seeds are what settings name from now on, in a deployment that finds itself
	// through seeds.
	seeds        []string
	connectivity *connectivity

	checks   *checks
	counts   Counts
	timeline *timeline
}

// Counts are what a run did.
type Counts struct {
	Frames        uint64 `json:"frames"`
	Requests      uint64 `json:"requests"`
	Orders        uint64 `json:"orders"`
	OrdersAcked   uint64 `json:"orders_acked"`
	OrdersRefused uint64 `json:"orders_refused"`
	Resends       uint64 `json:"resends"`
	Commands      uint64 `json:"commands"`
	// Refusals counts requests that replicas did not run, as they expected other
	// weights.
	Refusals uint64 `json:"requests_refused_by_replicas"`
	// EndpointReads counts readings of the platform's list, and Reports those of
	// replicas' reports.
	EndpointReads uint64 `json:"list_readings"`
	Reports       uint64 `json:"reports"`
	// Reads counts what operators asked for, and ReadsRefused what nodes were not
	// sure of.
	Reads        uint64 `json:"reads"`
	ReadsRefused uint64 `json:"reads_refused"`
	// Undecided counts the histories of orders that were too hard to judge.
	Undecided     uint64            `json:"histories_undecided"`
	StaleCommands uint64            `json:"stale_commands_refused"`
	Faults        map[string]uint64 `json:"faults"`
}

// Result is the outcome of one run.
type Result struct {
	Seed       uint64
	Virtual    time.Duration
	Counts     Counts
	Violations []Violation
	// Digest is equal for equal runs.
	Digest uint64
	// Timeline is the drawing of the run, if it was asked for.
	Timeline string
}

// Run simulates one seed.
func Run(settings Settings) Result {
	world := newSimulation(settings)
	world.build()
	world.scheduleStart()
	world.scheduleFaults()
	world.connectivity.schedule()
	world.operators.schedule()
	world.scheduleReads()
	world.scheduleRecoveryChecks()
	world.loop()
	world.checks.finish()
	return world.result()
}

func newSimulation(settings Settings) *simulation {
	world := &simulation{
		settings:      settings,
		plan:          rand.New(rand.NewPCG(settings.Seed, planStream)),
		random:        rand.New(rand.NewPCG(settings.Seed, runStream)),
		readPlan:      rand.New(rand.NewPCG(settings.Seed, readStream)),
		byAddress:     map[string]*node{},
		groupZones:    map[member.ID]string{},
		serviceShards: simulatedShards,
		replicas:      map[string]*replica{},
		counts:        Counts{Faults: map[string]uint64{}},
	}
	world.platform = newPlatform(world)
	world.checks = newChecks(world)
	world.operators = &operators{world: world}
	world.connectivity = newConnectivity(world)
	if settings.Timeline {
		world.timeline = &timeline{}
	}
	return world
}

// scheduleStart starts all nodes within the first half second.
func (w *simulation) scheduleStart() {
	const within = 500 * time.Millisecond
	for _, one := range w.nodes {
		w.at(w.planned(within), one.start)
	}
}

// loop runs the events up to the end of the run.
func (w *simulation) loop() {
	for {
		next, more := w.events.next()
		if !more || next.at > w.settings.Virtual {
			w.now = w.settings.Virtual
			return
		}
		w.now = next.at
		next.run()
	}
}

func (w *simulation) result() Result {
	w.counts.Frames = w.network.sent
	result := Result{
		Seed:       w.settings.Seed,
		Virtual:    w.settings.Virtual,
		Counts:     w.counts,
		Violations: w.checks.violations,
		Digest:     w.checks.digest.Sum64(),
	}
	if w.timeline != nil {
		result.Timeline = w.timeline.draw(w)
	}
	return result
}

// at plans an action for an instant.
func (w *simulation) at(instant time.Duration, run func()) { w.events.add(max(instant, w.now), run) }

// after plans an action for later.
func (w *simulation) after(delay time.Duration, run func()) { w.events.add(w.now+delay, run) }

// upTo returns a random duration below a bound; 0 for no bound.
func (w *simulation) upTo(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(bound)))
}

// chance tells true with a probability.
func (w *simulation) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

// pick returns a random element; there must be one.
func pick[Element any](w *simulation, elements []Element) Element {
	return elements[w.random.IntN(len(elements))]
}

// nodeAt returns the node that listens on an address, or nil.
func (w *simulation) nodeAt(address string) *node { return w.byAddress[address] }

func (w *simulation) broken(mechanism Break) bool { return w.settings.Break == mechanism }

// inRecoveryPhase tells whether the faults are over.
func (w *simulation) inRecoveryPhase() bool { return w.now >= w.settings.recoveryPhaseStart() }
