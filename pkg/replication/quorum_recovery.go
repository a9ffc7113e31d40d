package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// A group that lost the durable state of a majority of its voters can elect
// nobody any more. It is formed anew under a ballot, a term that is promised
// not by a majority but by the present incarnation of every place. Then each
// incarnation that may ever have voted either has promised the ballot, and
// takes no part in lower terms, or is one that its member has replaced, and is
// gone for good. Since each promise is granted only to a log that is up to
// date, the member that wins the ballot holds all that survived.

const (
	// recoveryTimeouts is how many election timeouts pass without a leader before
	// a member asks whether the group has to be formed anew, and how many a
	// ballot may take.
	recoveryTimeouts = 3
	// recoveryTermStep is how far a ballot lies above all terms that are known, so
	// that it is above those too that only lost disks knew.
	recoveryTermStep = 1 << 16
)

// quorumRecovery is what a member knows of the need to form the group anew.
type quorumRecovery struct {
	// term is the own one, or 0 while the member only asks.
	term uint64
	// startedAt is when the ballot began.
	startedAt   time.Duration
	requestedAt time.Duration
	// retryAt is when the next attempt may begin.
	retryAt time.Duration
	granted []Voter
	// termFloor is the highest term that was heard of.
	termFloor uint64
	// lastTerm is the newest ballot that this process began.
	lastTerm uint64
	// stateExpected tells that the group had a state, whatever the disks hold.
	stateExpected bool
}

// ExpectState tells that the group had a state before. Without that, members
// whose logs are empty form no group: they may be those of a new deployment that
// was not set up, and a lost one would be opened as if it were new.
func (g *Group) ExpectState() { g.recovery.stateExpected = true }

// RaiseTermFloor tells that a term was in use in this group. Ballots lie
// above it.
func (g *Group) RaiseTermFloor(term uint64) {
	g.recovery.termFloor = max(g.recovery.termFloor, term)
}

// Term returns the ballot under which all members of the group wait for Reform.
func (g *Group) RecoveryTerm() (term uint64, won bool) {
	return g.recovery.term, g.recoveryTermWon()
}

func (g *Group) recoveryTermWon() bool {
	return g.recoveryTermCurrent() && g.recoveryGrantedByAll()
}

// recoveryGrantedByAll tells whether all places have granted. A member with an empty log
// knows the founders only, and waits for all peers: one may be a later voter.
func (g *Group) recoveryGrantedByAll() bool {
	for _, slot := range g.slots() {
		if !g.recoveryGrantedBy(slot.ID) {
			return false
		}
	}
	return g.log.lastIndex() > 0 || !slices.ContainsFunc(g.peers, func(peer Peer) bool {
		return !peer.Left && !g.recoveryGrantedBy(peer.ID)
	})
}

// recoveryTermCurrent tells whether a ballot of this member is still the newest term.
func (g *Group) recoveryTermCurrent() bool {
	return g.recovery.term != 0 && g.recovery.term == g.hard.Term && g.role != RoleLeader
}

// RaiseRecoveryTerm begins another ballot above a term that was in use, if one that
// this member has won does not lie above it.
func (g *Group) RaiseRecoveryTerm(term uint64) {
	g.RaiseTermFloor(term)
	if g.recoveryTermWon() && g.recovery.term <= term {
		g.recovery.lastTerm = 0
		g.startRecoveryTerm()
	}
}

// abandonRecoveryTerm gives a ballot up. Another one follows.
func (g *Group) abandonRecoveryTerm() {
	g.recovery.term = 0
	g.recovery.granted = nil
	g.recovery.retryAt = g.now + g.cfg.HeartbeatEvery
}

// BarrierApplied tells whether this member leads the group and has applied all
// that was there when it took the leadership.
func (g *Group) BarrierApplied() bool {
	return g.role == RoleLeader && g.log.applied >= g.leadership.barrier
}

// Unapplied returns the entries that the state machine above has not applied,
// whether they are committed or not. A group that is formed anew keeps them.
func (g *Group) Unapplied() []Entry {
	return slices.Clone(g.log.slice(g.log.applied+1, g.log.lastIndex()))
}

