package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// electionTimer is what decides when a voter campaigns. It has no bearing on
// safety.
type electionTimer struct {
	// leaderContact is when the leader was last heard.
	leaderContact time.Duration
	// waitFrom is when the wait for a leader began.
	waitFrom time.Duration
	// lostLeader is the leader that is missed; it gets no turn.
	lostLeader member.ID
	// suspected are the members that are thought to be down; they get no turn.
	suspected []member.ID
	// candidateBehind tells that a member campaigns whose log lacks entries of this one, so
	// that it gets no vote here. It is known since candidateBehindSince.
	candidateBehind      bool
	candidateBehindSince time.Duration
}

// rank counts the live voters before self in the agreed order.
func (t *electionTimer) rank(self member.ID, voters []member.ID) int {
	rank := 0
	for _, id := range voters {
		if id == self {
			break
		}
		if id == t.lostLeader || slices.Contains(t.suspected, id) {
			continue
		}
		rank++
	}
	return rank
}

// campaign is the attempt of a candidate to be elected. It is zero on all others.
type campaign struct {
	// preVote tells that the campaign raises no term: it asks whether one that
	// does could be won.
	preVote bool
	// transfer tells that the leader asked for the campaign.
	transfer    bool
	granted     grants
	rejected    grants
	requestedAt time.Duration
}

// grants are the members that granted (or rejected) a request, in the incarnation
// in which they did.
type grants []Voter

// includes tells whether the member is among them in any incarnation.
func (g grants) includes(id member.ID) bool {
	return slices.ContainsFunc(g, func(voter Voter) bool { return voter.ID == id })
}

// with returns the grants together with that of the voter.
func (g grants) with(voter Voter) grants {
	if slices.Contains(g, voter) {
		return g
	}
	return append(g, voter)
}

// SetSuspected tells which members are thought to be down, for instance by the
// membership. It shortens the wait of later members in the agreed order and has
// no bearing on safety.
func (g *Group) SetSuspected(suspected []member.ID) {
	g.timer.suspected = slices.Clone(suspected)
}

// tickElection repeats the requests of a campaign, and begins one when it is due. A
// campaign that raises no term goes on instead of beginning again.
func (g *Group) tickElection() {
	if g.role == RoleCandidate && g.now >= g.campaign.requestedAt+g.cfg.HeartbeatEvery {
		g.requestVotes()
	}
	if !g.electionDue() {
		return
	}
	if g.role == RoleCandidate && g.campaign.preVote {
		return
	}
	g.startPreVote()
}

// electionDue tells whether this voter has waited its turn, or should step in for
// a voter that can't win. The turn of the i-th live voter in the agreed order comes
// after ElectionTimeout*(1 + i/2), so that the voters campaign one after the other.
func (g *Group) electionDue() bool {
	rank := time.Duration(g.timer.rank(g.cfg.Self, g.log.groups.latest().voterIDs))
	if g.now >= g.timer.waitFrom+g.cfg.ElectionTimeout+rank*g.cfg.ElectionTimeout/2 {
		return true
	}
	if !g.timer.candidateBehind || g.hasLiveLeader() {
		return false
	}
	return g.now >= g.timer.candidateBehindSince+rank*g.cfg.HeartbeatEvery
}

// hasLiveLeader tells whether an election would disturb a working leader.
func (g *Group) hasLiveLeader() bool {
	if g.role == RoleLeader {
		return true
	}
	return g.leader != "" && g.now < g.timer.leaderContact+g.cfg.ElectionTimeout
}

// startPreVote asks whether a campaign could be won, without raising any term. It
// goes on until it is won or a leader is heard.
func (g *Group) startPreVote() {
	g.becomeFollower(g.hard.Term, "")
	g.role = RoleCandidate
	g.campaign.preVote = true
	g.requestVotes()
	g.countGrants()
}

// startCampaign raises the term and votes for this member. With transfer, the
// leader of the present term asked for it.
func (g *Group) startCampaign(transfer bool) {
	g.becomeFollower(g.hard.Term+1, "")
	g.voteForSelf()
	g.role = RoleCandidate
	g.campaign.transfer = transfer
	g.timer.waitFrom = g.now
	// If this campaign fails, the members that campaign at the same time must not
	// wait equally long again.
	g.timer.lostLeader = ""
	g.requestVotes()
}

