package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// election is this member's part in the elections of its group: whom it follows in the
// present term, to whom it grants the term, and its own campaign. Callers that follow
// another term or leader while this member leads go through Group.becomeFollower,
// which ends the leadership.
type election struct {
	*memberState
	// leader is the member that is known to lead hardState.Term, or empty. It is this
	// member as long as it leads.
	leader member.ID
	timer  electionTimer
	// campaign is nil unless this member is a candidate, which knows of no leader.
	campaign *campaign
}

// role follows from the other state. Only a voter campaigns, as only it can win by the
// group that it knows.
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

// leads tells whether this member is the leader, which it follows itself.
func (e *election) leads() bool {
	return e.leader == e.cfg.Self
}

// hasLiveLeader tells whether an election would disturb a working leader.
func (e *election) hasLiveLeader() bool {
	return e.leads() || (e.leader != "" && e.now < e.timer.leaderContact+e.cfg.ElectionTimeout)
}

// tick repeats the requests of a campaign, and begins one when it is due. A pre-vote
// goes on instead of beginning again.
func (e *election) tick() {
	if e.campaign != nil && e.now >= e.campaign.requestedAt+e.cfg.HeartbeatEvery {
		e.requestVotes()
	}
	preVoting := e.campaign != nil && e.campaign.preVote
	if e.campaignDue() && !preVoting {
		e.startPreVote()
	}
}

// campaignDue tells whether this voter has waited its turn, or should step in for
// a voter that can't win. The turn of the i-th live voter in the agreed order comes
// after ElectionTimeout*(1 + i/2), so that the voters campaign one after the other.
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

// startPreVote asks whether a campaign could be won, without raising any term. It
// goes on until it is won or a leader is heard.
func (e *election) startPreVote() {
	e.follow(e.hardState.Term, "")
	e.campaign = &campaign{term: e.hardState.Term + 1, preVote: true}
	e.requestVotes()
	if e.campaign.won(e.slots()) {
		// The only voter of its group needs nobody else.
		e.startCampaign(false)
	}
}

// stepVoteRequest replies to a candidate. If its term is newer and binds this member,
// Group.Step has adopted it before.
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
			// The sender can't get the vote of this member. The voters that have what
			// it lacks then follow each other by HeartbeatEvery, in place of their
			// whole turns.
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

// grantVote grants the present term to one member at most. The grant leaves in the
// Ready that carries the vote as HardState, and so after the vote is durable.
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

// stepVoteReply counts a grant or rejection of a voter. It is true if this member has
// won the term, and is to lead it.
func (e *election) stepVoteReply(from member.ID, m Message) (won bool) {
	if e.campaign == nil || m.PreVote != e.campaign.preVote {
		return false
	}
	voter := Voter{ID: from, Incarnation: m.Incarnation}
	if !e.slots().votes(voter) {
		// A vote counts only if the same voter can't have granted the term to
		// another member, and knows all that it acknowledged.
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

// addGrant counts a grant. With those of a majority, a pre-vote goes on to the
// campaign, and a campaign is won.
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

// startCampaign raises the term and votes for this member. With transfer, the
// leader of the present term asked for it.
func (e *election) startCampaign(transfer bool) {
	e.voteForSelf(e.hardState.Term + 1)
	e.campaign = &campaign{term: e.hardState.Term, transfer: transfer}
	// If this campaign fails, the members that campaign at the same time must not
	// wait equally long again.
	e.timer.lostLeader = ""
	e.requestVotes()
}

// voteForSelf raises the term and grants it to this member. The vote counts once it
// is durable, see Group.acknowledgeSelf.
func (e *election) voteForSelf(term uint64) {
	e.follow(term, "")
	e.hardState.vote(e.self())
	e.timer.restart(e.now)
}

// requestVotes sends a request to all voters that have not granted, and so repeats
// one that was lost or premature.
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

// checkLeader finds a message that can't be from the leader of its term. It changes
// nothing.
func (e *election) checkLeader(from member.ID, m Message) error {
	if m.Term == 0 {
		return &MessageError{From: from, Type: m.Type, Message: "no leader has term zero"}
	}
	if m.Term == e.hardState.Term && e.leader != "" && e.leader != from {
		return &MessageError{From: from, Type: m.Type, Message: "the term has another leader already: check that no two members run under one ID"}
	}
	return nil
}

// follow makes the member follow a leader in a term, which is the present or a later
// one. The leader may be unknown yet. It ends a campaign.
func (e *election) follow(term uint64, leader member.ID) {
	e.hardState.raise(term)
	e.leader = leader
	e.campaign = nil
	e.timer.candidateBehind = false
}
