package sim

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

const (
	// measureEvery is how old the numbers in the report of a slow replica may be.
	measureEvery = 200 * time.Millisecond
	// minLoad and loadSpread bound the time to load weights.
	minLoad    = 200 * time.Millisecond
	loadSpread = 300 * time.Millisecond
	// replicaLatency bounds one way between a node and a replica.
	replicaLatency = 8 * time.Millisecond
	// callTimeout is how long a node waits for an answer of a replica.
	callTimeout = 2 * time.Second
	// dispatchDelay bounds the time between a command's output and its sending.
	dispatchDelay = 30 * time.Millisecond
	// maxStuck bounds how late a command that got stuck arrives.
	maxStuck = 8 * time.Second
)

// replica models what control needs of a model replica: weights, the epoch
// check, and the requests that run.
type replica struct {
	world   *simulation
	address string
	zone    string
	service string
	pool    string

	up          bool
	incarnation uint64
	// loadingNow tells that a replica that finishes its requests first has done so.
	loadingNow bool
	// version is empty while target is being loaded.
	version string
	target  string
	// lastVersion is the version that was last loaded in full.
	lastVersion string
	// loading numbers the loads.
	loading uint64
	// sequence counts the commands of this life.
	sequence uint64
	// highestToken is the greatest token of a command in this life.
	highestToken uint64
	active       int
	// strayed tells that the replica came back with other weights, which
	// nobody ordered, and since when.
	strayed   bool
	strayedAt time.Duration

	// deaf is how many of the commands to come have no effect. Every other one of
	// them is lost, and the rest are answered as if another were under way.
	deaf int

	// measureEvery is how old the numbers in its report may be.
	measureEvery time.Duration
	measured     control.ReplicaReport
	measuredAt   time.Duration
}

// hear takes a command unless the replica is deaf, and tells whether it answers.
func (r *replica) hear(holder *node, command control.Command) (outcome control.CommandOutcome, answers bool) {
	if r.deaf == 0 {
		return r.take(holder, command), true
	}
	r.deaf--
	return control.CommandBusy, r.deaf%2 == 0
}

// take handles a command.
func (r *replica) take(holder *node, command control.Command) control.CommandOutcome {
	if r.world.settings.FinishFirst {
		return r.takeFinishFirst(holder, command)
	}
	if command.Token < r.highestToken && !r.world.broken(BreakNoEpochCheck) {
		r.world.counts.StaleCommands++
		return control.CommandFenced
	}
	r.world.checks.commandTaken(r, holder, command)
	r.highestToken = command.Token
	if r.target == command.WeightVersion || (r.target == "" && r.version == command.WeightVersion) {
		return control.CommandAccepted
	}
	r.load(command)
	return control.CommandAccepted
}

// load begins to load the weights of a command.
func (r *replica) load(command control.Command) {
	r.world.checks.weightsChange(r, command)
	r.strayed = false
	r.version = ""
	r.target = command.WeightVersion
	r.loading++
	load, incarnation := r.loading, r.incarnation
	r.world.after(minLoad+r.world.upTo(loadSpread), func() {
		if r.up && r.incarnation == incarnation && r.loading == load {
			r.version, r.target = r.target, ""
			r.lastVersion = r.version
			r.world.note(worldColumn, "%s runs %s", r.address, r.version)
		}
	})
}

// report returns numbers that are a little old, with the age that they have.
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
	r.world.note(worldColumn, "%s down", r.address)
}

// restart brings the replica back, with the given weights.
func (r *replica) restart(version string) {
	if r.up {
		return
	}
	r.up = true
	r.incarnation++
	r.highestToken = 0
	r.sequence = 0
	r.loadingNow = false
	r.world.platform.showLater()
	r.strayed = r.strayed || version != r.lastVersion
	r.strayedAt = r.world.now
	r.version, r.target, r.lastVersion = version, "", version
	r.world.note(worldColumn, "%s back on %s", r.address, version)
}

// command sends a command if the right to do so has not ended meanwhile.
func (n *node) command(command control.Command) {
	life := n.life
	n.world.after(n.world.upTo(dispatchDelay), func() {
		if n.life == life && n.up {
			n.whenAwake(func() { n.dispatch(life, command) })
		}
	})
	if n.world.freezeNextCommand {
		n.world.freezeNextCommand = false
		n.freeze(n.world.lasting(4*time.Second, 8*time.Second))
	}
}

func (n *node) dispatch(life uint64, command control.Command) {
	if n.world.broken(BreakTokenReused) {
		command.Token = 1
	}
	if n.now() >= command.Deadline && !n.world.broken(BreakCommandAfterDeadline) {
		n.commandDone(life, command, control.CommandNotSent)
		return
	}
	target := n.world.replicas[command.Address]
	n.note("%s:=%s t%x", command.Address, command.WeightVersion, command.Token)
	n.world.checks.commandSent(n, command)
	answered := false
	n.world.after(command.Deadline-n.now(), func() {
		if !answered {
			answered = true
			n.commandDone(life, command, control.CommandUnknown)
		}
	})
	latency := n.world.commandLatency()
	if n.world.losesCall() || n.world.settings.FinishFirst && latency > command.Deadline-n.now() && !n.world.broken(BreakCommandAfterDeadline) {
		return
	}
	incarnation := target.incarnation
	n.world.after(latency, func() {
		if !target.up || target.incarnation != incarnation {
			return
		}
		outcome, answers := target.hear(n, command)
		if !answers {
			return
		}
		n.world.after(minLatency+n.world.upTo(replicaLatency), func() {
			if !answered {
				answered = true
				n.commandDone(life, command, outcome)
			}
		})
	})
}

func (n *node) commandDone(life uint64, command control.Command, outcome control.CommandOutcome) {
	n.post(life, func(now time.Duration) control.Output { return n.machine.CommandDone(now, command, outcome) })
}

// commandLatency is mostly short; while commands get stuck, some arrive long
// after their sender's right has ended.
func (w *simulation) commandLatency() time.Duration {
	latency := minLatency + w.upTo(replicaLatency)
	if w.stuckCommands > 0 && w.chance(0.5) {
		latency += w.upTo(maxStuck)
	}
	return latency
}

// losesCall tells whether a call to a replica gets lost.
func (w *simulation) losesCall() bool {
	for _, active := range w.network.storms {
		if w.chance(active.loss) {
			return true
		}
	}
	return false
}

// askReport counts the numbers as measured when the question was sent, less the
// age that the replica states.
func (n *node) askReport(request control.ReportRequest) {
	life := n.life
	askedAt := n.now()
	n.world.counts.Reports++
	target := n.world.replicas[request.Address]
	if target == nil || n.world.losesCall() {
		n.world.after(callTimeout, func() { n.reportFailed(life, request) })
		return
	}
	n.world.after(minLatency+n.world.upTo(replicaLatency), func() {
		if !target.up {
			n.reportFailed(life, request)
			return
		}
		report, age := target.report()
		report.MeasuredAt = askedAt - age
		n.world.after(minLatency+n.world.upTo(replicaLatency), func() {
			n.post(life, func(now time.Duration) control.Output {
				return n.machine.SetReplicaReport(now, report)
			})
		})
	})
}

func (n *node) reportFailed(life uint64, request control.ReportRequest) {
	n.post(life, func(now time.Duration) control.Output {
		return n.machine.ReplicaReportFailed(now, request.Address)
	})
}