// requestVotes sends a request to all voters that have not granted, and so repeats
// one that was lost or premature.
func (g *Group) requestVotes() {
	g.campaign.requestedAt = g.now
	g.campaign.rejected = nil
	if g.campaign.preVote {
		// What was granted before may be untrue by now, as a voter may hear a
		// leader again.
		g.campaign.granted = grants{g.self()}
	}
	for _, id := range g.log.groups.latest().voterIDs {
		if id == g.cfg.Self || g.campaign.granted.includes(id) {
			continue
		}
		g.send(id, Message{
			Type:      MessageVoteRequest,
			Term:      g.campaignTerm(),
			Index:     g.log.lastIndex(),
			IndexTerm: g.log.lastTerm(),
			PreVote:   g.campaign.preVote,
			Transfer:  g.campaign.transfer,
		})
	}
}

// campaignTerm is the term that the candidate requests votes for.
func (g *Group) campaignTerm() uint64 {
	if g.campaign.preVote {
		return g.hard.Term + 1
	}
	return g.hard.Term
}

// stepVoteRequest replies to a candidate. Only a campaign that raises the term can
// change the vote.
func (g *Group) stepVoteRequest(from member.ID, m Message) {
	reply := Message{Type: MessageVoteReply, Term: m.Term, PreVote: m.PreVote}
	switch {
	case g.cfg.Learner:
		reply.Learner = true
		reply.Reject = true
	case m.PreVote:
		reply.Reject = m.Term <= g.hard.Term || g.hasLiveLeader() || !g.log.isUpToDate(m.Index, m.IndexTerm)
		g.observeCandidate(m)
	default:
		reply.Reject = !g.grantVote(from, m)
	}
	if reply.Reject {
		reply.Term = g.hard.Term
	}
	g.send(from, reply)
}

// observeCandidate notices a member that requests votes which it can't get from here, since
// its log lacks entries of this one. The voters that have them then follow each other by
// HeartbeatEvery in place of their whole turns.
func (g *Group) observeCandidate(m Message) {
	behind := g.role == RoleFollower && !g.hasLiveLeader() && !g.log.isUpToDate(m.Index, m.IndexTerm)
	if !behind || g.timer.candidateBehind {
		return
	}
	g.timer.candidateBehind = true
	g.timer.candidateBehindSince = g.now
}

// grantVote grants a term to one member at most. The grant leaves in the Ready
// that carries the vote as HardState, and so after the vote is durable.
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
	g.timer.waitFrom = g.now
	g.timer.candidateBehind = false
	return true
}

// stepVoteReply counts a grant or rejection of a voter.
func (g *Group) stepVoteReply(from member.ID, m Message) {
	if !g.recognizes(from) {
		return
	}
	if m.Reject && m.Term > g.hard.Term {
		g.becomeFollower(m.Term, "")
		return
	}
	if g.role != RoleCandidate || m.PreVote != g.campaign.preVote {
		return
	}
	voter := Voter{ID: from, Incarnation: m.Incarnation}
	if !g.slots().votes(voter) {
		// A vote counts only if the same voter can't have granted the term to
		// another member, and knows all that it acknowledged.
		return
	}
	switch {
	case m.Reject:
		g.addRejection(voter)
	case m.Term == g.campaignTerm() && !m.Learner:
		g.addGrant(voter)
	}
}

func (g *Group) addGrant(from Voter) {
	g.campaign.granted = g.campaign.granted.with(from)
	g.countGrants()
}

// addRejection ends a campaign that a majority rejects. A pre-vote goes on, as its
// rejections pass when the voters miss the leader too.
func (g *Group) addRejection(from Voter) {
	if g.campaign.preVote || slices.Contains(g.campaign.granted, from) {
		return
	}
	g.campaign.rejected = g.campaign.rejected.with(from)
	if len(g.campaign.rejected) > len(g.slots().voters())-g.slots().quorum() {
		g.becomeFollower(g.hard.Term, "")
	}
}

// countGrants goes on to the campaign, or to the leadership, with the grants of a
// majority.
func (g *Group) countGrants() {
	if len(g.campaign.granted) < g.slots().quorum() {
		return
	}
	if g.campaign.preVote {
		g.startCampaign(false)
		return
	}
	g.becomeLeader()
}

// becomeLeader begins the leadership with a barrier entry: its commit commits all
// entries that earlier terms left. In an empty log that entry names the founding
// voters, so that the log alone tells of the group from then on.
func (g *Group) becomeLeader() {
	g.becomeFollower(g.hard.Term, g.cfg.Self)
	g.role = RoleLeader
	g.timer.lostLeader = ""
	g.leadership.followers = newTracker(g.self(), g.cfg.ElectionTimeout)
	g.trackMembers()
	g.leadership.lease = newCommandLease(g.cfg.leaseTiming(), g.now)
	if g.log.lastIndex() == 0 {
		g.leadership.barrier = g.appendEntry(EntryGroupChange, encodeSlots(g.slots()))
	} else {
		g.leadership.barrier = g.appendEntry(EntryBarrier, nil)
	}
	g.broadcastHeartbeat()
}
