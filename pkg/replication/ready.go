package replication

import "slices"

// Ready contains the work that the driver must do next, in the order given in the package
// comment.
type Ready struct {
	// HardState must be made durable, unless it is nil.
	HardState *HardState
	// Entries must be made durable. They replace all durable entries with an index equal to
	// or greater than that of the first entry.
	Entries []Entry
	// Snapshot replaces the whole durable log and the application's state.
	Snapshot *Snapshot
	// Messages may be sent once HardState, Entries and Snapshot are durable.
	Messages []Outbound
	// Committed contains the entries to apply, in order.
	Committed []Entry
	// Reads may be answered once Committed is applied.
	Reads []Read
	// ReadsFailed contains the IDs of reads that this member can't answer any more.
	ReadsFailed []uint64
}

// MustSync reports whether anything must be durable before Messages are sent and Committed is
// applied.
func (r Ready) MustSync() bool {
	return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil
}

// HasReady reports whether Ready would return any work. It returns false while a Ready is
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

// appendPending reports whether this member leads and has not yet sent new entries or a new
// commit index.
func (g *Group) appendPending() bool {
	return g.leadership != nil && g.leadership.replicator.appendPending
}

// Ready returns the work that is due. It returns an empty Ready while the previous one is
// outstanding, until the driver calls Advance.
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

// Advance reports that the driver has finished the outstanding Ready: everything in it is
// durable, sent and applied.
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

// acknowledgeSelf counts this member's own vote and entries, which are durable now. A vote
// counts only if it is of the present term: a later term may have begun while the Ready was
// outstanding.
func (g *Group) acknowledgeSelf(ready *Ready) {
	hardState := ready.HardState
	votedForSelf := hardState != nil && hardState.Term == g.hardState.Term && hardState.votedFor(g.self())
	if votedForSelf && g.recovery.isCurrent() {
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
