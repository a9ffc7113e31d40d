package replication

import (
	"slices"
	"time"
)

// ExpectState marks the group as one that had state before. Without this mark, members whose
// logs are all empty don't recover a group: they may belong to a new deployment that has not
// been initialized, and a deployment that has lost its state would start as if it were new.
func (g *Group) ExpectState() { g.recovery.stateExpected = true }

// RaiseTermFloor records that term was in use in this group. Recovery terms are chosen above
// it.
func (g *Group) RaiseTermFloor(term uint64) { g.recovery.raiseTermFloor(term) }

// RecoveryTerm returns the recovery term that this member has begun, or zero, and whether it
// is won. It is won when all members of the group have granted it; the driver then calls
// RecoverQuorum.
func (g *Group) RecoveryTerm() (term uint64, won bool) {
	return g.recovery.term, g.recovery.won()
}

// RaiseRecoveryTerm records that term was in use. If this member has won a recovery term that
// is not above it, this begins another recovery term.
func (g *Group) RaiseRecoveryTerm(term uint64) { g.recovery.restartAbove(term) }

// Unapplied returns the entries that the application's state machine has not applied, whether
// they are committed or not. A group that is recovered keeps them. It is meant for a member
// that has won a recovery term: any snapshot that the member installed before is applied by
// then, as its own vote counts only after Advance.
func (g *Group) Unapplied() []Entry {
	return slices.Clone(g.log.slice(g.log.applied+1, g.log.lastIndex()))
}

// RecoverQuorum makes this member the leader of a group of the present incarnations of all
// slots, under the recovery term that it has won. The state replaces that of the
// application's state machine. The entry with the state precedes the entry with the new
// group, so that every member that knows the new group has the state too. It fails with a
// *RecoveryTermError.
func (g *Group) RecoverQuorum(now time.Duration, term uint64, state []byte) error {
	g.advanceClock(now)
	if !g.recovery.won() || g.recovery.term != term {
		return &RecoveryTermError{Term: term}
	}
	g.recovery.appendGroup(state)
	g.becomeLeader()
	return nil
}
