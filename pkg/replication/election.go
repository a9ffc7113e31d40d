package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/lease"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// SetSuspected tells which members are thought to be down, for instance by the
// membership. It shortens the wait of later members in the agreed order and
// has no bearing on safety.
func (g *Group) SetSuspected(suspected []member.ID) {
	g.election.suspected = slices.Clone(suspected)
}

// electionWait is ElectionTimeout*(1 + i/2) for the i-th live voter in the
// agreed order, so that the voters campaign one after the other.
func (g *Group) electionWait() time.Duration {
	return g.cfg.ElectionTimeout + time.Duration(g.electionRank())*g.cfg.ElectionTimeout/2
}

// electionRank counts the live voters before this one in the agreed order.
func (g *Group) electionRank() int {
	rank := 0
	for _, id := range g.log.groups.latest().voterIDs {
		if id == g.cfg.Self {
			break
		}
		if id == g.election.lostLeader || slices.Contains(g.election.suspected, id) {
			continue
		}
		rank++
	}
	return rank
}

func (g *Group) tickElection() {
	if g.role == RoleCandidate && g.now >= g.election.askedAt+g.cfg.HeartbeatEvery {
		g.askForPromises()
	}
	if !g.electionDue() {
		return
	}
	if g.role == RoleCandidate && g.election.trial {
		return
	}
	g.startTrial()
}

// electionDue tells whether this voter has waited its turn, or should step in for
// a voter that can't win.
func (g *Group) electionDue() bool {
	if g.now >= g.election.waitFrom+g.electionWait() {
		return true
	}
	if !g.election.stepIn || g.hearsLiveLeader() {
		return false
	}
	return g.now >= g.election.stepInFrom+time.Duration(g.electionRank())*g.cfg.HeartbeatEvery
}

// noteHopelessTrial takes in that a voter with an earlier turn asks for promises
// which it can't get, since its log lacks entries of this one. The voters that hold
// them then follow each other by HeartbeatEvery in place of their whole turns.
func (g *Group) noteHopelessTrial(m Message) {
	hopeless := g.role == RoleFollower && !g.hearsLiveLeader() && !g.log.isUpToDate(m.Index, m.IndexTerm)
	if !hopeless || g.election.stepIn {
		return
	}
	g.election.stepIn = true
	g.election.stepInFrom = g.now
}

// hearsLiveLeader tells whether an election would disturb a working leader.
func (g *Group) hearsLiveLeader() bool {
	if g.role == RoleLeader {
		return true
	}
	return g.leader != "" && g.now < g.election.leaderContact+g.cfg.ElectionTimeout
}

// startTrial asks whether a campaign could be won, without raising any term.
// It goes on until it is won or a leader is heard.
func (g *Group) startTrial() {
	g.rest(g.hard.Term, "")
	g.role = RoleCandidate
	g.election.trial = true
	g.askForPromises()
	g.countPromises()
}

// campaign raises the term and promises it to itself. The own promise counts
// when it is durable.
func (g *Group) campaign(handover bool) {
	g.rest(g.hard.Term+1, "")
	g.hard.PromisedTo = g.cfg.Self
	g.hard.PromisedIncarnation = g.cfg.Incarnation
	g.role = RoleCandidate
	g.election.handover = handover
	g.election.waitFrom = g.now
	// If this campaign fails, the members that campaign at the same time must
	// not wait equally long again.
	g.election.lostLeader = ""
	g.askForPromises()
}

// askForPromises asks all voters that have not granted; a lost or premature
// request is so repaired by the next one.
func (g *Group) askForPromises() {
	g.election.askedAt = g.now
	g.election.rejected = nil
	term := g.hard.Term
	if g.election.trial {
		term++
		// What was granted earlier may be untrue by now: a voter may hear an
		// leader again.
		g.election.granted = []Voter{g.self()}
	}
	for _, id := range g.log.groups.latest().voterIDs {
		if id == g.cfg.Self || g.grantedBy(id) {
			continue
		}
		g.send(id, Message{
			Type:      MessagePromiseRequest,
			Term:      term,
			Index:     g.log.lastIndex(),
			IndexTerm: g.log.lastTerm(),
			Trial:     g.election.trial,
			Handover:  g.election.handover,
		})
	}
}

