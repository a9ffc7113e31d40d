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
	// callTimeout is how long a node waits for the response of a replica.
	callTimeout = 2 * time.Second
	// dispatchDelay bounds the time between a command's output and its sending.
	dispatchDelay = 30 * time.Millisecond
	// maxCommandDelay bounds the delay of a command while delays are active.
	maxCommandDelay = 8 * time.Second
)

// replica models what control needs of a model replica: its weights, the check of
// command tokens, and the requests that run.
type replica struct {
	world   *simulation
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
	if r.world.settings.FinishFirst {
		return r.handleCommandFinishFirst(sender, command)
	}
	if command.Token < r.highestToken && !r.world.broken(BreakNoEpochCheck) {
		r.world.counts.StaleCommands++
		return control.CommandFenced
	}
	r.world.checks.commandAccepted(r, sender, command)
	r.highestToken = command.Token
	if r.target == command.WeightVersion || (r.target == "" && r.version == command.WeightVersion) {
		return control.CommandAccepted
	}
	r.load(command)
	return control.CommandAccepted
}

// load begins to load the weights of a command.
func (r *replica) load(command control.Command) {
	r.world.checks.weightsLoadStarted(r, command)
	r.unorderedWeights = false
	r.version = ""
	r.target = command.WeightVersion
	r.loadNumber++
	load, incarnation := r.loadNumber, r.incarnation
	r.world.after(minLoad+r.world.upTo(loadSpread), func() {
		if r.up && r.incarnation == incarnation && r.loadNumber == load {
			r.version, r.target = r.target, ""
			r.lastVersion = r.version
			r.world.logf(worldColumn, "%s runs %s", r.address, r.version)
		}
	})
}

// report returns measurements that may be a little old, and their age.
func (r *replica) report() (control.ReplicaReport, time.Duration) {
	now := r.world.now
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
	r.world.logf(worldColumn, "%s down", r.address)
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
	r.world.platform.showLater()
	r.unorderedWeights = r.unorderedWeights || version != r.lastVersion
	r.unorderedWeightsAt = r.world.now
	r.version, r.target, r.lastVersion = version, "", version
	r.world.logf(worldColumn, "%s back on %s", r.address, version)
}

// command dispatches a command a little later, if the process has not ended by
// then.
func (n *node) command(command control.Command) {
	process := n.process
	n.world.after(n.world.upTo(dispatchDelay), func() {
		if n.process == process && n.up {
			n.whenAwake(func() { n.dispatch(process, command) })
		}
	})
	if n.world.faults.freezeNextCommand {
		n.world.faults.freezeNextCommand = false
		n.freeze(n.world.faults.duration(4*time.Second, 8*time.Second))
	}
}

// dispatch sends a command unless its deadline, which is that of the sender's
// command lease, has passed.
func (n *node) dispatch(process uint64, command control.Command) {
	if n.world.broken(BreakTokenReused) {
		command.Token = 1
	}
	if n.now() >= command.Deadline && !n.world.broken(BreakCommandAfterDeadline) {
		n.commandDone(process, command, control.CommandNotSent)
		return
	}
	target := n.world.replicas[command.Address]
	n.logf("%s:=%s t%x", command.Address, command.WeightVersion, command.Token)
	n.world.checks.commandSent(n, command)
	replied := false
	n.world.after(command.Deadline-n.now(), func() {
		if !replied {
			replied = true
			n.commandDone(process, command, control.CommandUnknown)
		}
	})
	latency := n.world.commandLatency()
	if n.world.dropsCall() || n.world.settings.FinishFirst && latency > command.Deadline-n.now() && !n.world.broken(BreakCommandAfterDeadline) {
		return
	}
	incarnation := target.incarnation
	n.world.after(latency, func() {
		if !target.up || target.incarnation != incarnation {
			return
		}
		outcome, replies := target.receiveCommand(n, command)
		if !replies {
			return
		}
		n.world.after(minLatency+n.world.upTo(replicaLatency), func() {
			if !replied {
				replied = true
				n.commandDone(process, command, outcome)
			}
		})
	})
}

func (n *node) commandDone(process uint64, command control.Command, outcome control.CommandOutcome) {
	n.post(process, func(now time.Duration) control.Output { return n.machine.CommandDone(now, command, outcome) })
}

// commandLatency is short in most cases; while commands are delayed, some arrive
// long after their sender's lease has ended.
func (w *simulation) commandLatency() time.Duration {
	latency := minLatency + w.upTo(replicaLatency)
	if w.faults.delayedCommandFaults > 0 && w.chance(0.5) {
		latency += w.upTo(maxCommandDelay)
	}
	return latency
}

// dropsCall reports whether a call to a replica gets lost.
func (w *simulation) dropsCall() bool {
	for _, active := range w.network.storms {
		if w.chance(active.loss) {
			return true
		}
	}
	return false
}

// requestReport dates the measurements by the time at which the request was sent,
// less the age that the replica states.
func (n *node) requestReport(request control.ReportRequest) {
	process := n.process
	requestedAt := n.now()
	n.world.counts.Reports++
	target := n.world.replicas[request.Address]
	if target == nil || n.world.dropsCall() {
		n.world.after(callTimeout, func() { n.reportFailed(process, request) })
		return
	}
	n.world.after(minLatency+n.world.upTo(replicaLatency), func() {
		if !target.up {
			n.reportFailed(process, request)
			return
		}
		report, age := target.report()
		report.MeasuredAt = requestedAt - age
		n.world.after(minLatency+n.world.upTo(replicaLatency), func() {
			n.post(process, func(now time.Duration) control.Output {
				return n.machine.SetReplicaReport(now, report)
			})
		})
	})
}

func (n *node) reportFailed(process uint64, request control.ReportRequest) {
	n.post(process, func(now time.Duration) control.Output {
		return n.machine.ReplicaReportFailed(now, request.Address)
	})
}
