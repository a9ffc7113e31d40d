package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// HandOver asks the next live voter in the agreed order to take over at once,
// when it holds the whole log. Until then, and for ElectionTimeout at most, the
// leader takes no proposals and gives no commands. It fails with ErrNoSuccessor
// or a *NotLeaderError.
func (g *Group) HandOver(now time.Duration) error {
	g.observe(now)
	if g.role != RoleLeader {
		return &NotLeaderError{Leader: g.leader}
	}
	if g.leadership.handingTo != "" {
		return nil
	}
	successor := g.nextLiveVoter()
	if successor == "" {
		return ErrNoSuccessor
	}
	g.leadership.handingTo = successor
	g.leadership.handoverAt = g.now
	g.leadership.handoverSent = false
	g.continueHandover(successor)
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
		place := g.places()[g.places().position(id)]
		if g.voterHeard(place.Voter) && !g.hasLeft(id) {
			return id
		}
	}
	return ""
}

// continueHandover asks the successor to campaign once it holds the whole log.
func (g *Group) continueHandover(from member.ID) {
	if g.leadership.handingTo != from || g.leadership.handoverSent {
		return
	}
	if g.leadership.progress[from].match < g.log.lastIndex() {
		return
	}
	g.leadership.handoverSent = true
	g.send(from, Message{
		Type:     MessageHeartbeat,
		Term:     g.hard.Term,
		Index:    g.log.lastIndex(),
		Handover: true,
	})
}

// repeatHandover asks again, as the first request may have been lost: the
// successor would have left this term else.
func (g *Group) repeatHandover(from member.ID) {
	g.leadership.handoverSent = false
	g.continueHandover(from)
}

// tickHandover goes on as the leader if the successor did not take over.
func (g *Group) tickHandover() {
	if g.leadership.handingTo != "" && g.now >= g.leadership.handoverAt+g.cfg.ElectionTimeout {
		g.leadership.handingTo = ""
	}
}
