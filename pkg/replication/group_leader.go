package replication

import "time"

// Propose appends a command to the log and returns the index at which it will be committed if
// this member stays the leader. The command is committed if the entry at that index in
// Ready.Committed has the same term. It fails with a *NotLeaderError or ErrBacklogFull.
func (g *Group) Propose(now time.Duration, command []byte) (index uint64, err error) {
	g.advanceClock(now)
	if g.leadership == nil {
		return 0, g.notLeader()
	}
	return g.leadership.propose(command)
}

// RequestRead requests a linearizable read. Its ID is returned in Ready.Reads, or in
// Ready.ReadsFailed if the leadership is lost first. Reads that are requested while a
// heartbeat is in flight share the next one. It fails with a *NotLeaderError or
// ErrBacklogFull.
func (g *Group) RequestRead(now time.Duration) (readID uint64, err error) {
	g.advanceClock(now)
	if g.leadership == nil {
		return 0, g.notLeader()
	}
	return g.leadership.requestRead()
}

// ProposeGroupChange appends a change of the voters. The change takes effect at once, is
// undone if the entry is truncated in a later term, and is committed when Status.Commit
// reaches Status.ChangeIndex. When a slot is reserved for a member, the leader gives that
// member the vote automatically once it has caught up. It fails with a *NotLeaderError or a
// *GroupChangeError.
func (g *Group) ProposeGroupChange(now time.Duration, change GroupChange) error {
	g.advanceClock(now)
	if g.leadership == nil {
		return g.notLeader()
	}
	return g.leadership.proposeGroupChange(change)
}

// TransferLeadership asks the next live voter in slot order to take over as soon as that
// voter has the whole log. Until then, and for ElectionTimeout at most, the leader accepts
// neither proposals nor reads and does not have the command lease. A transfer that is already
// in progress continues. It fails with ErrNoSuccessor or a *NotLeaderError.
func (g *Group) TransferLeadership(now time.Duration) error {
	g.advanceClock(now)
	if g.leadership == nil {
		return g.notLeader()
	}
	return g.leadership.transfer.start()
}

// HasCommandLease reports whether this member leads and has the command lease at now: no
// leadership transfer is in progress, it has applied its own barrier, every lease of an
// earlier term has expired, and a majority acknowledged a heartbeat sent less than
// LeaseDuration-LeaseMargin before now. The driver must call it at the instant of sending a
// command. Called with a future time, it reports whether the lease would last until then; it
// changes no state.
func (g *Group) HasCommandLease(now time.Duration) bool {
	return g.leadership != nil && g.leadership.mayCommand(now)
}

// BarrierApplied reports whether this member leads the group and has applied all entries up
// to its own barrier, which include everything that its log contained when it became the
// leader.
func (g *Group) BarrierApplied() bool {
	return g.leadership != nil && g.leadership.barrierApplied()
}

func (g *Group) notLeader() *NotLeaderError {
	return &NotLeaderError{Leader: g.election.leader}
}
