package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// faultInjector draws and starts the faults of a run. They are grouped by what they
// break; each group names the parts of the run that it needs.
type faultInjector struct {
	env      *environment
	machines *machines
	platform *platform
	backends *backendCalls
	loss     *majorityLoss

	processes    *machineFaults
	replacements *replacementFaults
	disks        *diskFaults
	network      *networkFaults
	core         *coreFaults
	replicas     *backendFaults
	endpoints    *endpointFaults
	orders       *orderFaults
}

// faultOrders is what faults need of the operators: orders that move something at
// the instant of the fault, and the instant of their acknowledgement.
type faultOrders interface {
	addKey(base uint64) *operatorOrder
	nameWeights(base uint64, pool string) *operatorOrder
	issue(order *operatorOrder)
	whenAcknowledged(order *operatorOrder, then, otherwise func())
}

func newFaultInjector(w *simulation) *faultInjector {
	f := &faultInjector{env: w.environment, machines: w.machines, platform: w.platform, backends: w.backends, loss: w.majorityLoss}
	f.network = &networkFaults{env: f.env, machines: w.machines, network: w.network}
	f.processes = &machineFaults{
		env: f.env, machines: w.machines, groups: w.groups, orders: w.operators, backends: w.backends, network: f.network,
	}
	f.replacements = &replacementFaults{env: f.env, machines: w.machines, groups: w.groups}
	f.disks = &diskFaults{
		env: f.env, machines: w.machines, groups: w.groups, network: w.network, orders: w.operators,
		replacements: f.replacements, loss: w.majorityLoss,
	}
	f.core = &coreFaults{
		env: f.env, machines: w.machines, groups: w.groups, network: w.network, operators: w.operators,
		reads: w.reads, checks: w.checks, partition: f.network, disks: f.disks, loss: w.majorityLoss,
	}
	f.replicas = &backendFaults{env: f.env, platform: w.platform, backends: w.backends, orders: w.operators}
	f.endpoints = &endpointFaults{
		env: f.env, machines: w.machines, platform: w.platform, backends: f.replicas, network: f.network,
	}
	f.orders = &orderFaults{env: f.env, machines: w.machines, operators: w.operators, calls: w.evacuations, network: f.network}
	return f
}

// faultKind is one way to disturb what surrounds the control machines. A fault
// must end by itself before the recovery phase.
type faultKind struct {
	name string
	// weight is how often the kind is drawn, relative to others.
	weight int
	start  func(*faultInjector)
}

// faultKinds are all kinds that are drawn by default. Their order is part of what a
// seed stands for.
var faultKinds = []faultKind{
	{"crash", 4, func(f *faultInjector) { f.processes.crash() }},
	{"crash-many", 3, func(f *faultInjector) { f.processes.crashMany() }},
	{"rolling-restart", 2, func(f *faultInjector) { f.processes.rollingRestart() }},
	{"disk-lost", 2, func(f *faultInjector) { f.disks.lose() }},
	{"disk-lost-twice", 3, func(f *faultInjector) { f.disks.loseTwice() }},
	{"disk-lost-after-ack", 3, func(f *faultInjector) { f.disks.loseAfterAck() }},
	{"disks-lost-in-power-cut", 3, func(f *faultInjector) { f.disks.loseAsPowerFails() }},
	{"majority-disk-loss", 3, func(f *faultInjector) { f.core.loseMajority() }},
	{"slow-disk", 3, func(f *faultInjector) { f.disks.slow() }},
	{"full-disk", 2, func(f *faultInjector) { f.disks.fill() }},
	{"freeze", 4, func(f *faultInjector) { f.processes.freeze() }},
	{"freeze-leader", 4, func(f *faultInjector) { f.processes.freezeLeader() }},
	{"freeze-at-command", 4, func(f *faultInjector) { f.processes.freezeAtCommand() }},
	{"power-lost-after-ack", 3, func(f *faultInjector) { f.disks.losePowerAfterAck() }},
	{"clock-jump", 2, func(f *faultInjector) { f.processes.jumpClock() }},
	{"partition", 3, func(f *faultInjector) { f.network.partition(true) }},
	{"one-way-partition", 3, func(f *faultInjector) { f.network.partition(false) }},
	{"core-split", 3, func(f *faultInjector) { f.core.split() }},
	{"zone-cut", 3, func(f *faultInjector) { f.network.isolateZone() }},
	{"node-cut", 3, func(f *faultInjector) { f.network.isolateNode() }},
	{"message-storm", 4, func(f *faultInjector) { f.network.messageStorm() }},
	{"config-storm", 2, func(f *faultInjector) { f.orders.configStorm() }},
	{"weights-overtaken", 3, func(f *faultInjector) { f.orders.supersedeWeights() }},
	{"stuck-commands", 3, func(f *faultInjector) { f.replicas.delayCommands() }},
	{"machine-replaced", 4, func(f *faultInjector) { f.replacements.replaceUnplanned() }},
	{"machine-replaced-planned", 3, func(f *faultInjector) { f.replacements.replacePlanned() }},
	{"two-machines-replaced", 3, func(f *faultInjector) { f.replacements.replaceTwo() }},
	{"seeds-moved", 2, func(f *faultInjector) { f.replacements.moveSeeds() }},
	{"relay-parent-lost", 4, func(f *faultInjector) { f.processes.loseRelayParent() }},
	{"replica-crash", 3, func(f *faultInjector) { f.replicas.crashReplica() }},
	{"replica-listing", 3, func(f *faultInjector) { f.replicas.drainOrRemoveReplica() }},
	{"platform-lag", 2, func(f *faultInjector) { f.replicas.lagPlatform() }},
}

