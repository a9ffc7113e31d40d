package sim

import (
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// The streams of random numbers of a run, each derived from its seed. They are
// separate so that, for example, further reads do not change the faults.
const (
	planStream uint64 = iota + 1
	runStream
	readStream
)

// simulation is one run. A single goroutine runs all its events, so that nothing
// is locked.
type simulation struct {
	settings Settings
	// plan draws the deployment and its faults, random everything else.
	plan   *rand.Rand
	random *rand.Rand
	// readPlan draws which operator reads when.
	readPlan *rand.Rand
	now      time.Duration
	events   eventQueue

	// nodes are the present machines; everyNode includes those that were removed.
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
	faults        *faultInjector

	// seeds are the seeds in the settings at present, in a deployment whose nodes
	// find each other through seeds.
	seeds        []string
	connectivity *connectivity

	checks   *checks
	counts   Counts
	timeline *timeline
}

// Counts are the totals of one run. The simulator is deterministic: equal
// settings give equal counts.
type Counts struct {
	Frames        uint64 `json:"frames"`
	Requests      uint64 `json:"requests"`
	Orders        uint64 `json:"orders"`
	OrdersAcked   uint64 `json:"orders_acked"`
	OrdersRefused uint64 `json:"orders_refused"`
	Resends       uint64 `json:"resends"`
	Commands      uint64 `json:"commands"`
	// Refusals counts requests that replicas rejected since the requests expected
	// other weights.
	Refusals uint64 `json:"requests_refused_by_replicas"`
	// EndpointReads counts reads of the platform's endpoint list, and Reports
	// those of replicas' reports.
	EndpointReads uint64 `json:"list_readings"`
	Reports       uint64 `json:"reports"`
	// Reads counts operators' reads, and ReadsRefused those that nodes rejected
	// because they could not rule out a newer configuration.
	Reads        uint64 `json:"reads"`
	ReadsRefused uint64 `json:"reads_refused"`
	// Undecided counts the histories of orders whose linearizability was not
	// decided within historyTimeout.
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
	// Digest covers the course of the run; it is equal for equal runs.
	Digest uint64
	// Timeline is the run drawn as text, if Settings.Timeline is set.
	Timeline string
}

// Run simulates one seed to its end. It may be called concurrently.
func Run(settings Settings) Result {
	world := newSimulation(settings)
	world.build()
	world.scheduleStart()
	world.faults.schedule()
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
	world.faults = &faultInjector{world: world}
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

// loop runs the events in order up to the end of the run.
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

// at schedules an action for an instant, or for now if that has passed.
func (w *simulation) at(instant time.Duration, run func()) { w.events.add(max(instant, w.now), run) }

// after schedules an action for later.
func (w *simulation) after(delay time.Duration, run func()) { w.events.add(w.now+delay, run) }

// upTo returns a random duration below a bound; 0 if the bound is not positive.
func (w *simulation) upTo(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(bound)))
}

// chance returns true with a probability.
func (w *simulation) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

// pick returns a random element of a slice that is not empty.
func pick[Element any](w *simulation, elements []Element) Element {
	return elements[w.random.IntN(len(elements))]
}

// nodeAt returns the node that listens at an address, or nil.
func (w *simulation) nodeAt(address string) *node { return w.byAddress[address] }

// broken reports whether a mechanism is switched off in this run.
func (w *simulation) broken(mechanism Break) bool { return w.settings.Break == mechanism }

// inRecoveryPhase reports whether the recovery phase has begun, in which no fault
// is active.
func (w *simulation) inRecoveryPhase() bool { return w.now >= w.settings.recoveryPhaseStart() }