// RecoverQuorum forms the group anew, from the present incarnations of all places,
// under the ballot that this member has won. State replaces that of the state
// machine above; who knows the new group knows the state too, as its entry
// comes first. It fails with a *RecoveryTermError.
func (g *Group) RecoverQuorum(now time.Duration, term uint64, state []byte) error {
	g.advanceClock(now)
	if !g.recoveryTermWon() || g.recovery.term != term {
		return &RecoveryTermError{Term: term}
	}
	group := g.recoveredSlots()
	if g.log.lastIndex() == 0 {
		g.appendEntry(EntryGroupChange, encodeSlots(g.slots()))
	}
	g.appendEntry(EntryRestore, state)
	g.appendEntry(EntryGroupChange, encodeSlots(group))
	// A ballot forms one group only: the term may outlast this leadership.
	g.abandonRecoveryTerm()
	g.becomeLeader()
	return nil
}

// recoveredSlots gives every place to the incarnation that has granted the ballot.
func (g *Group) recoveredSlots() slots {
	group := slices.Clone(g.slots())
	for _, voter := range g.recovery.granted {
		if position := group.position(voter.ID); position >= 0 {
			group[position] = Slot{Voter: voter}
		}
	}
	return group
}

// tickRecovery asks, while no leader is heard, whether the group has to be formed
// anew. It is true while a ballot of this member is open, which leaves no room
// for an election.
func (g *Group) tickRecovery() bool {
	if !g.mayRecoverQuorum() {
		g.recovery.granted = nil
		g.recovery.term = 0
		return false
	}
	if g.recovery.term != 0 {
		return g.tickRecoveryTerm()
	}
	if g.now >= g.recoveryDueAt() && g.now >= g.recovery.requestedAt+g.cfg.ElectionTimeout {
		// What was granted earlier may be untrue by now.
		g.recovery.granted = []Voter{g.self()}
		g.requestRecoveryGrants()
		g.countRecoveryGrants()
	}
	return false
}

func (g *Group) mayRecoverQuorum() bool {
	if g.cfg.Learner || g.hasLiveLeader() || g.slots().position(g.cfg.Self) < 0 {
		return false
	}
	return g.recovery.stateExpected || g.log.lastIndex() > 0
}

// recoveryDueAt is when this member may ask: one place after the other.
func (g *Group) recoveryDueAt() time.Duration {
	rank := time.Duration(g.slots().position(g.cfg.Self))
	wait := recoveryTimeouts*g.cfg.ElectionTimeout + rank*g.cfg.ElectionTimeout/2
	return max(g.election.waitFrom+wait, g.recovery.retryAt)
}

func (g *Group) tickRecoveryTerm() bool {
	if !g.recoveryTermCurrent() || g.now >= g.recovery.startedAt+recoveryTimeouts*g.cfg.ElectionTimeout {
		g.abandonRecoveryTerm()
		return false
	}
	if !g.recoveryTermWon() && g.now >= g.recovery.requestedAt+g.cfg.HeartbeatEvery {
		g.requestRecoveryGrants()
	}
	return true
}

