package sim

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

const (
	// callTimeout is how long a node waits for the response of a replica.
	callTimeout = 2 * time.Second
	// dispatchDelay bounds the time between a command's output and its sending.
	dispatchDelay = 30 * time.Millisecond
	// maxCommandDelay bounds the delay of a command while delays are active.
	maxCommandDelay = 8 * time.Second
)

// backendCalls carries the calls of nodes to replicas and to the platform, and
// their responses.
type backendCalls struct {
	env      *environment
	network  *network
	platform *platform
	checks   *checks

	// delays counts the active faults that delay commands.
	delays int
	// freezeNextSender suspends the next node that is about to send a command.
	freezeNextSender bool
}

// command dispatches a command a little later, if the process has not ended by
// then.
func (b *backendCalls) command(n *node, command control.Command) {
	process := n.process
	b.env.after(b.env.upTo(dispatchDelay), func() {
		if n.process == process && n.up {
			n.whenAwake(func() { b.dispatch(n, process, command) })
		}
	})
	if b.freezeNextSender {
		b.freezeNextSender = false
		n.freeze(b.env.faultDuration(4*time.Second, 8*time.Second))
	}
}

// dispatch sends a command unless its deadline, which is that of the sender's
// command lease, has passed.
func (b *backendCalls) dispatch(n *node, process uint64, command control.Command) {
	if b.env.broken(BreakTokenReused) {
		command.Token = 1
	}
	if n.now() >= command.Deadline && !b.env.broken(BreakCommandAfterDeadline) {
		commandDone(n, process, command, control.CommandNotSent)
		return
	}
	target := b.platform.replicas[command.Address]
	n.logf("%s:=%s t%x", command.Address, command.WeightVersion, command.Token)
	b.checks.commandSent(n, command)
	replied := false
	b.env.after(command.Deadline-n.now(), func() {
		if !replied {
			replied = true
			commandDone(n, process, command, control.CommandUnknown)
		}
	})
	latency := b.commandLatency()
	if b.network.stormLoses() || b.env.settings.FinishFirst && latency > command.Deadline-n.now() && !b.env.broken(BreakCommandAfterDeadline) {
		return
	}
	incarnation := target.incarnation
	b.env.after(latency, func() {
		if !target.up || target.incarnation != incarnation {
			return
		}
		outcome, replies := target.receiveCommand(n, command)
		if !replies {
			return
		}
		b.env.after(b.latency(), func() {
			if !replied {
				replied = true
				commandDone(n, process, command, outcome)
			}
		})
	})
}

func commandDone(n *node, process uint64, command control.Command, outcome control.CommandOutcome) {
	n.post(process, func(now time.Duration) control.Output { return n.machine.CommandDone(now, command, outcome) })
}

// latency is the time that a call or a response takes.
func (b *backendCalls) latency() time.Duration { return minLatency + b.env.upTo(replicaLatency) }

// commandLatency is short in most cases; while commands are delayed, some arrive
// long after their sender's lease has ended.
func (b *backendCalls) commandLatency() time.Duration {
	latency := b.latency()
	if b.delays > 0 && b.env.chance(0.5) {
		latency += b.env.upTo(maxCommandDelay)
	}
	return latency
}

// requestReport dates the measurements by the time at which the request was sent,
// less the age that the replica states.
func (b *backendCalls) requestReport(n *node, request control.ReportRequest) {
	process := n.process
	requestedAt := n.now()
	b.env.counts.Reports++
	failed := func() {
		n.post(process, func(now time.Duration) control.Output {
			return n.machine.ReplicaReportFailed(now, request.Address)
		})
	}
	target := b.platform.replicas[request.Address]
	if target == nil || b.network.stormLoses() {
		b.env.after(callTimeout, failed)
		return
	}
	b.env.after(b.latency(), func() {
		if !target.up {
			failed()
			return
		}
		report, age := target.report()
		report.MeasuredAt = requestedAt - age
		b.env.after(b.latency(), func() {
			n.post(process, func(now time.Duration) control.Output {
				return n.machine.SetReplicaReport(now, report)
			})
		})
	})
}

// readEndpoints reads the platform's list and hands it to the node.
func (b *backendCalls) readEndpoints(n *node) {
	process := n.process
	reading := control.EndpointReading{StartedAt: n.now()}
	b.env.counts.EndpointReads++
	b.env.after(b.latency(), func() {
		reading.Services = b.platform.shown
		if !b.platform.mayRead(n) {
			reading.Services, reading.Err = nil, errPlatformDown
		}
		b.env.after(b.latency(), func() {
			n.post(process, func(now time.Duration) control.Output { return n.machine.EndpointsRead(now, reading) })
		})
	})
}
