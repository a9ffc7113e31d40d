package replication

import "slices"

// Ready is what the driver has to do, in the order of the package comment.
type Ready struct {
	// HardState is nil unless it must be made durable.
	HardState *HardState
	// Entries must be made durable. They replace all durable entries from the index
	// of the first one on.
	Entries []Entry
	// Snapshot replaces the whole durable log and the application's state.
	Snapshot *Snapshot
	// Messages may leave when all of the above is durable.
	Messages []Outbound
	// Committed are to be applied, in order.
	Committed []Entry
	// Reads may be answered when Committed is applied.
	Reads []Read
	// ReadsFailed are the IDs of reads that this member can't answer any more.
	ReadsFailed []uint64
}

// MustSync tells whether anything has to be durable before Messages are sent and
// Committed is applied.
func (r Ready) MustSync() bool {
	return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil
}

// HasReady tells whether Ready would hand out anything. It is false while a Ready is
// outstanding.
func (g *Group) HasReady() bool {
	if g.outstanding != nil {
		return false
	}
	return g.hardState.changed() ||
		g.follower.received != nil ||
		len(g.outbox) > 0 ||
		g.appendPending() ||
		g.log.durable < g.log.lastIndex() ||
		g.log.applied < g.log.committed ||
		g.reads.hasResults()
}

// appendPending tells whether this member leads and has yet to send entries.
func (g *Group) appendPending() bool {
	return g.leadership != nil && g.leadership.replicator.appendPending
}

// Ready hands out what there is to do. It is empty while a Ready is outstanding;
// Advance ends that.
func (g *Group) Ready() Ready {
	if g.outstanding != nil {
		return Ready{}
	}
	if g.appendPending() {
		g.leadership.replicator.broadcast()
	}
	ready := Ready{
		Entries:   slices.Clone(g.log.notDurable()),
		Snapshot:  g.follower.received,
		Messages:  g.outbox,
		Committed: g.notApplied(),
	}
	ready.Reads, ready.ReadsFailed = g.reads.takeResults()
	if ready.MustSync() || g.hardState.changed() {
		ready.HardState = g.hardState.takeHardState(g.log.committed)
	}
	g.outbox = nil
	g.follower.received = nil
	g.outstanding = &ready
	return ready
}

// notApplied returns the committed entries that the driver has not applied.
func (g *Group) notApplied() []Entry {
	applied := g.log.applied
	if g.follower.received != nil {
		applied = g.follower.received.Index
	}
	return slices.Clone(g.log.slice(applied+1, g.log.committed))
}

// Advance tells that all of the outstanding Ready is done: it is durable, sent and
// applied.
func (g *Group) Advance() {
	ready := g.outstanding
	if ready == nil {
		return
	}
	g.outstanding = nil
	if ready.Snapshot != nil {
		g.log.applyTo(ready.Snapshot.Index)
	}
	if count := len(ready.Committed); count > 0 {
		g.log.applyTo(ready.Committed[count-1].Index)
	}
	g.log.setDurable(ready.Entries)
	g.acknowledgeSelf(ready)
}

// acknowledgeSelf lets this member's vote and entries count, as they are durable
// now. A vote counts only if it is of the present term: a later one may have begun
// while the Ready was outstanding.
func (g *Group) acknowledgeSelf(ready *Ready) {
	hardState := ready.HardState
	votedForSelf := hardState != nil && hardState.Term == g.hardState.Term && hardState.votedFor(g.self())
	if votedForSelf && g.recovery.current() {
		g.recovery.addGrant(g.self())
	}
	switch g.election.role() {
	case RoleLeader:
		g.leadership.commit()
	case RoleCandidate:
		if votedForSelf && !g.election.campaign.preVote && g.election.addGrant(g.self()) {
			g.becomeLeader()
		}
	case RoleFollower, RoleLearner:
	}
}
