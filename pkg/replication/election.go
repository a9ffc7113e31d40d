package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// election is this member's part in the elections of its group: the leader that it follows in
// the present term, the candidate that it grants the term, and its own campaign. While this
// member leads, callers must go through Group.becomeFollower to follow another term or
// leader, as that also ends the leadership.
type election struct {
	*memberState
	// leader is the member known to lead the present term, or empty. It is this member as
	// long as this member leads.
	leader member.ID
	timer  electionTimer
	// campaign is nil unless this member is a candidate. A candidate knows no leader.
	campaign *campaign
}

// role is derived from the rest of the state. Only a voter campaigns, as only a voter can win
// in the group that this member knows.
func (e *election) role() Role {
	switch {
	case e.leads():
		return RoleLeader
	case e.campaign != nil:
		return RoleCandidate
	case e.isVoter():
		return RoleFollower
	default:
		return RoleLearner
	}
}

// leads reports whether this member is the leader.
func (e *election) leads() bool {
	return e.leader == e.cfg.Self
}

// hasLiveLeader reports whether this member has a working leader, which an election would
// disturb.
func (e *election) hasLiveLeader() bool {
	return e.leads() || (e.leader != "" && e.now < e.timer.leaderContact+e.cfg.ElectionTimeout)
}

// tick repeats the requests of a campaign, and starts a pre-vote when one is due. A pre-vote
// that is in progress continues and is not started again.
func (e *election) tick() {
	if e.campaign != nil && e.now >= e.campaign.requestedAt+e.cfg.HeartbeatEvery {
		e.requestVotes()
	}
	preVoting := e.campaign != nil && e.campaign.preVote
	if e.campaignDue() && !preVoting {
		e.startPreVote()
	}
}

// campaignDue reports whether this voter must campaign. The live voter with rank i in slot
// order waits for ElectionTimeout*(1 + i/2), so that the voters campaign one after the other.
// If a candidate that can't win is known and there is no live leader, the wait is only
// i*HeartbeatEvery.
func (e *election) campaignDue() bool {
	rank := time.Duration(e.timer.rankOf(e.cfg.Self, e.log.groups.latest().voterIDs))
	if e.now >= e.timer.waitFrom+e.cfg.ElectionTimeout+rank*e.cfg.ElectionTimeout/2 {
		return true
	}
	if !e.timer.candidateBehind || e.hasLiveLeader() {
		return false
	}
	return e.now >= e.timer.candidateBehindSince+rank*e.cfg.HeartbeatEvery
}

// startPreVote asks the voters whether a campaign could be won, without raising any term. The
// pre-vote continues until it is won or a leader is heard from.
func (e *election) startPreVote() {
	e.follow(e.hardState.Term, "")
	e.campaign = &campaign{term: e.hardState.Term + 1, preVote: true}
	e.requestVotes()
	if e.campaign.won(e.slots()) {
		// The only voter of a group needs no other grant.
		e.startCampaign(false)
	}
}

// stepVoteRequest replies to a candidate. If the candidate's term is newer and applies to
// this member, Group.Step has adopted it before.
func (e *election) stepVoteRequest(from member.ID, m Message) {
	reply := Message{Type: MessageVoteReply, Term: m.Term, PreVote: m.PreVote}
	switch {
	case e.cfg.Learner:
		reply.Learner = true
		reply.Reject = true
	case m.PreVote:
		upToDate := e.log.isUpToDate(m.Index, m.IndexTerm)
		reply.Reject = m.Term <= e.hardState.Term || e.hasLiveLeader() || !upToDate
		if !upToDate && !e.hasLiveLeader() && e.role() == RoleFollower {
			// The sender can't get the vote of this member. The voters whose logs are more
			// complete than the sender's then campaign at intervals of HeartbeatEvery,
			// instead of the longer waits by rank.
			e.timer.observeCandidateBehind(e.now)
		}
	default:
		reply.Reject = !e.grantVote(from, m)
	}
	if reply.Reject {
		reply.Term = e.hardState.Term
	}
	e.send(from, reply)
}