func (g *Group) stepPromiseRequest(from member.ID, m Message) {
	reply := Message{Type: MessagePromiseReply, Term: m.Term, Trial: m.Trial}
	switch {
	case g.cfg.Learner:
		reply.Learner = true
		reply.Reject = true
	case m.Trial:
		reply.Reject = !g.wouldPromise(m)
		g.noteHopelessTrial(m)
	default:
		reply.Reject = !g.promise(from, m)
	}
	if reply.Reject {
		reply.Term = g.hard.Term
	}
	g.send(from, reply)
}

func (g *Group) wouldPromise(m Message) bool {
	if m.Term <= g.hard.Term || g.hearsLiveLeader() {
		return false
	}
	return g.log.isUpToDate(m.Index, m.IndexTerm)
}

// promise grants a term to one member at most. The grant leaves in the Ready
// that carries it as HardState, and so after it is durable.
func (g *Group) promise(from member.ID, m Message) bool {
	if m.Term < g.hard.Term {
		return false
	}
	if m.Term > g.hard.Term {
		if g.hearsLiveLeader() && !m.Handover {
			return false
		}
		g.rest(m.Term, "")
	}
	if g.hard.PromisedTo == from && g.hard.PromisedIncarnation == m.Incarnation {
		return true
	}
	if g.hard.PromisedTo != "" || g.leader != "" {
		return false
	}
	if !g.log.isUpToDate(m.Index, m.IndexTerm) {
		return false
	}
	g.hard.PromisedTo = from
	g.hard.PromisedIncarnation = m.Incarnation
	g.election.waitFrom = g.now
	g.election.stepIn = false
	return true
}

// grantedBy tells whether the member has granted the present campaign.
func (g *Group) grantedBy(id member.ID) bool {
	return slices.ContainsFunc(g.election.granted, func(voter Voter) bool { return voter.ID == id })
}

func (g *Group) stepPromiseReply(from member.ID, m Message) {
	if !g.knows(from) {
		return
	}
	if m.Reject && m.Term > g.hard.Term {
		g.rest(m.Term, "")
		return
	}
	if g.role != RoleCandidate || m.Trial != g.election.trial {
		return
	}
	voter := Voter{ID: from, Incarnation: m.Incarnation}
	if !g.places().votes(voter) {
		// A promise counts only if nobody else can have been promised the term
		// by the same voter and it knows all that this voter acknowledged.
		return
	}
	if m.Reject {
		g.addRejection(voter)
		return
	}
	wanted := g.hard.Term
	if g.election.trial {
		wanted++
	}
	if m.Term != wanted || m.Learner {
		return
	}
	g.addPromise(voter)
}

func (g *Group) addPromise(from Voter) {
	if !slices.Contains(g.election.granted, from) {
		g.election.granted = append(g.election.granted, from)
	}
	g.countPromises()
}

// addRejection gives a campaign up that a majority refuses. A trial goes on,
// as its refusals pass when the voters miss the leader too.
func (g *Group) addRejection(from Voter) {
	if g.election.trial || slices.Contains(g.election.granted, from) {
		return
	}
	if !slices.Contains(g.election.rejected, from) {
		g.election.rejected = append(g.election.rejected, from)
	}
	if len(g.election.rejected) > len(g.places().voters())-g.quorum() {
		g.rest(g.hard.Term, "")
	}
}

func (g *Group) countPromises() {
	if len(g.election.granted) < g.quorum() {
		return
	}
	if g.election.trial {
		g.campaign(false)
		return
	}
	g.takeLeadership()
}

// takeLeadership begins the term with a barrier entry: its commit commits all
// entries that earlier terms left. In an empty log that entry tells of the
// founding voters, so that the log alone tells of the group from then on.
func (g *Group) takeLeadership() {
	g.rest(g.hard.Term, g.cfg.Self)
	g.role = RoleLeader
	g.election.lostLeader = ""
	g.leadership.progress = make(map[member.ID]*progress)
	g.trackOthers()
	g.leadership.holder = lease.NewHolder(g.cfg.leaseTiming())
	g.leadership.successor = lease.NewSuccessor(g.cfg.leaseTiming(), g.now)
	g.leadership.barrier = g.appendBarrier()
	g.startRound()
}

func (g *Group) appendBarrier() uint64 {
	if g.log.lastIndex() == 0 {
		return g.appendOwn(EntryGroupChange, encodePlaces(g.places()))
	}
	return g.appendOwn(EntryBarrier, nil)
}
