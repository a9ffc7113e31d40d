package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// A group that lost the durable state of a majority of its voters can't elect a leader any
// more. It is recovered under a recovery term, which is granted not by a majority but by the
// present incarnation of every slot. Each incarnation that may ever have voted then either
// has granted the recovery term, and takes no part in lower terms, or has been replaced by
// its member and is permanently gone. As a member grants only to a log that is up to date,
// the member that wins the recovery term has everything that survived.

const (
	// recoveryTimeouts is how many election timeouts pass without a leader before a member
	// asks whether the group must be recovered, and how many it waits for the grants of a
	// recovery term.
	recoveryTimeouts = 3
	// recoveryTermStep is the distance of a recovery term from the highest known term, so
	// that the recovery term is also above terms that were recorded only on lost disks.
	recoveryTermStep = 1 << 16
)

// quorumRecovery is this member's attempt to recover a group that lost its quorum. Like an
// election, it has two phases: while term is zero, the member only asks which members would
// grant a recovery term; then it requests grants for term. A recovery term is an ordinary
// term in which a member has one vote, which the election maintains.
type quorumRecovery struct {
	*memberState
	election *election
	// term is the recovery term that this member has begun, or zero.
	term uint64
	// startedAt is when this member began term.
	startedAt   time.Duration
	requestedAt time.Duration
	// retryAt is when the next attempt may begin.
	retryAt time.Duration
	granted grants
	// termFloor is the highest term that is known to have been in use; recovery terms are
	// above it.
	termFloor uint64
	// lastBegunTerm is the newest recovery term that this process has begun. It is zero if
	// there is none, or if that term turned out to be less than a step above all terms that
	// were in use.
	lastBegunTerm uint64
	// stateExpected is true if the group had state before, even if this member's log is
	// empty.
	stateExpected bool
}

// tick asks, once no leader has been heard from for some time, whether the group must be
// recovered. The members begin one after the other, in slot order. It returns true while a
// recovery term of this member waits for its grants, which rules out an election.
func (r *quorumRecovery) tick() (awaitsGrants bool) {
	position := r.slots().position(r.cfg.Self)
	hasState := r.stateExpected || r.log.lastIndex() > 0
	if r.cfg.Learner || r.election.hasLiveLeader() || position < 0 || !hasState {
		r.stop()
		return false
	}
	if r.term != 0 {
		return r.tickTerm()
	}
	wait := recoveryTimeouts*r.cfg.ElectionTimeout + time.Duration(position)*r.cfg.ElectionTimeout/2
	dueAt := max(r.election.timer.waitFrom+wait, r.retryAt)
	if r.now >= dueAt && r.now >= r.requestedAt+r.cfg.ElectionTimeout {
		// Earlier grants may be out of date.
		r.granted = grants{r.self()}
		r.requestGrants()
		r.countGrants()
	}
	return false
}

// tickTerm repeats the requests of a recovery term. It gives the term up if a later one was
// adopted since, or if recoveryTimeouts election timeouts have passed. That includes a term
// that all members have granted but for which RecoverQuorum was not called in time.
func (r *quorumRecovery) tickTerm() (awaitsGrants bool) {
	if !r.isCurrent() || r.now >= r.startedAt+recoveryTimeouts*r.cfg.ElectionTimeout {
		r.stopUntil(r.now + r.cfg.HeartbeatEvery)
		return false
	}
	if !r.won() && r.now >= r.requestedAt+r.cfg.HeartbeatEvery {
		r.requestGrants()
	}
	return true
}

// stepRequest grants a recovery term to a member whose log is up to date. The grant is
// durable before the reply is sent. The term of the reply is the highest one that this member
// knows. A voter also reports its last entry, as the sender gives way to a voter with a newer
// log (stepReply).
func (r *quorumRecovery) stepRequest(from member.ID, m Message) {
	granted := !r.cfg.Learner && r.log.isUpToDate(m.Index, m.IndexTerm)
	if m.PreVote {
		granted = granted && !r.election.hasLiveLeader()
	} else {
		granted = granted && r.election.grantVote(from, m)
	}
	reply := Message{Type: MessageRecoveryReply, Term: r.hardState.Term, PreVote: m.PreVote, Reject: !granted}
	if r.slots().votes(r.self()) {
		reply.Index, reply.IndexTerm = r.log.lastIndex(), r.log.lastTerm()
	}
	r.send(from, reply)
}

// stepReply counts a grant. If the reply is from a voter with a newer log, this member leaves
// the recovery to that voter: this member may not know the newest group, and so may not know
// all members whose grant is needed.
func (r *quorumRecovery) stepReply(from member.ID, m Message) {
	if !r.recognizes(from) {
		return
	}
	r.raiseTermFloor(m.Term)
	if !r.log.isAtLeastAsNew(m.Index, m.IndexTerm) {
		if r.term != 0 || len(r.granted) > 0 {
			r.stopUntil(r.now + recoveryTimeouts*r.cfg.ElectionTimeout)
		}
		return
	}
	requesting := m.PreVote == (r.term == 0) && len(r.granted) > 0
	if m.Reject || !requesting || r.election.hasLiveLeader() {
		return
	}
	if !m.PreVote && (!r.isCurrent() || m.Term != r.term) {
		return
	}
	r.addGrant(Voter{ID: from, Incarnation: m.Incarnation})
}