// grantVote grants the present term to at most one member. The grant is sent in the Ready
// that contains the vote as HardState, and so after the vote is durable.
func (e *election) grantVote(from member.ID, m Message) bool {
	if m.Term != e.hardState.Term {
		return false
	}
	candidate := Voter{ID: from, Incarnation: m.Incarnation}
	if e.hardState.votedFor(candidate) {
		return true
	}
	if e.hardState.VotedFor != "" || e.leader != "" {
		return false
	}
	if !e.log.isUpToDate(m.Index, m.IndexTerm) {
		return false
	}
	e.hardState.vote(candidate)
	e.timer.restart(e.now)
	e.timer.candidateBehind = false
	return true
}

// stepVoteReply counts a voter's grant or rejection. It returns true if this member has won
// the term and must become its leader.
func (e *election) stepVoteReply(from member.ID, m Message) (won bool) {
	if e.campaign == nil || m.PreVote != e.campaign.preVote {
		return false
	}
	voter := Voter{ID: from, Incarnation: m.Incarnation}
	if !e.slots().votes(voter) {
		// A vote counts only from the incarnation that has the vote. Another incarnation may
		// lack entries that its member acknowledged, and its member may have granted the term
		// to another candidate before.
		return false
	}
	switch {
	case m.Reject:
		if e.campaign.reject(voter, e.slots()) {
			e.follow(e.hardState.Term, "")
		}
		return false
	case m.Term == e.campaign.term && !m.Learner:
		return e.addGrant(voter)
	default:
		return false
	}
}

// addGrant counts a grant. When a majority has granted, a pre-vote becomes a campaign, and a
// campaign is won.
func (e *election) addGrant(from Voter) (won bool) {
	e.campaign.granted = e.campaign.granted.with(from)
	if !e.campaign.won(e.slots()) {
		return false
	}
	if e.campaign.preVote {
		e.startCampaign(false)
		return false
	}
	return true
}

// startCampaign raises the term and votes for this member. With transfer, the leader of the
// present term asked for the campaign.
func (e *election) startCampaign(transfer bool) {
	e.voteForSelf(e.hardState.Term + 1)
	e.campaign = &campaign{term: e.hardState.Term, transfer: transfer}
	// If this campaign fails, the candidates must wait for different times by rank. Excluding
	// the lost leader from the ranks could give simultaneous candidates equal ranks again.
	e.timer.lostLeader = ""
	e.requestVotes()
}

// voteForSelf raises the term and grants it to this member. The vote counts once it is
// durable, see Group.acknowledgeSelf.
func (e *election) voteForSelf(term uint64) {
	e.follow(term, "")
	e.hardState.vote(e.self())
	e.timer.restart(e.now)
}

// requestVotes sends a request to all voters that have not granted. Repeating it covers
// requests that were lost or that came too early to be granted.
func (e *election) requestVotes() {
	e.campaign.startRound(e.self(), e.now)
	for _, id := range e.log.groups.latest().voterIDs {
		if id == e.cfg.Self || e.campaign.granted.includes(id) {
			continue
		}
		e.send(id, Message{
			Type:      MessageVoteRequest,
			Term:      e.campaign.term,
			Index:     e.log.lastIndex(),
			IndexTerm: e.log.lastTerm(),
			PreVote:   e.campaign.preVote,
			Transfer:  e.campaign.transfer,
		})
	}
}

// checkLeader returns an error for a message that can't be from the leader of its term. It
// changes nothing.
func (e *election) checkLeader(from member.ID, m Message) error {
	if m.Term == 0 {
		return &MessageError{From: from, Type: m.Type, Message: "the message of a leader has term zero"}
	}
	if m.Term == e.hardState.Term && e.leader != "" && e.leader != from {
		return &MessageError{From: from, Type: m.Type, Message: "the term has another leader already: check that no two members run under one ID"}
	}
	return nil
}

// follow makes the member follow a leader in a term, which is the present or a later one, and
// ends its campaign. An empty leader means that the leader is unknown.
func (e *election) follow(term uint64, leader member.ID) {
	e.hardState.raise(term)
	e.leader = leader
	e.campaign = nil
	e.timer.candidateBehind = false
}
