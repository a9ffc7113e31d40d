package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// leadershipTransfer is the transfer that the leader has begun.
type leadershipTransfer struct {
	// target is the member that is to take over, or empty.
	target    member.ID
	startedAt time.Duration
	// requestSent tells that the target was asked to campaign, which it is once it
	// has the whole log.
	requestSent bool
}

// TransferLeadership asks the next live voter in the agreed order to take over as soon as
// it has the whole log. Until then, and for ElectionTimeout at most, the leader accepts no
// proposals and gives no commands. A transfer that is in progress goes on. It fails with
// ErrNoSuccessor or a *NotLeaderError.
func (g *Group) TransferLeadership(now time.Duration) error {
	g.advanceClock(now)
	if g.election.role() != RoleLeader {
		return &NotLeaderError{Leader: g.election.leader}
	}
	if g.leadership.transfer.target != "" {
		return nil
	}
	target := g.nextLiveVoter()
	if target == "" {
		return ErrNoSuccessor
	}
	g.leadership.transfer = leadershipTransfer{target: target, startedAt: g.now}
	g.continueTransfer(target)
	return nil
}

// nextLiveVoter returns the first live voter after this member in the agreed order,
// from whose end it goes on at the beginning, or an empty ID.
func (g *Group) nextLiveVoter() member.ID {
	var before, after []Voter
	passedSelf := false
	for _, voter := range g.log.groups.latest().voters {
		switch {
		case voter.ID == g.cfg.Self:
			passedSelf = true
		case passedSelf:
			after = append(after, voter)
		default:
			before = append(before, voter)
		}
	}
	for _, voter := range append(after, before...) {
		if g.leadership.followers.isLiveVoter(voter, g.now) && !g.peers.hasLeft(voter.ID) {
			return voter.ID
		}
	}
	return ""
}

// continueTransfer asks the target to campaign once it has the whole log.
func (g *Group) continueTransfer(from member.ID) {
	transfer := &g.leadership.transfer
	if transfer.target != from || transfer.requestSent {
		return
	}
	if g.leadership.followers.get(from).match < g.log.lastIndex() {
		return
	}
	transfer.requestSent = true
	g.send(from, Message{
		Type:     MessageHeartbeat,
		Term:     g.hard.Term,
		Index:    g.log.lastIndex(),
		Transfer: true,
	})
}

// repeatTransfer asks again, as the first request may have been lost: otherwise the
// target would have left this term.
func (g *Group) repeatTransfer(from member.ID) {
	g.leadership.transfer.requestSent = false
	g.continueTransfer(from)
}

// tickTransfer ends a transfer whose target did not take over in time.
func (g *Group) tickTransfer() {
	transfer := &g.leadership.transfer
	if transfer.target != "" && g.now >= transfer.startedAt+g.cfg.ElectionTimeout {
		transfer.target = ""
	}
}
