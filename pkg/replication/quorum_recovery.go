package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// A group that lost the durable state of a majority of its voters can elect nobody
// any more. It is recovered under a recovery term, which is granted not by a
// majority but by the present incarnation of every slot. Then each incarnation that
// may ever have voted either has granted the recovery term, and takes no part in
// lower terms, or is one that its member has replaced, and is gone for good. Since
// each grant is given only to a log that is up to date, the member that wins the
// recovery term has all that survived.

const (
	// recoveryTimeouts is how many election timeouts pass without a leader before a
	// member asks whether the group must be recovered, and how many a recovery term
	// may take to be granted.
	recoveryTimeouts = 3
	// recoveryTermStep is how far a recovery term lies above all terms that are
	// known, so that it is above those too that only lost disks knew.
	recoveryTermStep = 1 << 16
)

// quorumRecovery is this member's attempt to recover a group that lost its quorum.
// It has two phases, as an election has: with term zero the member only asks who
// would grant a recovery term, then it requests the grants for term. A recovery term
// is a term like any other, with one vote: the election keeps that.
type quorumRecovery struct {
	*memberState
	election *election
	// term is the recovery term that this member has begun, or 0.
	term uint64
	// startedAt is when term was begun.
	startedAt   time.Duration
	requestedAt time.Duration
	// retryAt is when the next attempt may begin.
	retryAt time.Duration
	granted grants
	// termFloor is the highest term that was heard of; recovery terms lie above it.
	termFloor uint64
	// lastBegunTerm is the newest recovery term that this process has begun; 0 if none, or
	// if that turned out to be no step above all terms that were in use.
	lastBegunTerm uint64
	// stateExpected tells that the group had a state, whatever the disks contain.
	stateExpected bool
}

// tick asks, once no leader has been heard for some time, whether the group must be
// recovered. The members begin one after the other, in the order of their slots. It is true
// while a recovery term of this member awaits its grants, which rules out an election.
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
		// What was granted before may be untrue by now.
		r.granted = grants{r.self()}
		r.requestGrants()
		r.countGrants()
	}
	return false
}

// tickTerm repeats the requests of a recovery term, and gives the term up if a later one
// was adopted since, or if it isn't granted in time. A term that is granted by all lapses
// as well unless RecoverQuorum uses it by then.
func (r *quorumRecovery) tickTerm() (awaitsGrants bool) {
	if !r.current() || r.now >= r.startedAt+recoveryTimeouts*r.cfg.ElectionTimeout {
		r.stopUntil(r.now + r.cfg.HeartbeatEvery)
		return false
	}
	if !r.won() && r.now >= r.requestedAt+r.cfg.HeartbeatEvery {
		r.requestGrants()
	}
	return true
}

// stepRequest grants a recovery term to a log that is up to date, durably before the
// reply leaves. The term of the reply is the highest one that was seen here. A voter states
// its log as well: the sender gives way to one whose log is newer (stepReply).
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

// stepReply counts a grant. A reply of a voter with a newer log leaves the recovery
// to that voter: this member may not know the newest group, and so not all whose
// grant is needed.
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
	if !m.PreVote && (!r.current() || m.Term != r.term) {
		return
	}
	r.addGrant(Voter{ID: from, Incarnation: m.Incarnation})
}

// restartAbove begins another recovery term above a term that was in use, if the one
// that this member has won does not lie above it.
func (r *quorumRecovery) restartAbove(term uint64) {
	r.raiseTermFloor(term)
	if r.won() && r.term <= term {
		r.lastBegunTerm = 0
		r.startTerm()
	}
}

// appendGroup appends the entries that begin the recovered group: the state, then the
// group of the incarnations that have granted. In this order, a member that knows the
// new group has the state too. An empty log gets the group before that first. A
// recovery term forms one group only, as the term may outlast the leadership.
func (r *quorumRecovery) appendGroup(state []byte) {
	group := r.slots()
	if r.log.lastIndex() == 0 {
		r.log.appendNew(r.hardState.Term, EntryGroupChange, encodeSlots(group))
	}
	r.log.appendNew(r.hardState.Term, EntryRestore, state)
	r.log.appendNew(r.hardState.Term, EntryGroupChange, encodeSlots(r.granted.recoveredGroup(group)))
	r.stopUntil(r.now + r.cfg.HeartbeatEvery)
}

// addGrant counts the first grant of a member.
func (r *quorumRecovery) addGrant(from Voter) {
	if !r.granted.includes(from.ID) {
		r.granted = append(r.granted, from)
		r.countGrants()
	}
}

// countGrants decides, when the members of all slots have granted, whether the group
// must be recovered. By then this member's log is known to be the newest, and so is
// the group that it tells of.
func (r *quorumRecovery) countGrants() {
	if !r.grantedByAll() {
		return
	}
	switch {
	case r.granted.includeMajority(r.slots()):
		// An election can do it.
		r.stop()
	case r.term == 0:
		r.startTerm()
	}
}

// startTerm begins a recovery term and votes for this member itself. The vote counts
// once it is durable, see Group.acknowledgeSelf.
func (r *quorumRecovery) startTerm() {
	term := r.nextTerm()
	r.election.voteForSelf(term)
	r.term = term
	r.lastBegunTerm = term
	r.startedAt = r.now
	r.granted = nil
	r.requestGrants()
}

// nextTerm is above the highest term that is known, and is one that no other position
// among the slots chooses: of two recovery terms at a time one is higher, and wins.
func (r *quorumRecovery) nextTerm() uint64 {
	newest := max(r.hardState.Term, r.termFloor)
	term := newest + recoveryTermStep
	if newest == r.lastBegunTerm && newest > 0 {
		// This member's last recovery term was not granted, and is a step above the
		// others already.
		term = newest + 1
	}
	group := r.slots()
	position := uint64(group.position(r.cfg.Self))
	for term%uint64(len(group)) != position {
		term++
	}
	return term
}

// requestGrants asks the members of all slots that have not granted, and the other
// peers, one of which may be a voter of a newer group.
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

// stop ends the attempt.
func (r *quorumRecovery) stop() {
	r.term = 0
	r.granted = nil
}

// stopUntil ends the attempt; another one follows.
func (r *quorumRecovery) stopUntil(retryAt time.Duration) {
	r.stop()
	r.retryAt = retryAt
}

// raiseTermFloor notes a term that was in use.
func (r *quorumRecovery) raiseTermFloor(term uint64) {
	r.termFloor = max(r.termFloor, term)
}

// won tells whether all have granted the recovery term.
func (r *quorumRecovery) won() bool {
	return r.current() && r.grantedByAll()
}

// current tells whether the recovery term of this member is still the newest term.
func (r *quorumRecovery) current() bool {
	return r.term != 0 && r.term == r.hardState.Term && !r.election.leads()
}

// grantedByAll tells whether the members of all slots have granted. A member with an
// empty log knows the founders only, and waits for all peers: one of them may be a
// later voter.
func (r *quorumRecovery) grantedByAll() bool {
	if !r.granted.includeSlots(r.slots()) {
		return false
	}
	return r.log.lastIndex() > 0 || r.granted.includePeers(r.peers)
}