// restartAbove records that term was in use. If this member has won a recovery term that is
// not above it, this begins another recovery term.
func (r *quorumRecovery) restartAbove(term uint64) {
	r.raiseTermFloor(term)
	if r.won() && r.term <= term {
		r.lastBegunTerm = 0
		r.startTerm()
	}
}

// appendGroup appends the entries that begin the recovered group: the state, then the group
// of the incarnations that have granted. In this order, every member that knows the new group
// has the state too. In an empty log, the previous group is appended before them. The attempt
// then ends, so that a recovery term forms only one group even if the term outlasts the
// leadership.
func (r *quorumRecovery) appendGroup(state []byte) {
	group := r.slots()
	if r.log.lastIndex() == 0 {
		r.log.appendNew(r.hardState.Term, EntryGroupChange, encodeSlots(group))
	}
	r.log.appendNew(r.hardState.Term, EntryRestore, state)
	r.log.appendNew(r.hardState.Term, EntryGroupChange, encodeSlots(r.granted.recoveredGroup(group)))
	r.stopUntil(r.now + r.cfg.HeartbeatEvery)
}

// addGrant counts the first grant of each member.
func (r *quorumRecovery) addGrant(from Voter) {
	if !r.granted.includes(from.ID) {
		r.granted = append(r.granted, from)
		r.countGrants()
	}
}

// countGrants decides, once the members of all slots have granted, whether the group must be
// recovered. By then this member's log is known to be the newest, and so is the group that it
// defines.
func (r *quorumRecovery) countGrants() {
	if !r.grantedByAll() {
		return
	}
	switch {
	case r.granted.includeMajority(r.slots()):
		// The voters that granted can elect a leader.
		r.stop()
	case r.term == 0:
		r.startTerm()
	}
}

// startTerm begins a recovery term and votes for this member. The vote counts once it is
// durable, see Group.acknowledgeSelf.
func (r *quorumRecovery) startTerm() {
	term := r.nextTerm()
	r.election.voteForSelf(term)
	r.term = term
	r.lastBegunTerm = term
	r.startedAt = r.now
	r.granted = nil
	r.requestGrants()
}

// nextTerm returns a term above the highest known term. Members at different slot positions
// of a group choose different terms, so that of two concurrent recovery terms the higher one
// wins.
func (r *quorumRecovery) nextTerm() uint64 {
	newest := max(r.hardState.Term, r.termFloor)
	term := newest + recoveryTermStep
	if newest == r.lastBegunTerm && newest > 0 {
		// This member's last recovery term was not granted, and is already a step above the
		// others.
		term = newest + 1
	}
	group := r.slots()
	position := uint64(group.position(r.cfg.Self))
	for term%uint64(len(group)) != position {
		term++
	}
	return term
}

// requestGrants sends requests to the members of all slots that have not granted, and to the
// other peers, one of which may be a voter of a newer group.
func (r *quorumRecovery) requestGrants() {
	r.requestedAt = r.now
	for _, id := range r.otherMembers() {
		if r.granted.includes(id) {
			continue
		}
		r.send(id, Message{
			Type:      MessageRecoveryRequest,
			Term:      r.term,
			Index:     r.log.lastIndex(),
			IndexTerm: r.log.lastTerm(),
			PreVote:   r.term == 0,
		})
	}
}

func (r *quorumRecovery) stop() {
	r.term = 0
	r.granted = nil
}

// stopUntil ends the attempt; another one may begin at retryAt.
func (r *quorumRecovery) stopUntil(retryAt time.Duration) {
	r.stop()
	r.retryAt = retryAt
}

// raiseTermFloor records a term that was in use.
func (r *quorumRecovery) raiseTermFloor(term uint64) {
	r.termFloor = max(r.termFloor, term)
}

// won reports whether all required members have granted the recovery term.
func (r *quorumRecovery) won() bool {
	return r.isCurrent() && r.grantedByAll()
}

// isCurrent reports whether the recovery term of this member is still the newest term that it
// knows.
func (r *quorumRecovery) isCurrent() bool {
	return r.term != 0 && r.term == r.hardState.Term && !r.election.leads()
}

// grantedByAll reports whether the members of all slots have granted. A member with an empty
// log knows only the founders, and therefore also waits for all peers: one of them may be a
// voter that was added later.
func (r *quorumRecovery) grantedByAll() bool {
	if !r.granted.includeSlots(r.slots()) {
		return false
	}
	return r.log.lastIndex() > 0 || r.granted.includePeers(r.peers)
}
