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
	// reformTimeouts is how many election timeouts pass without a leader before
	// a member asks whether the group has to be formed anew, and how many a
	// ballot may take.
	reformTimeouts = 3
	// ballotStep is how far a ballot lies above all terms that are known, so
	// that it is above those too that only lost disks knew.
	ballotStep = 1 << 16
)

// reformation is what a member knows of the need to form the group anew.
type reformation struct {
	// ballot is the own one, or 0 while the member only asks.
	ballot uint64
	// startedAt is when the ballot began.
	startedAt time.Duration
	askedAt   time.Duration
	// retryAt is when the next attempt may begin.
	retryAt time.Duration
	granted []Voter
	// floor is the highest term that was heard of.
	floor uint64
	// lastBallot is the newest ballot that this process began.
	lastBallot uint64
	// stateExpected tells that the group had a state, whatever the disks hold.
	stateExpected bool
}

// ExpectState tells that the group had a state before. Without that, members
// whose logs are empty form no group: they may be those of a new deployment that
// was not set up, and a lost one would be opened as if it were new.
func (g *Group) ExpectState() { g.reform.stateExpected = true }

// RaiseTermFloor tells that a term was in use in this group. Ballots lie
// above it.
func (g *Group) RaiseTermFloor(term uint64) {
	g.reform.floor = max(g.reform.floor, term)
}

// Ballot returns the ballot under which all members of the group wait for Reform.
func (g *Group) Ballot() (ballot uint64, won bool) {
	return g.reform.ballot, g.ballotWon()
}

func (g *Group) ballotWon() bool {
	return g.ownBallot() && g.allGranted()
}

// allGranted tells whether all places have granted. A member with an empty log
// knows the founders only, and waits for all peers: one may be a later voter.
func (g *Group) allGranted() bool {
	for _, place := range g.places() {
		if !g.ballotGrantedBy(place.ID) {
			return false
		}
	}
	return g.log.lastIndex() > 0 || !slices.ContainsFunc(g.peers, func(peer Peer) bool {
		return !peer.Left && !g.ballotGrantedBy(peer.ID)
	})
}

// ownBallot tells whether a ballot of this member is still the newest term.
func (g *Group) ownBallot() bool {
	return g.reform.ballot != 0 && g.reform.ballot == g.hard.Term && g.role != RoleLeader
}

// RaiseBallot begins another ballot above a term that was in use, if one that
// this member has won does not lie above it.
func (g *Group) RaiseBallot(term uint64) {
	g.RaiseTermFloor(term)
	if g.ballotWon() && g.reform.ballot <= term {
		g.reform.lastBallot = 0
		g.startBallot()
	}
}

