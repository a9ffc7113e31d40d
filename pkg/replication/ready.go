package replication

import "slices"

// Ready is what the driver has to do, in the order of the package comment.
type Ready struct {
	// HardState is nil unless it must be made durable.
	HardState *HardState
	// Entries must be made durable. They replace all durable entries from the
	// index of the first one on.
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

// MustSync tells whether anything has to be durable before Messages are sent
// and Committed is applied.
func (r Ready) MustSync() bool {
	return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil
}

// output gathers what the next Ready will hold.
type output struct {
	messages []Outbound
	// snapshot was received and not handed out yet.
	snapshot *Snapshot
	// persisted is the newest HardState handed out.
	persisted HardState
	// outstanding is the Ready that Advance was not called for yet.
	outstanding *Ready
}

// HasReady tells whether Ready would hold anything to do. It is false while a
// Ready is outstanding.
func (g *Group) HasReady() bool {
	if g.output.outstanding != nil {
		return false
	}
	return g.hardStateChanged() ||
		g.output.snapshot != nil ||
		len(g.output.messages) > 0 ||
		g.leadership.appendPending ||
		g.log.durable < g.log.lastIndex() ||
		g.log.applied < g.log.committed ||
		len(g.reads.ready) > 0 ||
		len(g.reads.failed) > 0
}

func (g *Group) hardStateChanged() bool {
	return g.hard.Term != g.output.persisted.Term || g.hard.VotedFor != g.output.persisted.VotedFor ||
		g.hard.VotedForIncarnation != g.output.persisted.VotedForIncarnation
}

// Ready hands out what there is to do. While a Ready is outstanding, it hands
// out nothing; Advance ends that.
func (g *Group) Ready() Ready {
	if g.output.outstanding != nil {
		return Ready{}
	}
	if g.leadership.appendPending {
		g.broadcastAppend()
	}
	ready := Ready{
		Entries:     slices.Clone(g.log.notDurable()),
		Snapshot:    g.output.snapshot,
		Messages:    g.output.messages,
		Committed:   g.unapplied(),
		Reads:       g.reads.ready,
		ReadsFailed: g.reads.failed,
	}
	// A commit index alone is not worth a sync: the leader tells it again.
	if ready.MustSync() || g.hardStateChanged() {
		g.hard.Commit = g.log.committed
		hard := g.hard
		ready.HardState = &hard
		g.output.persisted = hard
	}
	g.output.messages = nil
	g.output.snapshot = nil
	g.reads.ready = nil
	g.reads.failed = nil
	g.output.outstanding = &ready
	return ready
}

func (g *Group) unapplied() []Entry {
	from := g.log.applied
	if g.output.snapshot != nil {
		from = g.output.snapshot.Index
	}
	return slices.Clone(g.log.slice(from+1, g.log.committed))
}

// Advance tells that all of the outstanding Ready is done: it is durable, sent
// and applied.
func (g *Group) Advance() {
	ready := g.output.outstanding
	if ready == nil {
		return
	}
	g.output.outstanding = nil
	if ready.Snapshot != nil {
		g.log.applied = max(g.log.applied, ready.Snapshot.Index)
	}
	if count := len(ready.Committed); count > 0 {
		g.log.applied = max(g.log.applied, ready.Committed[count-1].Index)
	}
	g.log.setDurable(ready.Entries)
	g.acknowledgeSelf(ready)
}

// acknowledgeSelf lets this member's own promise and own entries count, as they
// are durable now.
func (g *Group) acknowledgeSelf(ready *Ready) {
	g.acknowledgeSelfRecovery(ready)
	switch g.role {
	case RoleLeader:
		g.maybeCommit()
	case RoleCandidate:
		hard := ready.HardState
		if hard == nil || g.election.preElection {
			return
		}
		if hard.Term == g.hard.Term && hard.VotedFor == g.cfg.Self && hard.VotedForIncarnation == g.cfg.Incarnation {
			g.addGrant(g.self())
		}
	case RoleFollower, RoleLearner:
	}
}
