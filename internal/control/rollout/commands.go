package rollout

import (
	"time"
)

const (
	// commandTimeout is how long after the decision a command may be sent, and also the
	// time limit for its response.
	commandTimeout = 300 * time.Millisecond
	// confirmationTimeout is how long a command waits until all nodes have confirmed
	// that they send the replica no more requests. It applies if replicas finish their
	// requests first, since such replicas refuse further requests themselves.
	confirmationTimeout = 300 * time.Millisecond
	// reportStabilization is how long after the outcome of a command a report may still
	// show the state before the command.
	reportStabilization = 300 * time.Millisecond
	// minCommandBackoff and maxCommandBackoff bound the pause after a command that was
	// not accepted.
	minCommandBackoff = 500 * time.Millisecond
	maxCommandBackoff = 8 * time.Second
)

// Command tells a replica to load weights. The driver must not send it at or after Deadline,
// when this node may no longer be entitled to command the replica.
type Command struct {
	Address string
	// Instance is the incarnation that the command is for; empty if the platform's list
	// names none.
	Instance      string
	Model         string
	WeightVersion string
	// Leader identifies the node that sends the command; it stays the same when the
	// process of the node restarts.
	Leader string
	// Token increases with each term of leadership, and with each later decision in the
	// same term. A repeated command has the same token.
	Token uint64
	// ExpectedSequence is how many commands the replica has accepted as far as this node
	// knows. It is valid only if ExpectsSequence is set.
	ExpectedSequence uint64
	ExpectsSequence  bool
	Deadline         time.Duration
}

// CommandOutcome is the outcome of a command.
type CommandOutcome uint8

// The outcomes of a command.
const (
	// CommandUnknown means that it is unknown whether the replica accepted the command.
	CommandUnknown CommandOutcome = iota
	// CommandAccepted means that the replica loads the version, or will do so once its
	// requests have ended.
	CommandAccepted
	// CommandUpToDate means that the replica already runs the version.
	CommandUpToDate
	// CommandBusy means that the replica executes another command, or that it has
	// accepted other commands than ExpectedSequence counts.
	CommandBusy
	// CommandFenced means that the replica has received a command with a greater token.
	CommandFenced
	// CommandWrongInstance means that another incarnation answered and ignored the
	// command.
	CommandWrongInstance
	// CommandNotSent means that the command certainly did not reach the replica.
	CommandNotSent
	// CommandRefused means that the replica refused the command for another reason.
	CommandRefused
)

// String returns the name of the outcome.
func (o CommandOutcome) String() string {
	names := []string{"unknown", "accepted", "holds", "busy", "fenced", "wrong instance", "not sent", "refused"}
	if int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// commandReplica tells a replica to load the version of its row, if the replica is ready
// and this node is entitled to command it during the whole time in which the command may be
// sent.
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

// readyForCommand reports whether a command would have an effect: a report shows that the
// replica executes no command and loads no weights. The report must be measured after the
// version was named, and after the last command if the replica may have accepted it. If the
// replica is not drained first, all nodes must also have stopped sending requests to it, or
// confirmationTimeout must have passed.
func (p *poolRollout) readyForCommand(replica poolReplica, progress *replicaProgress) bool {
	// The last command may have been sent up to commandTimeout after the decision, and
	// its response may have taken as long again.
	if progress.inFlight && p.now < progress.sentAt+2*commandTimeout {
		return false
	}
	if progress.inFlight {
		// The outcome of the command was lost.
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

// mayCommand reports whether this node is entitled to command a replica during the whole time
// of a command. If an earlier leader may have commanded the replica lately, CommandGap must
// have passed as well.
func (p *poolRollout) mayCommand(address string) bool {
	if p.state.commandedBefore(address, p.config) {
		return p.state.commandLeaseValid(p.now, p.config, p.shard)
	}
	return holdsCommandLease(p.now, p.shard)
}

// commandedBefore reports whether an earlier leader may have commanded a replica lately. A
// row is kept for at least rowRetention after the last command. A replica without a row at
// the start of this leadership was therefore not commanded within rowRetention before. That
// is not enough if the commands of two leaders must be further apart.
func (s *shardState) commandedBefore(address string, config Config) bool {
	_, moved := s.rowsAtStart[address]
	return moved || config.LeaseDuration+config.LeaseMargin+config.CommandGap >= rowRetention
}

// commandLeaseValid reports whether this node is entitled to command replicas during the whole
// time of a command, and the last command of an earlier leader is at least CommandGap old.
func (s *shardState) commandLeaseValid(now time.Duration, config Config, shard Shard) bool {
	return now >= s.commandGapEnd(config) && holdsCommandLease(now, shard)
}

// commandGapEnd returns when the last command of an earlier leader is certainly CommandGap
// old: CommandGap after the lease of that leader has expired. In the first term there was no
// earlier leader.
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

// commandToken returns the token of a command. Tokens order all commands to a replica, first
// by the term of the leader, then by the revision at which the LOADING phase was entered. A
// replica therefore also refuses a delayed command of the same leader for a version that
// another one has replaced since.
func commandToken(term, phaseRevision uint64) uint64 {
	const revisionBits = 32
	return term<<revisionBits | phaseRevision&(1<<revisionBits-1)
}

// commandDone handles the outcome of the command in flight.
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

// backOff delays the next command by a pause that doubles with each consecutive failure.
func (p *replicaProgress) backOff(now time.Duration) {
	p.nextCommand = now + backoff(minCommandBackoff, p.failures, maxCommandBackoff)
	p.failures++
}
