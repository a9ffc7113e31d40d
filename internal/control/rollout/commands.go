package rollout

import (
	"time"
)

const (
	// commandTimeout is how long after the decision a command may be sent, and how long
	// its response is waited for.
	commandTimeout = 300 * time.Millisecond
	// confirmationTimeout is how long a command waits for all nodes to know that the
	// replica gets no more requests, where replicas refuse those by themselves.
	confirmationTimeout = 300 * time.Millisecond
	// reportStabilization is how long after the outcome of a command a report may still
	// show the replica as it was before.
	reportStabilization = 300 * time.Millisecond
	// minCommandBackoff and maxCommandBackoff bound the pause after a command that was
	// not accepted.
	minCommandBackoff = 500 * time.Millisecond
	maxCommandBackoff = 8 * time.Second
)

// Command orders a replica to load weights. The driver sends it only if the
// clock still reads less than Deadline, since the right to command ends then.
type Command struct {
	Address string
	// Instance is the incarnation that is meant; empty if the list names none.
	Instance      string
	Model         string
	WeightVersion string
	// Leader names the node that commands; it is the same for all processes of the
	// node.
	Leader string
	// Token grows with every later right to command, and with every later
	// decision under the same right. It is the same in repetitions.
	Token uint64
	// ExpectedSequence is how many commands the replica has taken as far as this
	// node knows; it counts only if ExpectsSequence is set.
	ExpectedSequence uint64
	ExpectsSequence  bool
	Deadline         time.Duration
}

// CommandOutcome is the outcome of a command.
type CommandOutcome uint8

// The outcomes of a command.
const (
	// CommandUnknown means that the replica may have accepted it.
	CommandUnknown CommandOutcome = iota
	// CommandAccepted means that the replica loads the version, or will once its
	// requests have ended.
	CommandAccepted
	// CommandUpToDate means that the replica runs the version already.
	CommandUpToDate
	// CommandBusy means that another command is under way, or that the replica
	// has taken others than expected.
	CommandBusy
	// CommandFenced means that the replica has seen a greater token.
	CommandFenced
	// CommandWrongInstance means that another incarnation answered, which did
	// nothing.
	CommandWrongInstance
	// CommandNotSent means that it certainly did not reach the replica.
	CommandNotSent
	// CommandRefused means that the replica will not do it, for another reason.
	CommandRefused
)

// String names the outcome.
func (o CommandOutcome) String() string {
	names := []string{"unknown", "accepted", "holds", "busy", "fenced", "wrong instance", "not sent", "refused"}
	if int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// commandReplica orders a replica to load the version of its row, once no node sends it
// requests any more, the command would have an effect, and this node's right to command
// is certain for the whole time in which the command is sent.
func (m *Machine) commandReplica(rolling poolRollout, replica poolReplica, progress *replicaProgress) {
	if m.now < progress.nextCommand || !m.readyForCommand(rolling, replica, progress) {
		return
	}
	if !m.commandLeaseValid(rolling.shard, rolling.state) {
		return
	}
	report, known := m.reports[replica.Address]
	progress.token = commandToken(rolling.shard.Term(), replica.row.GetPhaseRevision())
	progress.inFlight = true
	progress.sentAt = m.now
	progress.accepted = false
	progress.expectedLoad = rolling.pace.expectedLoad(progress.outOfService)
	m.output.Commands = append(m.output.Commands, Command{
		Address:          replica.Address,
		Instance:         replica.Instance,
		Model:            rolling.pool.GetModel(),
		WeightVersion:    replica.row.GetWeightVersion(),
		Leader:           string(m.config.Self),
		Token:            progress.token,
		ExpectedSequence: report.Sequence,
		ExpectsSequence:  known && m.config.ReplicasFinishFirst,
		Deadline:         m.now + commandTimeout,
	})
}

// readyForCommand reports whether a command would have an effect: the replica responds,
// is not busy with another command, and did not accept the last one.
func (m *Machine) readyForCommand(rolling poolRollout, replica poolReplica, progress *replicaProgress) bool {
	if progress.inFlight && m.now < progress.sentAt+2*commandTimeout {
		return false
	}
	if progress.inFlight {
		// Its outcome got lost.
		progress.inFlight = false
		progress.accepted = true
		progress.reportValidFrom = m.now
	}
	measuredFrom := rolling.pace.since
	if progress.accepted {
		measuredFrom = progress.reportValidFrom
	}
	report, known := m.reportSince(replica.Address, replica.Instance, measuredFrom)
	if !known || report.Busy || report.WeightVersion == "" {
		if m.now >= progress.nextReport {
			m.requestReport(replica.Address, replica.Instance)
		}
		return false
	}
	if !m.config.ReplicasFinishFirst {
		return true
	}
	return m.now >= progress.since+confirmationTimeout || rolling.shard.ConfirmedEverywhere(replica.row.GetPhaseRevision())
}

// commandLeaseValid reports whether this node's right to command is certain for the whole
// time of a command, and the last command of an earlier leader is as old as the commands
// of two leaders must be apart.
func (m *Machine) commandLeaseValid(shard Shard, state *shardState) bool {
	first := state.since + m.config.LeaseDuration + m.config.LeaseMargin + m.config.CommandGap
	if state.term > 1 && m.now < first {
		return false
	}
	return shard.HasCommandLease(m.now) && shard.HasCommandLease(m.now+commandTimeout)
}

// commandToken orders all commands that a replica ever gets: first by the term
// of the leadership, then by the revision at which the ordered phase was entered.
// So a replica also refuses a late command of the same leader for a version that
// has been replaced since.
func commandToken(term, phaseRevision uint64) uint64 {
	const revisionBits = 32
	return term<<revisionBits | phaseRevision&(1<<revisionBits-1)
}

// CommandDone takes the outcome of a command.
func (m *Machine) CommandDone(now time.Duration, command Command, outcome CommandOutcome) {
	m.now = now
	for _, id := range m.shardIDs {
		progress := m.shards[id].progress[command.Address]
		if progress != nil && progress.inFlight && progress.token == command.Token {
			m.commandDone(progress, command, outcome)
		}
	}
	m.wake()
}

func (m *Machine) commandDone(progress *replicaProgress, command Command, outcome CommandOutcome) {
	progress.inFlight = false
	switch outcome {
	case CommandUpToDate:
		progress.accepted = true
		progress.reportValidFrom = m.now
		m.recordReport(ReplicaReport{
			Address:       command.Address,
			Instance:      command.Instance,
			Incarnation:   m.reports[command.Address].Incarnation,
			WeightVersion: command.WeightVersion,
			MeasuredAt:    m.now,
		})
	case CommandAccepted:
		progress.accepted = true
		progress.failures = 0
		progress.reportValidFrom = m.now + reportStabilization
		progress.nextReport = max(progress.reportValidFrom, progress.sentAt+progress.expectedLoad/2)
	case CommandUnknown:
		progress.accepted = true
		progress.reportValidFrom = m.now + reportStabilization
		progress.nextReport = progress.reportValidFrom
		m.backOffCommands(progress)
	case CommandBusy:
		progress.accepted = true
		progress.reportValidFrom = m.now + reportStabilization
		progress.nextReport = progress.reportValidFrom
	case CommandFenced:
		progress.fenced = true
		m.backOffCommands(progress)
	default:
		m.backOffCommands(progress)
	}
}

// backOffCommands delays the next command, longer with each failure.
func (m *Machine) backOffCommands(progress *replicaProgress) {
	progress.nextCommand = m.now + backoff(minCommandBackoff, progress.failures, maxCommandBackoff)
	progress.failures++
}
