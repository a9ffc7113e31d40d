package replication

import "time"

// Propose appends a command to the log and returns the index at which it will be
// committed if this member stays the leader. The outcome shows in Ready.Committed:
// the command is committed if the entry at that index has the same term. It fails
// with a *NotLeaderError or ErrBacklogFull.
func (g *Group) Propose(now time.Duration, command []byte) (index uint64, err error) {
	g.advanceClock(now)
	if g.leadership == nil {
		return 0, g.notLeader()
	}
	return g.leadership.propose(command)
}

// RequestRead requests a linearizable read. It comes back in Ready.Reads, or in
// Ready.ReadsFailed if the leadership is lost before. Reads that are requested
// while a heartbeat is in flight share the next one. It fails with a
// *NotLeaderError or ErrBacklogFull.
func (g *Group) RequestRead(now time.Duration) (readID uint64, err error) {
	g.advanceClock(now)
	if g.leadership == nil {
		return 0, g.notLeader()
	}
	return g.leadership.requestRead()
}

// ProposeGroupChange appends a change of the voters. It takes effect at once, and is
// undone if the entry is truncated in a later term; Status shows it as committed
// when its index is. When a slot is reserved for a member, the leader adds that
// member by itself once it has caught up. It fails with a *NotLeaderError or a
// *GroupChangeError.
func (g *Group) ProposeGroupChange(now time.Duration, change GroupChange) error {
	g.advanceClock(now)
	if g.leadership == nil {
		return g.notLeader()
	}
	return g.leadership.proposeGroupChange(change)
}

// TransferLeadership asks the next live voter in the agreed order to take over as soon as
// it has the whole log. Until then, and for ElectionTimeout at most, the leader accepts no
// proposals and gives no commands. A transfer that is in progress goes on. It fails with
// ErrNoSuccessor or a *NotLeaderError.
func (g *Group) TransferLeadership(now time.Duration) error {
	g.advanceClock(now)
	if g.leadership == nil {
		return g.notLeader()
	}
	return g.leadership.transfer.start()
}

// HasCommandLease tells whether this member leads and has the command lease at now: it is
// not handing the leadership over, it has applied its own barrier, every lease of an
// earlier term has expired, and a majority acknowledged a heartbeat sent less than
// LeaseDuration-LeaseMargin before. The driver asks again at the instant of sending a
// command. A later instant than the present one tells whether the lease would last until
// then; the call changes no state.
func (g *Group) HasCommandLease(now time.Duration) bool {
	return g.leadership != nil && g.leadership.mayCommand(now)
}

// BarrierApplied tells whether this member leads the group and has applied all that
// was there when it became the leader.
func (g *Group) BarrierApplied() bool {
	return g.leadership != nil && g.leadership.barrierApplied()
}

func (g *Group) notLeader() *NotLeaderError {
	return &NotLeaderError{Leader: g.election.leader}
}
