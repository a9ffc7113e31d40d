package rollout

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

// rowRetention is how long the row of a serving replica is kept once the platform's list
// shows a version of the replica. The list reflects the version of the row by then.
const rowRetention = 10 * time.Second

// shardState is the volatile state of the leader of a service shard. A new leader does not
// have it and repeats commands under its own term.
type shardState struct {
	// term is the term of leadership that the state belongs to. since is when this node
	// first acted as the leader in it.
	term  uint64
	since time.Duration
	// rowsAtStart contains the addresses that had a row when this leadership began; nil
	// until the rows are known.
	rowsAtStart map[string]struct{}
	// progress contains the progress of each replica that is out of service, by address.
	progress map[string]*replicaProgress
	// servingSince is when this leader first saw each replica, by address, with a
	// SERVING row and a version in the platform's list.
	servingSince map[string]time.Duration
	// paces contains the pace of each pool, by name.
	paces map[string]*pace
	ages  *weightsAges
}

func newShardState(term uint64, since time.Duration) *shardState {
	return &shardState{
		term:         term,
		since:        since,
		progress:     map[string]*replicaProgress{},
		servingSince: map[string]time.Duration{},
		paces:        map[string]*pace{},
		ages:         newWeightsAges(),
	}
}

// replicaProgress is the progress of one replica that is out of service.
type replicaProgress struct {
	// revision is the revision at which the phase of the row was entered. since is when
	// this leader first saw the row, or the first of the rows that it replaced.
	revision uint64
	since    time.Duration
	// outOfService is how many replicas of the shard were out of service when this
	// progress began, including this replica.
	outOfService int

	// drained means that the replica has no requests left on any node, since
	// drainedSince.
	drained      bool
	drainedSince time.Duration

	// token is the token of the command in flight, or of the last one.
	token    uint64
	inFlight bool
	sentAt   time.Duration
	// accepted means that the replica accepted the command or may have accepted it. A
	// report measured from reportValidFrom on shows whether it did.
	accepted        bool
	reportValidFrom time.Duration
	// nextReport is when the next report may be requested. A report has a cost, and an
	// earlier one would hardly show an effect of the command.
	nextReport time.Duration
	// expectedLoad is how long the replica is expected to be out of service after the
	// command.
	expectedLoad time.Duration
	// fenced means that the replica has received a command with a greater token.
	fenced bool
	// nextCommand is when the next command may be sent after failures.
	nextCommand time.Duration
	failures    int
}

// progressOf returns the progress of a row's replica. If the row is new, a new progress
// replaces that of the previous row.
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

// inherit takes over the state that stays valid when another row replaces that of the
// replica: the start, a command that the replica may be executing, and the pause after
// failed commands.
func (p *replicaProgress) inherit(earlier *replicaProgress) {
	p.since = earlier.since
	p.accepted = earlier.accepted || earlier.inFlight
	p.reportValidFrom = earlier.reportValidFrom
	p.nextReport = earlier.nextReport
	if earlier.inFlight {
		p.reportValidFrom = earlier.sentAt + commandTimeout + reportStabilization
	}
	p.failures = earlier.failures
	p.nextCommand = earlier.nextCommand
}

// countOutOfService returns the number of replicas with progress, including that of the
// added row.
func (s *shardState) countOutOfService(added *controlpb.ReplicaState) int {
	count := 1
	for address := range s.progress {
		if address != added.GetAddress() {
			count++
		}
	}
	return count
}

// pruneProgress drops the progress of replicas that are not out of service any more.
func (s *shardState) pruneProgress(rows []*controlpb.ReplicaState) {
	for address := range s.progress {
		row := shardstate.FindReplica(rows, address)
		if row == nil || row.GetPhase() == controlpb.ReplicaPhase_SERVING {
			delete(s.progress, address)
		}
	}
}

// recordRowsAtStart records the addresses of the rows that earlier leaders left. Only the
// first call has an effect.
func (s *shardState) recordRowsAtStart(rows []*controlpb.ReplicaState) {
	if s.rowsAtStart != nil {
		return
	}
	s.rowsAtStart = make(map[string]struct{}, len(rows))
	for _, row := range rows {
		s.rowsAtStart[row.GetAddress()] = struct{}{}
	}
}

// obsoleteRows returns the addresses of rows that are no longer needed: those of replicas
// that left the platform's list or have another incarnation now, and those whose version
// the list reflects.
func (s *shardState) obsoleteRows(now time.Duration, rows []*controlpb.ReplicaState, endpoints map[string]listing.Replica) []string {
	var obsolete []string
	for _, row := range rows {
		replica, found := endpoints[row.GetAddress()]
		if !found || !sameInstance(row, replica) || s.caughtUp(now, row, replica) {
			obsolete = append(obsolete, row.GetAddress())
		}
	}
	return obsolete
}

// caughtUp reports whether a replica has been serving, with a version in the platform's
// list, for rowRetention, so that its row is no longer needed. It records when that began.
func (s *shardState) caughtUp(now time.Duration, row *controlpb.ReplicaState, endpoint listing.Replica) bool {
	address := row.GetAddress()
	if endpoint.WeightVersion == "" || row.GetPhase() != controlpb.ReplicaPhase_SERVING {
		delete(s.servingSince, address)
		return false
	}
	since, seen := s.servingSince[address]
	if !seen {
		s.servingSince[address] = now
		return false
	}
	if now-since < rowRetention {
		return false
	}
	delete(s.servingSince, address)
	return true
}