// requestRecoveryGrants asks every place that has not granted, and the other peers, one of
// which may be a voter of a newer group.
func (g *Group) requestRecoveryGrants() {
	g.recovery.requestedAt = g.now
	for _, id := range g.otherMembers() {
		if g.recoveryGrantedBy(id) {
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

func (g *Group) recoveryGrantedBy(id member.ID) bool {
	return slices.ContainsFunc(g.recovery.granted, func(voter Voter) bool { return voter.ID == id })
}

// stepRecoveryRequest promises a ballot to a log that is up to date, durably
// before the answer leaves. The term of the answer is the highest one that was
// seen here.
func (g *Group) stepRecoveryRequest(from member.ID, m Message) {
	granted := !g.cfg.Learner && g.log.isUpToDate(m.Index, m.IndexTerm)
	switch {
	case m.PreVote:
		granted = granted && !g.hasLiveLeader()
	default:
		granted = granted && g.grantVote(from, m)
	}
	reply := Message{Type: MessageRecoveryReply, Term: g.hard.Term, PreVote: m.PreVote, Reject: !granted}
	if g.slots().votes(g.self()) {
		reply.Index, reply.IndexTerm = g.log.lastIndex(), g.log.lastTerm()
	}
	g.send(from, reply)
}

func (g *Group) stepRecoveryReply(from member.ID, m Message) {
	if !g.recognizes(from) {
		return
	}
	g.RaiseTermFloor(m.Term)
	if !g.log.isNewest(m.Index, m.IndexTerm) {
		g.yieldRecovery()
		return
	}
	requesting := m.PreVote == (g.recovery.term == 0) && len(g.recovery.granted) > 0
	if m.Reject || !requesting || g.hasLiveLeader() {
		return
	}
	if !m.PreVote && (!g.recoveryTermCurrent() || m.Term != g.recovery.term) {
		return
	}
	g.addRecoveryGrant(Voter{ID: from, Incarnation: m.Incarnation})
}

// yieldRecovery leaves it to a voter with a newer log to form the group anew: this
// member may not know the newest group, and so not all whose promise is needed.
func (g *Group) yieldRecovery() {
	if g.recovery.term != 0 || len(g.recovery.granted) > 0 {
		g.abandonRecoveryTerm()
		g.recovery.retryAt = g.now + recoveryTimeouts*g.cfg.ElectionTimeout
	}
}

func (g *Group) addRecoveryGrant(from Voter) {
	if !g.recoveryGrantedBy(from.ID) {
		g.recovery.granted = append(g.recovery.granted, from)
		g.countRecoveryGrants()
	}
}

// countRecoveryGrants finds out, when all places have granted, whether the group has to
// be formed anew: this member's log is the newest, and so is the group that it
// tells of.
func (g *Group) countRecoveryGrants() {
	if !g.recoveryGrantedByAll() {
		return
	}
	switch {
	case g.majorityPresent():
		// An election can do it.
		g.recovery.granted = nil
		g.recovery.term = 0
	case g.recovery.term == 0:
		g.startRecoveryTerm()
	}
}

// majorityPresent tells whether the incarnations that granted are a majority of
// those that vote.
func (g *Group) majorityPresent() bool {
	present := 0
	for _, voter := range g.slots().voters() {
		if slices.Contains(g.recovery.granted, voter) {
			present++
		}
	}
	return present >= g.quorum()
}

// startRecoveryTerm promises a ballot to this member itself. The own promise counts
// when it is durable.
func (g *Group) startRecoveryTerm() {
	term := g.nextRecoveryTerm()
	g.becomeFollower(term, "")
	g.hard.VotedFor = g.cfg.Self
	g.hard.VotedForIncarnation = g.cfg.Incarnation
	g.election.waitFrom = g.now
	g.recovery.term = term
	g.recovery.lastTerm = term
	g.recovery.startedAt = g.now
	g.recovery.granted = nil
	g.requestRecoveryGrants()
}

// nextRecoveryTerm is above all that is known, and is one that no other place chooses:
// of two ballots at a time one is higher, and wins.
func (g *Group) nextRecoveryTerm() uint64 {
	newest := max(g.hard.Term, g.recovery.termFloor)
	term := newest + recoveryTermStep
	if newest == g.recovery.lastTerm && newest > 0 {
		// The own ballot came to nothing, and has made the step.
		term = newest + 1
	}
	slotCount := uint64(len(g.slots()))
	rank := uint64(g.slots().position(g.cfg.Self))
	for term%slotCount != rank {
		term++
	}
	return term
}

// acknowledgeSelfRecovery lets this member's own promise count, as it is durable now.
func (g *Group) acknowledgeSelfRecovery(ready *Ready) {
	hard := ready.HardState
	if hard == nil || !g.recoveryTermCurrent() || hard.Term != g.recovery.term {
		return
	}
	if hard.VotedFor == g.cfg.Self && hard.VotedForIncarnation == g.cfg.Incarnation {
		g.addRecoveryGrant(g.self())
	}
}
