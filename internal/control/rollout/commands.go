package rollout

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

const (
	// commandTimeout is how long after the decision a command may be sent and its
	// answer is waited for.
	commandTimeout = 300 * time.Millisecond
	// confirmationTimeout is how long a command waits for all nodes to know that the
	// replica gets no more requests, where replicas refuse those by themselves.
	confirmationTimeout = 300 * time.Millisecond
	// reportStabilization is how long after a command's outcome a report tells what came
	// of it.
	reportStabilization = 300 * time.Millisecond
	// minCommandBackoff and maxCommandBackoff bound the pause after a command that
	// was not taken.
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

// CommandOutcome is what came of a command.
type CommandOutcome uint8

// The outcomes of a command.
const (
	// CommandUnknown means that it may have been taken.
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

// replicaProgress is what the leader knows of its work on one replica that a row keeps
// requests from.
type replicaProgress struct {
	// revision is the one at which the row was entered, and since when this leader
	// first saw it.
	revision uint64
	since    time.Duration
	// outOfService is how many replicas of the pool were out with it.
	outOfService int

	drained      bool
	drainedSince time.Duration

	// token is that of the command under way, if sending, or of the last one.
	token    uint64
	inFlight bool
	sentAt   time.Duration
	// accepted means that the replica took the command, or may have; reportValidFrom is from
	// when on its reports tell.
	accepted        bool
	reportValidFrom time.Duration
	// nextReport is when its reports are worth their price.
	nextReport time.Duration
	// expectedLoad is how long the replica is thought to be out from the command on.
	expectedLoad time.Duration
	// fenced means that the replica wants a greater token.
	fenced      bool
	nextCommand time.Duration
	failures    int
}

// progressOf returns the work that belongs to a row.
func (s *shardState) progressOf(row *controlpb.ReplicaState, now time.Duration) *replicaProgress {
	progress := s.progress[row.GetAddress()]
	if progress == nil || progress.revision != row.GetPhaseRevision() {
		next := &replicaProgress{revision: row.GetPhaseRevision(), since: now, outOfService: s.countOutOfService(row)}
		if progress != nil {
			next.inherit(progress)
		}
		progress = next
		s.progress[row.GetAddress()] = progress
	}
	return progress
}

// inherit keeps what matters when a row is replaced by another: a command that is
// under way, and the pauses after those that were not taken.
func (w *replicaProgress) inherit(earlier *replicaProgress) {
	w.since = earlier.since
	w.accepted = earlier.accepted || earlier.inFlight
	w.reportValidFrom = earlier.reportValidFrom
	w.nextReport = earlier.nextReport
	if earlier.inFlight {
		w.reportValidFrom = earlier.sentAt + commandTimeout + reportStabilization
	}
	w.failures = earlier.failures
	w.nextCommand = earlier.nextCommand
}

// countOutOfService counts the replicas that are worked on, the new one included.
func (s *shardState) countOutOfService(added *controlpb.ReplicaState) int {
	count := 1
	for address := range s.progress {
		if address != added.GetAddress() {
			count++
		}
	}
	return count
}

// pruneProgress drops what belongs to no row that keeps requests from a replica.
func (s *shardState) pruneProgress(rows []*controlpb.ReplicaState) {
	for address := range s.progress {
		row := shardstate.FindReplica(rows, address)
		if row == nil || row.GetPhase() == controlpb.ReplicaPhase_SERVING {
			delete(s.progress, address)
		}
	}
}

// commandReplica orders a replica to load its row's version when that is not in
// vain, no node sends it requests any more, and this node's right to command is
// certain for the whole window in which the command is sent.
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

// readyForCommand reports whether a command would do something: the replica answers,
// is not at work on another command, and did not take the last one.
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
// window, and an earlier holder's last command is as old as two holders must be
// apart.
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

// backOffCommands keeps the next command back for longer and longer.
func (m *Machine) backOffCommands(progress *replicaProgress) {
	progress.nextCommand = m.now + backoff(minCommandBackoff, progress.failures, maxCommandBackoff)
	progress.failures++
}
