package replication

import (
	"slices"
	"time"
)

// ExpectState tells that the group had a state before. Without that, members whose
// logs are empty recover no group: they may be those of a new deployment that was
// not set up, and a lost one would be opened as if it were new.
func (g *Group) ExpectState() { g.recovery.stateExpected = true }

// RaiseTermFloor tells that a term was in use in this group. Recovery terms lie
// above it.
func (g *Group) RaiseTermFloor(term uint64) { g.recovery.raiseTermFloor(term) }

// RecoveryTerm returns the recovery term that this member has begun, or zero. It is
// won when all members of the group have granted it, and then wait for
// RecoverQuorum.
func (g *Group) RecoveryTerm() (term uint64, won bool) {
	return g.recovery.term, g.recovery.won()
}

// RaiseRecoveryTerm begins another recovery term above a term that was in use, if
// the one that this member has won does not lie above it.
func (g *Group) RaiseRecoveryTerm(term uint64) { g.recovery.restartAbove(term) }

// Unapplied returns the entries that the state machine above has not applied,
// whether they are committed or not. A group that is recovered keeps them. It is for a
// member that has won a recovery term: what it installed of a leader before is applied
// by then, as its own vote counts only after Advance.
func (g *Group) Unapplied() []Entry {
	return slices.Clone(g.log.slice(g.log.applied+1, g.log.lastIndex()))
}

// RecoverQuorum makes this member the leader of a group of the present incarnations
// of all slots, under the recovery term that it has won. State replaces that of the
// state machine above; a member that knows the new group has the state too, as its
// entry comes first. It fails with a *RecoveryTermError.
func (g *Group) RecoverQuorum(now time.Duration, term uint64, state []byte) error {
	g.advanceClock(now)
	if !g.recovery.won() || g.recovery.term != term {
		return &RecoveryTermError{Term: term}
	}
	g.recovery.appendGroup(state)
	g.becomeLeader()
	return nil
}
