package replication

import (
	"slices"
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
// would grant a recovery term, then it requests the grants for term.
type quorumRecovery struct {
	// term is the recovery term that this member has begun, or 0.
	term uint64
	// startedAt is when term was begun.
	startedAt   time.Duration
	requestedAt time.Duration
	// retryAt is when the next attempt may begin.
	retryAt time.Duration
	granted grants
	// termFloor is the highest term that was heard of.
	termFloor uint64
	// lastTerm is the newest recovery term that this process has begun.
	lastTerm uint64
	// stateExpected tells that the group had a state, whatever the disks contain.
	stateExpected bool
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

// nextTerm is above newest, the highest term that is known, and is one that no other
// position among the slots chooses: of two recovery terms at a time one is higher,
// and wins.
func (r *quorumRecovery) nextTerm(newest uint64, position, slotCount int) uint64 {
	term := newest + recoveryTermStep
	if newest == r.lastTerm && newest > 0 {
		// This member's last recovery term was not granted, and is a step above the
		// others already.
		term = newest + 1
	}
	for term%uint64(slotCount) != uint64(position) {
		term++
	}
	return term
}

// grantedBySlots tells whether the members of all slots have granted.
func (r *quorumRecovery) grantedBySlots(group slots) bool {
	for _, slot := range group {
		if !r.granted.includes(slot.ID) {
			return false
		}
	}
	return true
}

// grantedByPeers tells whether all peers have granted that have not announced that
// they stop.
func (r *quorumRecovery) grantedByPeers(peers peerSet) bool {
	for _, peer := range peers {
		if !peer.Left && !r.granted.includes(peer.ID) {
			return false
		}
	}
	return true
}

// grantedByMajority tells whether the incarnations that granted are a majority of
// those that vote.
func (r *quorumRecovery) grantedByMajority(group slots) bool {
	granted := 0
	for _, voter := range group.voters() {
		if slices.Contains(r.granted, voter) {
			granted++
		}
	}
	return granted >= group.quorum()
}

// recovered returns the group with each slot given to the incarnation that has
// granted the recovery term, with a vote.
func (r *quorumRecovery) recovered(group slots) slots {
	recovered := slices.Clone(group)
	for _, voter := range r.granted {
		if position := recovered.position(voter.ID); position >= 0 {
			recovered[position] = Slot{Voter: voter}
		}
	}
	return recovered
}

// ExpectState tells that the group had a state before. Without that, members whose
// logs are empty recover no group: they may be those of a new deployment that was
// not set up, and a lost one would be opened as if it were new.
func (g *Group) ExpectState() { g.recovery.stateExpected = true }

// RaiseTermFloor tells that a term was in use in this group. Recovery terms lie
// above it.
func (g *Group) RaiseTermFloor(term uint64) {
	g.recovery.termFloor = max(g.recovery.termFloor, term)
}

// RecoveryTerm returns the recovery term that this member has begun, or zero. It is
// won when all members of the group have granted it, and then wait for
// RecoverQuorum.
func (g *Group) RecoveryTerm() (term uint64, won bool) {
	return g.recovery.term, g.recoveryTermWon()
}

// RaiseRecoveryTerm begins another recovery term above a term that was in use, if
// the one that this member has won does not lie above it.
func (g *Group) RaiseRecoveryTerm(term uint64) {
	g.RaiseTermFloor(term)
	if g.recoveryTermWon() && g.recovery.term <= term {
		g.recovery.lastTerm = 0
		g.startRecoveryTerm()
	}
}

// Unapplied returns the entries that the state machine above has not applied,
// whether they are committed or not. A group that is recovered keeps them.
func (g *Group) Unapplied() []Entry {
	return slices.Clone(g.log.slice(g.log.applied+1, g.log.lastIndex()))
}

// RecoverQuorum makes this member the leader of a group of the present incarnations
// of all slots, under the recovery term that it has won. State replaces that of the
// state machine above; a member that knows the new group has the state too, as its
// entry comes first. It fails with a *RecoveryTermError.
func (g *Group) RecoverQuorum(now time.Duration, term uint64, state []byte) error {
	g.advanceClock(now)
	if !g.recoveryTermWon() || g.recovery.term != term {
		return &RecoveryTermError{Term: term}
	}
	group := g.recovery.recovered(g.slots())
	if g.log.lastIndex() == 0 {
		g.log.appendNew(g.hard.Term, EntryGroupChange, encodeSlots(g.slots()))
	}
	g.log.appendNew(g.hard.Term, EntryRestore, state)
	g.log.appendNew(g.hard.Term, EntryGroupChange, encodeSlots(group))
	// A recovery term forms one group only: the term may outlast this leadership.
	g.recovery.stopUntil(g.now + g.cfg.HeartbeatEvery)
	g.becomeLeader()
	return nil
}

// recoveryTermCurrent tells whether a recovery term of this member is still the
// newest term.
func (g *Group) recoveryTermCurrent() bool {
	return g.recovery.term != 0 && g.recovery.term == g.hard.Term && g.election.role() != RoleLeader
}

// recoveryTermWon tells whether all have granted the recovery term.
func (g *Group) recoveryTermWon() bool {
	return g.recoveryTermCurrent() && g.recoveryGrantedByAll()
}

// recoveryGrantedByAll tells whether the members of all slots have granted. A member
// with an empty log knows the founders only, and waits for all peers: one of them may
// be a later voter.
func (g *Group) recoveryGrantedByAll() bool {
	if !g.recovery.grantedBySlots(g.slots()) {
		return false
	}
	return g.log.lastIndex() > 0 || g.recovery.grantedByPeers(g.peers)
}

// tickRecovery asks, while no leader is heard, whether the group must be recovered:
// one slot after the other. It is true while a recovery term of this member awaits its
// grants, which rules out an election.
func (g *Group) tickRecovery() bool {
	position := g.slots().position(g.cfg.Self)
	hasState := g.recovery.stateExpected || g.log.lastIndex() > 0
	if g.cfg.Learner || g.election.hasLiveLeader() || position < 0 || !hasState {
		g.recovery.stop()
		return false
	}
	if g.recovery.term != 0 {
		return g.tickRecoveryTerm()
	}
	wait := recoveryTimeouts*g.cfg.ElectionTimeout + time.Duration(position)*g.cfg.ElectionTimeout/2
	dueAt := max(g.election.timer.waitFrom+wait, g.recovery.retryAt)
	if g.now >= dueAt && g.now >= g.recovery.requestedAt+g.cfg.ElectionTimeout {
		// What was granted before may be untrue by now.
		g.recovery.granted = grants{g.self()}
		g.requestRecoveryGrants()
		g.countRecoveryGrants()
	}
	return false
}

// tickRecoveryTerm repeats the requests, and gives a recovery term up that another
// term has overtaken or that is not granted in time.
func (g *Group) tickRecoveryTerm() bool {
	if !g.recoveryTermCurrent() || g.now >= g.recovery.startedAt+recoveryTimeouts*g.cfg.ElectionTimeout {
		g.recovery.stopUntil(g.now + g.cfg.HeartbeatEvery)
		return false
	}
	if !g.recoveryTermWon() && g.now >= g.recovery.requestedAt+g.cfg.HeartbeatEvery {
		g.requestRecoveryGrants()
	}
	return true
}

// startRecoveryTerm begins a recovery term and votes for this member itself. The
// vote counts once it is durable, see acknowledgeSelf.
func (g *Group) startRecoveryTerm() {
	group := g.slots()
	newest := max(g.hard.Term, g.recovery.termFloor)
	term := g.recovery.nextTerm(newest, group.position(g.cfg.Self), len(group))
	g.election.voteForSelf(term)
	g.recovery.term = term
	g.recovery.lastTerm = term
	g.recovery.startedAt = g.now
	g.recovery.granted = nil
	g.requestRecoveryGrants()
}

// requestRecoveryGrants asks the members of all slots that have not granted, and the
// other peers, one of which may be a voter of a newer group.
func (g *Group) requestRecoveryGrants() {
	g.recovery.requestedAt = g.now
	for _, id := range g.otherMembers() {
		if g.recovery.granted.includes(id) {
			continue
		}
		g.send(id, Message{
			Type:      MessageRecoveryRequest,
			Term:      g.recovery.term,
			Index:     g.log.lastIndex(),
			IndexTerm: g.log.lastTerm(),
			PreVote:   g.recovery.term == 0,
		})
	}
}

// stepRecoveryRequest grants a recovery term to a log that is up to date, durably
// before the reply leaves. The term of the reply is the highest one that was seen
// here.
func (g *Group) stepRecoveryRequest(from member.ID, m Message) {
	granted := !g.cfg.Learner && g.log.isUpToDate(m.Index, m.IndexTerm)
	if m.PreVote {
		granted = granted && !g.election.hasLiveLeader()
	} else {
		granted = granted && g.election.grantVote(from, m)
	}
	reply := Message{Type: MessageRecoveryReply, Term: g.hard.Term, PreVote: m.PreVote, Reject: !granted}
	if g.slots().votes(g.self()) {
		reply.Index, reply.IndexTerm = g.log.lastIndex(), g.log.lastTerm()
	}
	g.send(from, reply)
}

// stepRecoveryReply counts a grant. A reply of a voter with a newer log leaves the
// recovery to that voter: this member may not know the newest group, and so not all
// whose grant is needed.
func (g *Group) stepRecoveryReply(from member.ID, m Message) {
	if !g.recognizes(from) {
		return
	}
	g.RaiseTermFloor(m.Term)
	if !g.log.isNewest(m.Index, m.IndexTerm) {
		if g.recovery.term != 0 || len(g.recovery.granted) > 0 {
			g.recovery.stopUntil(g.now + recoveryTimeouts*g.cfg.ElectionTimeout)
		}
		return
	}
	requesting := m.PreVote == (g.recovery.term == 0) && len(g.recovery.granted) > 0
	if m.Reject || !requesting || g.election.hasLiveLeader() {
		return
	}
	if !m.PreVote && (!g.recoveryTermCurrent() || m.Term != g.recovery.term) {
		return
	}
	g.addRecoveryGrant(Voter{ID: from, Incarnation: m.Incarnation})
}

func (g *Group) addRecoveryGrant(from Voter) {
	if !g.recovery.granted.includes(from.ID) {
		g.recovery.granted = append(g.recovery.granted, from)
		g.countRecoveryGrants()
	}
}

// countRecoveryGrants decides, when the members of all slots have granted, whether
// the group must be recovered. By then this member's log is known to be the newest,
// and so is the group that it tells of.
func (g *Group) countRecoveryGrants() {
	if !g.recoveryGrantedByAll() {
		return
	}
	switch {
	case g.recovery.grantedByMajority(g.slots()):
		// An election can do it.
		g.recovery.stop()
	case g.recovery.term == 0:
		g.startRecoveryTerm()
	}
}
