package sim

import "time"

// simulation is one run: the parts of a deployment, what disturbs them, and what
// watches them. A single goroutine runs all its events, so that nothing is locked.
type simulation struct {
	*environment

	machines *machines
	groups   *shardGroups
	network  *network
	platform *platform
	backends *backendCalls
	keys     *keyring

	operators *operators
	reads     *operatorReads
	// evacuations are the calls of an operator whose orders have no identities.
	evacuations *evacuationCalls
	faults      *faultInjector
	// majorityLoss is set by the faults, which must not take more then.
	majorityLoss *majorityLoss

	connectivity *connectivity
	checks       *checks
	recovery     *recoveryChecks
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

	// What is to happen. The order of these calls is part of what a seed stands
	// for: events of one instant run in the order in which they were scheduled.
	world.scheduleStart()
	world.faults.schedule()
	world.connectivity.schedule()
	world.operators.schedule()
	world.reads.schedule()
	world.recovery.schedule()

	world.runUntil(settings.Virtual)
	world.checks.finish()
	return world.result()
}

// newSimulation returns a run whose parts know each other, without machines or
// replicas.
func newSimulation(settings Settings) *simulation {
	env := newEnvironment(settings)
	world := &simulation{environment: env, majorityLoss: &majorityLoss{}}
	world.keys = &keyring{}
	world.platform = newPlatform(env)
	world.machines = newMachines(env)
	world.groups = &shardGroups{env: env, machines: world.machines, serviceShards: simulatedShards}
	world.network = &network{env: env, machines: world.machines}
	world.backends = &backendCalls{env: env, network: world.network, platform: world.platform}
	world.connectivity = newConnectivity(env, world.machines, world.network, world.backends, world.groups)
	world.operators = &operators{orderFactory: &orderFactory{env: env, machines: world.machines, keys: world.keys}}
	world.checks = newChecks(world)
	world.reads = &operatorReads{env: env, machines: world.machines, operators: world.operators, checks: world.checks}
	world.evacuations = &evacuationCalls{env: env, machines: world.machines, operators: world.operators, checks: world.checks}
	world.recovery = &recoveryChecks{
		env: env, machines: world.machines, platform: world.platform, operators: world.operators, checks: world.checks,
	}
	world.faults = newFaultInjector(world)

	world.machines.surroundings = &surroundings{
		env: env, machines: world.machines, groups: world.groups, network: world.network, platform: world.platform,
		backends: world.backends, keys: world.keys, operators: world.operators, connectivity: world.connectivity,
		checks: world.checks, majorityLoss: world.majorityLoss,
	}

	// The other direction: who is told of what happens.
	world.machines.connectivity = world.connectivity
	world.network.connectivity = world.connectivity
	world.network.checks = world.checks
	world.platform.checks = world.checks
	world.backends.checks = world.checks
	world.operators.checks = world.checks
	return world
}

// scheduleStart starts all nodes within the first half second.
func (w *simulation) scheduleStart() {
	const within = 500 * time.Millisecond
	for _, one := range w.machines.nodes {
		w.at(w.planned(within), one.start)
	}
}

func (w *simulation) result() Result {
	w.counts.Frames = w.network.sent
	result := Result{
		Seed:       w.settings.Seed,
		Virtual:    w.settings.Virtual,
		Counts:     w.counts,
		Violations: w.violations,
		Digest:     w.digest.Sum64(),
	}
	if w.timeline != nil {
		result.Timeline = w.timeline.draw(w.machines.all)
	}
	return result
}