// endpointFaultKinds are the faults of the endpoint list and of the node that
// reads it. Runs on the product's own protocols draw them only by name.
var endpointFaultKinds = []faultKind{
	{"reader-crash", 4, func(f *faultInjector) { f.endpoints.crashReader() }},
	{"reader-freeze", 4, func(f *faultInjector) { f.endpoints.freezeReader() }},
	{"reader-cut", 4, func(f *faultInjector) { f.endpoints.isolateReader() }},
	{"platform-down", 2, func(f *faultInjector) { f.endpoints.stopPlatform() }},
}

// namedFaultKinds are drawn by name only.
var namedFaultKinds = []faultKind{
	{"leadership-moved", 4, func(f *faultInjector) { f.processes.moveLeadership() }},
	{"all-killed", 4, func(f *faultInjector) { f.processes.killAll() }},
	{"evacuation-retaken", 4, func(f *faultInjector) { f.orders.retakeEvacuation() }},
	{"large-documents", 4, func(f *faultInjector) { f.orders.applyLargeDocuments() }},
}

// Where and when a kind may be drawn.
var (
	// configuredGroupFaults are the faults of deployments whose group is named, and
	// seededGroupFaults those of deployments that find themselves through seeds.
	configuredGroupFaults = []string{"majority-disk-loss"}
	seededGroupFaults     = []string{"machine-replaced", "machine-replaced-planned", "two-machines-replaced", "seeds-moved", "relay-parent-lost", "large-documents"}
	// faultsDuringMajorityLoss are the faults that may begin while the disks of a
	// majority are lost. The others might take away the last node that holds what
	// was acknowledged, after which nobody could bring it back.
	faultsDuringMajorityLoss = []string{
		"slow-disk", "message-storm", "config-storm", "weights-overtaken", "stuck-commands",
		"replica-crash", "replica-listing", "platform-lag",
	}
)

// Bounds of the schedule of faults.
const (
	minFaults   = 4
	faultSpread = 7
	// faultFreeEnd is the span before the recovery phase in which no fault
	// begins.
	faultFreeEnd = time.Second
)

// schedule schedules the faults of the run.
func (f *faultInjector) schedule() {
	kinds := f.applicableKinds()
	weights := lo.SumBy(kinds, func(kind faultKind) int { return kind.weight })
	span := f.env.settings.recoveryPhaseStart() - formation - faultFreeEnd
	for range minFaults + f.env.plan.IntN(faultSpread) {
		kind := weightedKind(kinds, f.env.plan.IntN(weights))
		f.env.at(formation+f.env.planned(span), func() { f.start(kind) })
	}
	f.env.at(f.env.settings.recoveryPhaseStart(), f.end)
}

// applicableKinds returns the kinds that the run draws from.
func (f *faultInjector) applicableKinds() []faultKind {
	excluded := seededGroupFaults
	if f.env.settings.FailOpen {
		excluded = configuredGroupFaults
	}
	return lo.Reject(selectedFaultKinds(f.env.settings.Faults, f.env.settings.FinishFirst), func(kind faultKind, _ int) bool {
		return lo.Contains(excluded, kind.name)
	})
}

// selectedFaultKinds returns the kinds of the given names, or the default ones.
func selectedFaultKinds(names []string, finishFirst bool) []faultKind {
	switch {
	case len(names) == 0 && finishFirst:
		return slices.Concat(faultKinds, endpointFaultKinds)
	case len(names) == 0:
		return faultKinds
	}
	return lo.Filter(allFaultKinds(), func(kind faultKind, _ int) bool { return lo.Contains(names, kind.name) })
}

func allFaultKinds() []faultKind {
	return slices.Concat(faultKinds, endpointFaultKinds, namedFaultKinds)
}

// weightedKind returns the kind to which a draw from the sum of all weights
// falls.
func weightedKind(kinds []faultKind, draw int) faultKind {
	position := 0
	for draw >= kinds[position].weight {
		draw -= kinds[position].weight
		position++
	}
	return kinds[position]
}

// FaultNames returns the names of all kinds of faults.
func FaultNames() []string {
	return lo.Map(allFaultKinds(), func(kind faultKind, _ int) string { return kind.name })
}

// UnknownFaultError reports that no kind of fault has the given name.
type UnknownFaultError struct {
	Name string
}

// Error names the kinds that exist.
func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("no kind of fault is named %q; use some of %s", e.Name, strings.Join(FaultNames(), ", "))
}

// CheckFaults returns an *UnknownFaultError for the first unknown name.
func CheckFaults(names []string) error {
	unknown := lo.Without(names, FaultNames()...)
	if len(unknown) > 0 {
		return &UnknownFaultError{Name: unknown[0]}
	}
	return nil
}

// start starts a fault, unless it might destroy what a lost majority needs.
func (f *faultInjector) start(kind faultKind) {
	if f.loss.active && !lo.Contains(faultsDuringMajorityLoss, kind.name) {
		return
	}
	f.env.counts.Faults[kind.name]++
	f.env.logf(worldColumn, "FAULT %s", kind.name)
	kind.start(f)
}

// end restarts what is down at the beginning of the recovery phase.
func (f *faultInjector) end() {
	f.env.logf(worldColumn, "CALM")
	f.backends.freezeNextSender = false
	for _, one := range f.machines.nodes {
		one.start()
	}
	for _, entry := range f.platform.entries() {
		entry.replica.restart(entry.replica.lastVersion)
	}
}
