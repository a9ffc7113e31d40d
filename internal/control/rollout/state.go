package rollout

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

// rowRetention is how long a row is kept for a serving replica whose version the list
// shows. The list has caught up with the row by then.
const rowRetention = 10 * time.Second

// shardState is what the leader of a service shard remembers of its roll-outs.
// It may be lost: a new leader repeats a command under its own term.
type shardState struct {
	// term is the term of leadership that the rest belongs to, and since is
	// when this node first acted in it.
	term  uint64
	since time.Duration
	// rowsAtStart are the addresses that had a row when this leadership began; nil until
	// these are known.
	rowsAtStart map[string]struct{}
	// progress is that of each replica that a row keeps requests from.
	progress map[string]*replicaProgress
	// servingSince is when the row of each serving replica was first seen.
	servingSince map[string]time.Duration
	// paces belong to the pools.
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

// replicaProgress is how far the leader has come with one replica that a row keeps
// requests from.
type replicaProgress struct {
	// revision is the one at which the row was entered, and since when this leader
	// first saw it.
	revision uint64
	since    time.Duration
	// outOfService is how many replicas of the shard were out of service with it, this
	// one included.
	outOfService int

	drained      bool
	drainedSince time.Duration

	// token is that of the command in flight, or of the last one.
	token    uint64
	inFlight bool
	sentAt   time.Duration
	// accepted means that the replica took the command, or may have taken it, and
	// reportValidFrom from when on a report shows whether it did.
	accepted        bool
	reportValidFrom time.Duration
	// nextReport is from when on a report is asked for. Each report has a cost, and an
	// earlier one would hardly show an effect of the command.
	nextReport time.Duration
	// expectedLoad is how long the replica is thought to be out from the command on.
	expectedLoad time.Duration
	// fenced means that the replica has seen a greater token.
	fenced bool
	// nextCommand is from when on another command may be sent, after failures.
	nextCommand time.Duration
	failures    int
}

// progressOf returns the progress that belongs to a row.
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

// countOutOfService counts the replicas with progress, a new one included.
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

// recordRowsAtStart records the rows that earlier leaders have left, once.
func (s *shardState) recordRowsAtStart(rows []*controlpb.ReplicaState) {
	if s.rowsAtStart != nil {
		return
	}
	s.rowsAtStart = make(map[string]struct{}, len(rows))
	for _, row := range rows {
		s.rowsAtStart[row.GetAddress()] = struct{}{}
	}
}

// obsoleteRows lists the addresses of rows that are no longer needed: those of replicas
// that left the list or came back as another incarnation, and those that the list has
// caught up with.
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

// caughtUp reports whether the list has shown a version of a serving replica for
// rowRetention, so that the row is needed no more. It records when that began.
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
