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
	if g.role == RoleCandidate && g.now >= g.election.requestedAt+g.cfg.HeartbeatEvery {
		g.requestVotes()
	}
	if !g.electionDue() {
		return
	}
	if g.role == RoleCandidate && g.election.preElection {
		return
	}
	g.startPreElection()
}

// electionDue tells whether this voter has waited its turn, or should step in for
// a voter that can't win.
func (g *Group) electionDue() bool {
	if g.now >= g.election.waitFrom+g.electionWait() {
		return true
	}
	if !g.election.candidateBehind || g.hasLiveLeader() {
		return false
	}
	return g.now >= g.election.candidateBehindSince+time.Duration(g.electionRank())*g.cfg.HeartbeatEvery
}

// observeHopelessCandidate takes in that a voter with an earlier turn asks for promises
// which it can't get, since its log lacks entries of this one. The voters that hold
// them then follow each other by HeartbeatEvery in place of their whole turns.
func (g *Group) observeHopelessCandidate(m Message) {
	hopeless := g.role == RoleFollower && !g.hasLiveLeader() && !g.log.isUpToDate(m.Index, m.IndexTerm)
	if !hopeless || g.election.candidateBehind {
		return
	}
	g.election.candidateBehind = true
	g.election.candidateBehindSince = g.now
}

// hasLiveLeader tells whether an election would disturb a working leader.
func (g *Group) hasLiveLeader() bool {
	if g.role == RoleLeader {
		return true
	}
	return g.leader != "" && g.now < g.election.leaderContact+g.cfg.ElectionTimeout
}

// startPreElection asks whether a campaign could be won, without raising any term.
// It goes on until it is won or a leader is heard.
func (g *Group) startPreElection() {
	g.becomeFollower(g.hard.Term, "")
	g.role = RoleCandidate
	g.election.preElection = true
	g.requestVotes()
	g.countGrants()
}

// campaign raises the term and promises it to itself. The own promise counts
// when it is durable.
func (g *Group) campaign(transfer bool) {
	g.becomeFollower(g.hard.Term+1, "")
	g.hard.VotedFor = g.cfg.Self
	g.hard.VotedForIncarnation = g.cfg.Incarnation
	g.role = RoleCandidate
	g.election.transfer = transfer
	g.election.waitFrom = g.now
	// If this campaign fails, the members that campaign at the same time must
	// not wait equally long again.
	g.election.lostLeader = ""
	g.requestVotes()
}

// requestVotes asks all voters that have not granted; a lost or premature
// request is so repaired by the next one.
func (g *Group) requestVotes() {
	g.election.requestedAt = g.now
	g.election.rejected = nil
	term := g.hard.Term
	if g.election.preElection {
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
			Type:      MessageVoteRequest,
			Term:      term,
			Index:     g.log.lastIndex(),
			IndexTerm: g.log.lastTerm(),
			PreVote:   g.election.preElection,
			Transfer:  g.election.transfer,
		})
	}
}

func (g *Group) stepVoteRequest(from member.ID, m Message) {
	reply := Message{Type: MessageVoteReply, Term: m.Term, PreVote: m.PreVote}
	switch {
	case g.cfg.Learner:
		reply.Learner = true
		reply.Reject = true
	case m.PreVote:
		reply.Reject = !g.wouldGrant(m)
		g.observeHopelessCandidate(m)
	default:
		reply.Reject = !g.grantVote(from, m)
	}
	if reply.Reject {
		reply.Term = g.hard.Term
	}
	g.send(from, reply)
}

func (g *Group) wouldGrant(m Message) bool {
	if m.Term <= g.hard.Term || g.hasLiveLeader() {
		return false
	}
	return g.log.isUpToDate(m.Index, m.IndexTerm)
}

// grantVote grants a term to one member at most. The grant leaves in the Ready
// that carries it as HardState, and so after it is durable.
func (g *Group) grantVote(from member.ID, m Message) bool {
	if m.Term < g.hard.Term {
		return false
	}
	if m.Term > g.hard.Term {
		if g.hasLiveLeader() && !m.Transfer {
			return false
		}
		g.becomeFollower(m.Term, "")
	}
	if g.hard.VotedFor == from && g.hard.VotedForIncarnation == m.Incarnation {
		return true
	}
	if g.hard.VotedFor != "" || g.leader != "" {
		return false
	}
	if !g.log.isUpToDate(m.Index, m.IndexTerm) {
		return false
	}
	g.hard.VotedFor = from
	g.hard.VotedForIncarnation = m.Incarnation
	g.election.waitFrom = g.now
	g.election.candidateBehind = false
	return true
}

// grantedBy tells whether the member has granted the present campaign.
func (g *Group) grantedBy(id member.ID) bool {
	return slices.ContainsFunc(g.election.granted, func(voter Voter) bool { return voter.ID == id })
}

func (g *Group) stepVoteReply(from member.ID, m Message) {
	if !g.recognizes(from) {
		return
	}
	if m.Reject && m.Term > g.hard.Term {
		g.becomeFollower(m.Term, "")
		return
	}
	if g.role != RoleCandidate || m.PreVote != g.election.preElection {
		return
	}
	voter := Voter{ID: from, Incarnation: m.Incarnation}
	if !g.slots().votes(voter) {
		// A promise counts only if nobody else can have been promised the term
		// by the same voter and it knows all that this voter acknowledged.
		return
	}
	if m.Reject {
		g.addRejection(voter)
		return
	}
	expectedTerm := g.hard.Term
	if g.election.preElection {
		expectedTerm++
	}
	if m.Term != expectedTerm || m.Learner {
		return
	}
	g.addGrant(voter)
}

func (g *Group) addGrant(from Voter) {
	if !slices.Contains(g.election.granted, from) {
		g.election.granted = append(g.election.granted, from)
	}
	g.countGrants()
}

// addRejection gives a campaign up that a majority refuses. A trial goes on,
// as its refusals pass when the voters miss the leader too.
func (g *Group) addRejection(from Voter) {
	if g.election.preElection || slices.Contains(g.election.granted, from) {
		return
	}
	if !slices.Contains(g.election.rejected, from) {
		g.election.rejected = append(g.election.rejected, from)
	}
	if len(g.election.rejected) > len(g.slots().voters())-g.quorum() {
		g.becomeFollower(g.hard.Term, "")
	}
}

func (g *Group) countGrants() {
	if len(g.election.granted) < g.quorum() {
		return
	}
	if g.election.preElection {
		g.campaign(false)
		return
	}
	g.becomeLeader()
}

// becomeLeader begins the term with a barrier entry: its commit commits all
// entries that earlier terms left. In an empty log that entry tells of the
// founding voters, so that the log alone tells of the group from then on.
func (g *Group) becomeLeader() {
	g.becomeFollower(g.hard.Term, g.cfg.Self)
	g.role = RoleLeader
	g.election.lostLeader = ""
	g.leadership.progress = make(map[member.ID]*progress)
	g.trackMembers()
	g.leadership.commandLease = lease.NewHolder(g.cfg.leaseTiming())
	g.leadership.priorLeases = lease.NewSuccessor(g.cfg.leaseTiming(), g.now)
	g.leadership.barrier = g.appendBarrier()
	g.broadcastHeartbeat()
}

func (g *Group) appendBarrier() uint64 {
	if g.log.lastIndex() == 0 {
		return g.appendEntry(EntryGroupChange, encodeSlots(g.slots()))
	}
	return g.appendEntry(EntryBarrier, nil)
}
