package replication

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// HardState is the state that a member must keep durably, besides its log and snapshot.
type HardState struct {
	// Term is the highest term that the member has adopted.
	Term uint64
	// VotedFor is the member that was granted Term, or empty.
	VotedFor member.ID
	// VotedForIncarnation is the incarnation of VotedFor. The same member in another
	// incarnation is another candidate.
	VotedForIncarnation uint64
	// Commit is the highest index known to be committed when the state was written. An
	// outdated value does no harm, as the leader sends the commit index again.
	Commit uint64
}

// votedFor reports whether Term is granted to the candidate, in this incarnation.
func (h HardState) votedFor(candidate Voter) bool {
	return h.VotedFor == candidate.ID && h.VotedForIncarnation == candidate.Incarnation
}

// termState is the present term and vote. The term never decreases, and is granted to one
// voter at most. Both take effect on this member at once, and are durable before any message
// that reveals them is sent: they are part of the same Ready.
type termState struct {
	HardState
	// persisted is the newest HardState that was returned in a Ready.
	persisted HardState
}

func newTermState(restored HardState) termState {
	return termState{HardState: restored, persisted: restored}
}

// raise adopts a later term, which is granted to nobody yet. It ignores an earlier or equal
// term.
func (s *termState) raise(term uint64) {
	if term <= s.Term {
		return
	}
	s.Term = term
	s.VotedFor = ""
	s.VotedForIncarnation = 0
}

// vote grants the term. The caller must make sure that it is granted to nobody else.
func (s *termState) vote(candidate Voter) {
	s.VotedFor = candidate.ID
	s.VotedForIncarnation = candidate.Incarnation
}

// changed reports whether the term or vote has changed since the last takeHardState. It
// ignores the commit index, which alone is not worth a sync as the leader sends it again.
func (s *termState) changed() bool {
	now, persisted := s.HardState, s.persisted
	now.Commit, persisted.Commit = 0, 0
	return now != persisted
}

// takeHardState returns the state that must be made durable, together with the commit index,
// and records it as persisted.
func (s *termState) takeHardState(commit uint64) *HardState {
	s.Commit = commit
	s.persisted = s.HardState
	hardState := s.HardState
	return &hardState
}

// Restored is the durable state that a member is started with.
type Restored struct {
	HardState
	// Snapshot is the newest durable snapshot, or nil.
	Snapshot *Snapshot
	// Entries are the durable entries without gaps. Entries that the snapshot covers are
	// skipped.
	Entries []Entry
}

// check returns an error for durable state that no correct member can have written.
func (r Restored) check() error {
	if r.Snapshot != nil {
		if err := slots(r.Snapshot.Slots).check(); err != nil {
			return &RestoredError{Message: "the group of the snapshot is invalid: " + err.Error()}
		}
	}
	previous := Entry{}
	if r.Snapshot != nil {
		previous = Entry{Index: r.Snapshot.Index, Term: r.Snapshot.Term}
	}
	for _, entry := range r.Entries {
		if entry.Index <= previous.Index {
			continue
		}
		if entry.Index != previous.Index+1 {
			return &RestoredError{Message: "the log has a gap: restore the member as a learner with an empty disk"}
		}
		if err := entry.check(); err != nil {
			return &RestoredError{Message: err.Error()}
		}
		if entry.Term < previous.Term || entry.Term > r.Term {
			return &RestoredError{Message: "the terms of the log are out of order: restore the member as a learner with an empty disk"}
		}
		previous = entry
	}
	if r.Commit > previous.Index {
		return &RestoredError{Message: "committed entries are missing: restore the member as a learner with an empty disk"}
	}
	return nil
}
