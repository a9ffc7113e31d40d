package sim

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

const (
	// measureEvery is the period at which a slow replica measures what it
	// reports.
	measureEvery = 200 * time.Millisecond
	// minLoad and loadSpread bound the time to load weights.
	minLoad    = 200 * time.Millisecond
	loadSpread = 300 * time.Millisecond
	// replicaLatency bounds the latency of one direction between a node and a
	// replica.
	replicaLatency = 8 * time.Millisecond
)

// replica models what control needs of a model replica: its weights, the check of
// command tokens, and the requests that run.
type replica struct {
	env      *environment
	platform *platform
	checks   *checks

	address string
	zone    string
	service string
	pool    string

	up          bool
	incarnation uint64
	// loading is set while a replica that finishes its requests first loads
	// weights.
	loading bool
	// version is empty while target is being loaded.
	version string
	target  string
	// lastVersion is the version that was last loaded completely.
	lastVersion string
	// loadNumber numbers the loads.
	loadNumber uint64
	// sequence counts the commands of this incarnation.
	sequence uint64
	// highestToken is the highest token of a command in this incarnation.
	highestToken uint64
	active       int
	// unorderedWeights is set, and unorderedWeightsAt the instant, when the
	// replica came back with weights that no command named.
	unorderedWeights   bool
	unorderedWeightsAt time.Duration

	// commandsToDrop is how many of the next commands have no effect. Every
	// second one of them is lost, and the others are answered as if another
	// command were in progress.
	commandsToDrop int

	// measureEvery is how old the measurements in its report may be.
	measureEvery time.Duration
	measured     control.ReplicaReport
	measuredAt   time.Duration
}

// receiveCommand handles a command unless the replica drops it, and reports
// whether it replies.
func (r *replica) receiveCommand(sender *node, command control.Command) (outcome control.CommandOutcome, replies bool) {
	if r.commandsToDrop == 0 {
		return r.handleCommand(sender, command), true
	}
	r.commandsToDrop--
	return control.CommandBusy, r.commandsToDrop%2 == 0
}

// handleCommand handles a command of the product's own protocol.
func (r *replica) handleCommand(sender *node, command control.Command) control.CommandOutcome {
	if r.env.settings.FinishFirst {
		return r.handleCommandFinishFirst(sender, command)
	}
	if command.Token < r.highestToken && !r.env.broken(BreakNoEpochCheck) {
		r.env.counts.StaleCommands++
		return control.CommandFenced
	}
	r.checks.commandAccepted(r, sender, command)
	r.highestToken = command.Token
	if r.target == command.WeightVersion || (r.target == "" && r.version == command.WeightVersion) {
		return control.CommandAccepted
	}
	r.load(command)
	return control.CommandAccepted
}

// load begins to load the weights of a command.
func (r *replica) load(command control.Command) {
	r.checks.weightsLoadStarted(r, command)
	r.unorderedWeights = false
	r.version = ""
	r.target = command.WeightVersion
	r.loadNumber++
	load, incarnation := r.loadNumber, r.incarnation
	r.env.after(minLoad+r.env.upTo(loadSpread), func() {
		if r.up && r.incarnation == incarnation && r.loadNumber == load {
			r.version, r.target = r.target, ""
			r.lastVersion = r.version
			r.env.logf(worldColumn, "%s runs %s", r.address, r.version)
		}
	})
}

// report returns measurements that may be a little old, and their age.
func (r *replica) report() (control.ReplicaReport, time.Duration) {
	now := r.env.now
	if r.measured.Incarnation != r.incarnation || now-r.measuredAt >= r.measureEvery {
		r.measuredAt = now
		r.measured = control.ReplicaReport{
			Address:        r.address,
			Incarnation:    r.incarnation,
			WeightVersion:  r.version,
			ActiveRequests: r.active,
			Busy:           r.target != "",
			Sequence:       r.sequence,
			Instance:       r.instance(),
		}
	}
	return r.measured, now - r.measuredAt
}

// crash ends the replica's process with all requests on it.
func (r *replica) crash() {
	r.up = false
	r.active = 0
	r.env.logf(worldColumn, "%s down", r.address)
}

// restart brings the replica back with the given weights, in a new incarnation.
func (r *replica) restart(version string) {
	if r.up {
		return
	}
	r.up = true
	r.incarnation++
	r.highestToken = 0
	r.sequence = 0
	r.loading = false
	r.platform.showLater()
	r.unorderedWeights = r.unorderedWeights || version != r.lastVersion
	r.unorderedWeightsAt = r.env.now
	r.version, r.target, r.lastVersion = version, "", version
	r.env.logf(worldColumn, "%s back on %s", r.address, version)
}