// abandonBallot gives a ballot up. Another one follows.
func (g *Group) abandonBallot() {
	g.reform.ballot = 0
	g.reform.granted = nil
	g.reform.retryAt = g.now + g.cfg.HeartbeatEvery
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

// Reform forms the group anew, from the present incarnations of all places,
// under the ballot that this member has won. State replaces that of the state
// machine above; who knows the new group knows the state too, as its entry
// comes first. It fails with a *BallotError.
func (g *Group) Reform(now time.Duration, ballot uint64, state []byte) error {
	g.observe(now)
	if !g.ballotWon() || g.reform.ballot != ballot {
		return &BallotError{Ballot: ballot}
	}
	group := g.presentGroup()
	if g.log.lastIndex() == 0 {
		g.appendOwn(EntryGroupChange, encodePlaces(g.places()))
	}
	g.appendOwn(EntryRestore, state)
	g.appendOwn(EntryGroupChange, encodePlaces(group))
	// A ballot forms one group only: the term may outlast this leadership.
	g.abandonBallot()
	g.takeLeadership()
	return nil
}

// presentGroup gives every place to the incarnation that has granted the ballot.
func (g *Group) presentGroup() places {
	group := slices.Clone(g.places())
	for _, voter := range g.reform.granted {
		if position := group.position(voter.ID); position >= 0 {
			group[position] = Place{Voter: voter}
		}
	}
	return group
}

// tickReform asks, while no leader is heard, whether the group has to be formed
// anew. It is true while a ballot of this member is open, which leaves no room
// for an election.
func (g *Group) tickReform() bool {
	if !g.mayReform() {
		g.reform.granted = nil
		g.reform.ballot = 0
		return false
	}
	if g.reform.ballot != 0 {
		return g.tickBallot()
	}
	if g.now >= g.reformFrom() && g.now >= g.reform.askedAt+g.cfg.ElectionTimeout {
		// What was granted earlier may be untrue by now.
		g.reform.granted = []Voter{g.self()}
		g.askForBallot()
		g.countGrants()
	}
	return false
}

func (g *Group) mayReform() bool {
	if g.cfg.Learner || g.hearsLiveLeader() || g.places().position(g.cfg.Self) < 0 {
		return false
	}
	return g.reform.stateExpected || g.log.lastIndex() > 0
}

// reformFrom is when this member may ask: one place after the other.
func (g *Group) reformFrom() time.Duration {
	rank := time.Duration(g.places().position(g.cfg.Self))
	wait := reformTimeouts*g.cfg.ElectionTimeout + rank*g.cfg.ElectionTimeout/2
	return max(g.election.waitFrom+wait, g.reform.retryAt)
}

func (g *Group) tickBallot() bool {
	if !g.ownBallot() || g.now >= g.reform.startedAt+reformTimeouts*g.cfg.ElectionTimeout {
		g.abandonBallot()
		return false
	}
	if !g.ballotWon() && g.now >= g.reform.askedAt+g.cfg.HeartbeatEvery {
		g.askForBallot()
	}
	return true
}

// askForBallot asks every place that has not granted, and the other peers, one of
// which may be a voter of a newer group.
func (g *Group) askForBallot() {
	g.reform.askedAt = g.now
	for _, id := range g.others() {
		if g.ballotGrantedBy(id) {
			continue
		}
		g.send(id, Message{
			Type:      MessageBallotRequest,
			Term:      g.reform.ballot,
			Index:     g.log.lastIndex(),
			IndexTerm: g.log.lastTerm(),
			Trial:     g.reform.ballot == 0,
		})
	}
}

func (g *Group) ballotGrantedBy(id member.ID) bool {
	return slices.ContainsFunc(g.reform.granted, func(voter Voter) bool { return voter.ID == id })
}

// stepBallotRequest promises a ballot to a log that is up to date, durably
// before the answer leaves. The term of the answer is the highest one that was
// seen here.
func (g *Group) stepBallotRequest(from member.ID, m Message) {
	granted := !g.cfg.Learner && g.log.isUpToDate(m.Index, m.IndexTerm)
	switch {
	case m.Trial:
		granted = granted && !g.hearsLiveLeader()
	default:
		granted = granted && g.promise(from, m)
	}
	reply := Message{Type: MessageBallotReply, Term: g.hard.Term, Trial: m.Trial, Reject: !granted}
	if g.places().votes(g.self()) {
		reply.Index, reply.IndexTerm = g.log.lastIndex(), g.log.lastTerm()
	}
	g.send(from, reply)
}

func (g *Group) stepBallotReply(from member.ID, m Message) {
	if !g.knows(from) {
		return
	}
	g.RaiseTermFloor(m.Term)
	if !g.log.isNewest(m.Index, m.IndexTerm) {
		g.yieldBallot()
		return
	}
	asking := m.Trial == (g.reform.ballot == 0) && len(g.reform.granted) > 0
	if m.Reject || !asking || g.hearsLiveLeader() {
		return
	}
	if !m.Trial && (!g.ownBallot() || m.Term != g.reform.ballot) {
		return
	}
	g.addGrant(Voter{ID: from, Incarnation: m.Incarnation})
}

// yieldBallot leaves it to a voter with a newer log to form the group anew: this
// member may not know the newest group, and so not all whose promise is needed.
func (g *Group) yieldBallot() {
	if g.reform.ballot != 0 || len(g.reform.granted) > 0 {
		g.abandonBallot()
		g.reform.retryAt = g.now + reformTimeouts*g.cfg.ElectionTimeout
	}
}

func (g *Group) addGrant(from Voter) {
	if !g.ballotGrantedBy(from.ID) {
		g.reform.granted = append(g.reform.granted, from)
		g.countGrants()
	}
}

// countGrants finds out, when all places have granted, whether the group has to
// be formed anew: this member's log is the newest, and so is the group that it
// tells of.
func (g *Group) countGrants() {
	if !g.allGranted() {
		return
	}
	switch {
	case g.majorityPresent():
		// An election can do it.
		g.reform.granted = nil
		g.reform.ballot = 0
	case g.reform.ballot == 0:
		g.startBallot()
	}
}

// majorityPresent tells whether the incarnations that granted are a majority of
// those that vote.
func (g *Group) majorityPresent() bool {
	present := 0
	for _, voter := range g.places().voters() {
		if slices.Contains(g.reform.granted, voter) {
			present++
		}
	}
	return present >= g.quorum()
}

// startBallot promises a ballot to this member itself. The own promise counts
// when it is durable.
func (g *Group) startBallot() {
	ballot := g.nextBallot()
	g.rest(ballot, "")
	g.hard.PromisedTo = g.cfg.Self
	g.hard.PromisedIncarnation = g.cfg.Incarnation
	g.election.waitFrom = g.now
	g.reform.ballot = ballot
	g.reform.lastBallot = ballot
	g.reform.startedAt = g.now
	g.reform.granted = nil
	g.askForBallot()
}

// nextBallot is above all that is known, and is one that no other place chooses:
// of two ballots at a time one is higher, and wins.
func (g *Group) nextBallot() uint64 {
	newest := max(g.hard.Term, g.reform.floor)
	ballot := newest + ballotStep
	if newest == g.reform.lastBallot && newest > 0 {
		// The own ballot came to nothing, and has made the step.
		ballot = newest + 1
	}
	places := uint64(len(g.places()))
	rank := uint64(g.places().position(g.cfg.Self))
	for ballot%places != rank {
		ballot++
	}
	return ballot
}

// countOwnBallot lets this member's own promise count, as it is durable now.
func (g *Group) countOwnBallot(ready *Ready) {
	hard := ready.HardState
	if hard == nil || !g.ownBallot() || hard.Term != g.reform.ballot {
		return
	}
	if hard.PromisedTo == g.cfg.Self && hard.PromisedIncarnation == g.cfg.Incarnation {
		g.addGrant(g.self())
	}
}
