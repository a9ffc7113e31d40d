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
func (p *poolRollout) commandReplica(replica poolReplica, progress *replicaProgress) {
	if p.now < progress.nextCommand || !p.readyForCommand(replica, progress) {
		return
	}
	if !p.mayCommand(replica.Address) {
		return
	}
	report, known := p.reports.newest[replica.Address]
	progress.token = commandToken(p.shard.Term(), replica.row.GetPhaseRevision())
	progress.inFlight = true
	progress.sentAt = p.now
	progress.accepted = false
	progress.expectedLoad = p.pace.expectedLoad(progress.outOfService)
	p.commands = append(p.commands, Command{
		Address:          replica.Address,
		Instance:         replica.Instance,
		Model:            p.pool.GetModel(),
		WeightVersion:    replica.row.GetWeightVersion(),
		Leader:           string(p.config.Self),
		Token:            progress.token,
		ExpectedSequence: report.Sequence,
		ExpectsSequence:  known && p.config.ReplicasFinishFirst,
		Deadline:         p.now + commandTimeout,
	})
}

// readyForCommand reports whether a command would have an effect: the replica responds,
// is not busy with another command, and did not accept the last one.
func (p *poolRollout) readyForCommand(replica poolReplica, progress *replicaProgress) bool {
	// The command may have been sent until commandTimeout had passed, and its response
	// may have taken as long again.
	if progress.inFlight && p.now < progress.sentAt+2*commandTimeout {
		return false
	}
	if progress.inFlight {
		// Its outcome got lost.
		progress.inFlight = false
		progress.accepted = true
		progress.reportValidFrom = p.now
	}
	measuredFrom := p.pace.targetSince
	if progress.accepted {
		measuredFrom = progress.reportValidFrom
	}
	report, known := p.reports.since(replica.Replica, measuredFrom)
	if !known || report.Busy || report.WeightVersion == "" {
		if p.now >= progress.nextReport {
			p.reports.request(p.now, replica.Replica)
		}
		return false
	}
	if !p.config.ReplicasFinishFirst {
		return true
	}
	return p.now >= progress.since+confirmationTimeout || p.shard.ConfirmedEverywhere(replica.row.GetPhaseRevision())
}

// mayCommand reports whether this node's right to command a replica is certain for the whole
// time of a command. One that no earlier leader can have commanded lately need not wait.
func (p *poolRollout) mayCommand(address string) bool {
	if p.state.commandedBefore(address, p.config) {
		return p.state.commandLeaseValid(p.now, p.config, p.shard)
	}
	return holdsCommandLease(p.now, p.shard)
}

// commandedBefore reports whether an earlier leader may have commanded a replica lately. A
// row is kept for rowRetention after the last command at least.
func (s *shardState) commandedBefore(address string, config Config) bool {
	_, moved := s.rowsAtStart[address]
	return moved || config.LeaseDuration+config.LeaseMargin+config.CommandGap >= rowRetention
}

// commandLeaseValid reports whether this node's right to command is certain for the whole
// time of a command, and the last command of an earlier leader is as old as the commands
// of two leaders must be apart.
func (s *shardState) commandLeaseValid(now time.Duration, config Config, shard Shard) bool {
	return now >= s.commandGapEnd(config) && holdsCommandLease(now, shard)
}

// commandGapEnd is when the last command of an earlier leader is as old as the commands of
// two leaders must be apart. In the first term there was no earlier leader.
func (s *shardState) commandGapEnd(config Config) time.Duration {
	if s.term <= 1 {
		return s.since
	}
	return s.since + config.LeaseDuration + config.LeaseMargin + config.CommandGap
}

// holdsCommandLease reports whether this node's lease lasts for the whole time of a command.
func holdsCommandLease(now time.Duration, shard Shard) bool {
	return shard.HasCommandLease(now) && shard.HasCommandLease(now+commandTimeout)
}

// commandToken orders all commands that a replica ever gets: first by the term
// of the leadership, then by the revision at which the ordered phase was entered.
// So a replica also refuses a late command of the same leader for a version that
// has been replaced since.
func commandToken(term, phaseRevision uint64) uint64 {
	const revisionBits = 32
	return term<<revisionBits | phaseRevision&(1<<revisionBits-1)
}

// commandDone takes the outcome of the command in flight.
func (p *replicaProgress) commandDone(now time.Duration, outcome CommandOutcome) {
	p.inFlight = false
	switch outcome {
	case CommandUpToDate:
		p.accepted = true
		p.reportValidFrom = now
	case CommandAccepted:
		p.accepted = true
		p.failures = 0
		p.reportValidFrom = now + reportStabilization
		p.nextReport = max(p.reportValidFrom, p.sentAt+p.expectedLoad/2)
	case CommandUnknown:
		p.accepted = true
		p.reportValidFrom = now + reportStabilization
		p.nextReport = p.reportValidFrom
		p.backOff(now)
	case CommandBusy:
		p.accepted = true
		p.reportValidFrom = now + reportStabilization
		p.nextReport = p.reportValidFrom
	case CommandFenced:
		p.fenced = true
		p.backOff(now)
	default:
		p.backOff(now)
	}
}

// backOff delays the next command, longer with each failure.
func (p *replicaProgress) backOff(now time.Duration) {
	p.nextCommand = now + backoff(minCommandBackoff, p.failures, maxCommandBackoff)
	p.failures++
}
