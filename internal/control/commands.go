package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

const (
	// commandWindow is how long after the decision a command may be sent and its
	// answer is waited for.
	commandWindow = 300 * time.Millisecond
	// confirmPatience is how long a command waits for all nodes to know that the
	// replica gets no more requests, where replicas refuse those by themselves.
	confirmPatience = 300 * time.Millisecond
	// reportSettle is how long after a command's outcome a report tells what came
	// of it.
	reportSettle = 300 * time.Millisecond
	// firstCommandPause and mostCommandPause bound the pause after a command that
	// was not taken.
	firstCommandPause = 500 * time.Millisecond
	mostCommandPause  = 8 * time.Second
)

// Command orders a replica to load weights. The driver sends it only if the
// clock still reads less than Deadline, since the right to command ends then.
type Command struct {
	Address string
	// Instance is the incarnation that is meant; empty if the list names none.
	Instance      string
	Model         string
	WeightVersion string
	// Holder names the node that commands; it is the same for all processes of the
	// node.
	Holder string
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
	// CommandHolds means that the replica runs the version already.
	CommandHolds
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

// replicaWork is what the leader knows of its work on one replica that a row keeps
// requests from.
type replicaWork struct {
	// revision is the one at which the row was entered, and since when this leader
	// first saw it.
	revision uint64
	since    time.Duration
	// level is how many replicas of the pool were out with it.
	level int

	drained      bool
	drainedSince time.Duration

	// token is that of the command under way, if sending, or of the last one.
	token   uint64
	sending bool
	sentAt  time.Duration
	// taken tells that the replica took the command, or may have; knownAt is from
	// when on its reports tell.
	taken   bool
	knownAt time.Duration
	// askAt is when its reports are worth their price.
	askAt time.Duration
	// expected is how long the replica is thought to be out from the command on.
	expected time.Duration
	// refused tells that the replica wants a greater token.
	refused  bool
	next     time.Duration
	failures int
}

// workOn returns the work that belongs to a row.
func (r *rolloutState) workOn(row *controlpb.ReplicaState, now time.Duration) *replicaWork {
	work := r.work[row.GetAddress()]
	if work == nil || work.revision != row.GetPhaseRevision() {
		next := &replicaWork{revision: row.GetPhaseRevision(), since: now, level: r.countOut(row)}
		if work != nil {
			next.inherit(work)
		}
		work = next
		r.work[row.GetAddress()] = work
	}
	return work
}

// inherit keeps what matters when a row is replaced by another: a command that is
// under way, and the pauses after those that were not taken.
func (w *replicaWork) inherit(earlier *replicaWork) {
	w.since = earlier.since
	w.taken = earlier.taken || earlier.sending
	w.knownAt = earlier.knownAt
	w.askAt = earlier.askAt
	if earlier.sending {
		w.knownAt = earlier.sentAt + commandWindow + reportSettle
	}
	w.failures = earlier.failures
	w.next = earlier.next
}

// countOut counts the replicas that are worked on, the new one included.
func (r *rolloutState) countOut(added *controlpb.ReplicaState) int {
	count := 1
	for address := range r.work {
		if address != added.GetAddress() {
			count++
		}
	}
	return count
}

// forgetWork drops what belongs to no row that keeps requests from a replica.
func (r *rolloutState) forgetWork(rows []*controlpb.ReplicaState) {
	for address := range r.work {
		row := findReplica(rows, address)
		if row == nil || row.GetPhase() == controlpb.ReplicaPhase_SERVING {
			delete(r.work, address)
		}
	}
}

// commandReplica orders a replica to load its row's version when that is not in
// vain, no node sends it requests any more, and this node's right to command is
// certain for the whole window in which the command is sent.
func (m *Machine) commandReplica(rolling poolRollout, replica rolledReplica, work *replicaWork) {
	if m.now < work.next || !m.readyForCommand(rolling, replica, work) {
		return
	}
	hosted := rolling.hosted
	if !m.mayCommand(hosted) {
		return
	}
	report, known := m.backends.reports[replica.Address]
	work.token = commandToken(hosted.group.Status().Term, replica.row.GetPhaseRevision())
	work.sending = true
	work.sentAt = m.now
	work.taken = false
	work.expected = rolling.pace.expectedLoad(work.level)
	m.output.Commands = append(m.output.Commands, Command{
		Address:          replica.Address,
		Instance:         replica.Instance,
		Model:            rolling.pool.GetModel(),
		WeightVersion:    replica.row.GetWeightVersion(),
		Holder:           string(m.config.Self.ID),
		Token:            work.token,
		ExpectedSequence: report.Sequence,
		ExpectsSequence:  known && m.config.ReplicasFinishFirst,
		Deadline:         m.now + commandWindow,
	})
}

// readyForCommand tells whether a command would do something: the replica answers,
// is not at work on another command, and did not take the last one.
func (m *Machine) readyForCommand(rolling poolRollout, replica rolledReplica, work *replicaWork) bool {
	if work.sending && m.now < work.sentAt+2*commandWindow {
		return false
	}
	if work.sending {
		// Its outcome got lost.
		work.sending = false
		work.taken = true
		work.knownAt = m.now
	}
	wanted := rolling.pace.since
	if work.taken {
		wanted = work.knownAt
	}
	report, known := m.reportSince(replica.Address, replica.Instance, wanted)
	if !known || report.Busy || report.WeightVersion == "" {
		if m.now >= work.askAt {
			m.askReport(replica.Address, replica.Instance)
		}
		return false
	}
	if !m.config.ReplicasFinishFirst {
		return true
	}
	return m.now >= work.since+confirmPatience || m.confirmedEverywhere(rolling.hosted, replica.row.GetPhaseRevision())
}

// mayCommand tells whether this node's right to command is certain for the whole
// window, and an earlier holder's last command is as old as two holders must be
// apart.
func (m *Machine) mayCommand(hosted *shard) bool {
	times := m.config.Times
	first := hosted.rollout.since + times.LeaseDuration + times.LeaseMargin + times.CommandGap
	if hosted.rollout.term > 1 && m.now < first {
		return false
	}
	return hosted.group.MayCommand(m.now) && hosted.group.MayCommand(m.now+commandWindow)
}

// commandToken orders all commands that a replica ever gets: first by the term
// of the leadership, then by the revision at which the ordered phase was entered.
// So a replica also refuses a late command of the same leader for a version that
// has been replaced since.
func commandToken(term, phaseRevision uint64) uint64 {
	const revisionBits = 32
	return term<<revisionBits | phaseRevision&(1<<revisionBits-1)
}

// CommandDone takes what came of a command.
func (m *Machine) CommandDone(now time.Duration, command Command, outcome CommandOutcome) Output {
	m.now = now
	for _, id := range m.shardIDs {
		hosted := m.shards[id]
		if hosted == nil {
			continue
		}
		if work := hosted.rollout.work[command.Address]; work != nil && work.sending && work.token == command.Token {
			m.commandDone(work, command, outcome)
		}
	}
	m.rollOutSoon()
	return m.take()
}

func (m *Machine) commandDone(work *replicaWork, command Command, outcome CommandOutcome) {
	work.sending = false
	switch outcome {
	case CommandHolds:
		work.taken = true
		work.knownAt = m.now
		m.takeReport(ReplicaReport{
			Address:       command.Address,
			Instance:      command.Instance,
			Incarnation:   m.backends.reports[command.Address].Incarnation,
			WeightVersion: command.WeightVersion,
			MeasuredAt:    m.now,
		})
	case CommandAccepted:
		work.taken = true
		work.failures = 0
		work.knownAt = m.now + reportSettle
		work.askAt = max(work.knownAt, work.sentAt+work.expected/2)
	case CommandUnknown:
		work.taken = true
		work.knownAt = m.now + reportSettle
		work.askAt = work.knownAt
		m.pauseCommands(work)
	case CommandBusy:
		work.taken = true
		work.knownAt = m.now + reportSettle
		work.askAt = work.knownAt
	case CommandFenced:
		work.refused = true
		m.pauseCommands(work)
	default:
		m.pauseCommands(work)
	}
}

// pauseCommands keeps the next command back for longer and longer.
func (m *Machine) pauseCommands(work *replicaWork) {
	work.next = m.now + growingPause(firstCommandPause, work.failures, mostCommandPause)
	work.failures++
}
