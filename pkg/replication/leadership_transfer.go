package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// TransferLeadership asks the next live voter in the agreed order to take over at once,
// when it holds the whole log. Until then, and for ElectionTimeout at most, the
// leader takes no proposals and gives no commands. It fails with ErrNoSuccessor
// or a *NotLeaderError.
func (g *Group) TransferLeadership(now time.Duration) error {
	g.advanceClock(now)
	if g.role != RoleLeader {
		return &NotLeaderError{Leader: g.leader}
	}
	if g.leadership.transferTarget != "" {
		return nil
	}
	successor := g.nextLiveVoter()
	if successor == "" {
		return ErrNoSuccessor
	}
	g.leadership.transferTarget = successor
	g.leadership.transferStartedAt = g.now
	g.leadership.transferSent = false
	g.continueTransfer(successor)
	return nil
}

// nextLiveVoter goes round the agreed order, beginning after this member.
func (g *Group) nextLiveVoter() member.ID {
	var before, after []member.ID
	passedSelf := false
	for _, id := range g.log.groups.latest().voterIDs {
		switch {
		case id == g.cfg.Self:
			passedSelf = true
		case passedSelf:
			after = append(after, id)
		default:
			before = append(before, id)
		}
	}
	for _, id := range append(after, before...) {
		slot := g.slots()[g.slots().position(id)]
		if g.isLiveVoter(slot.Voter) && !g.hasLeft(id) {
			return id
		}
	}
	return ""
}

// continueTransfer asks the successor to campaign once it holds the whole log.
func (g *Group) continueTransfer(from member.ID) {
	if g.leadership.transferTarget != from || g.leadership.transferSent {
		return
	}
	if g.leadership.progress[from].match < g.log.lastIndex() {
		return
	}
	g.leadership.transferSent = true
	g.send(from, Message{
		Type:     MessageHeartbeat,
		Term:     g.hard.Term,
		Index:    g.log.lastIndex(),
		Transfer: true,
	})
}

// repeatTransfer asks again, as the first request may have been lost: the
// successor would have left this term else.
func (g *Group) repeatTransfer(from member.ID) {
	g.leadership.transferSent = false
	g.continueTransfer(from)
}

// tickTransfer goes on as the leader if the successor did not take over.
func (g *Group) tickTransfer() {
	if g.leadership.transferTarget != "" && g.now >= g.leadership.transferStartedAt+g.cfg.ElectionTimeout {
		g.leadership.transferTarget = ""
	}
}
