package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// startRound sends a heartbeat to everyone. Its number is known to belong to
// this instant; what a majority answers was so confirmed after it.
func (g *Group) startRound() {
	g.leadership.round++
	g.leadership.heartbeatAt = g.now
	g.leadership.rounds = append(g.leadership.rounds, sentRound{round: g.leadership.round, sentAt: g.now})
	for _, id := range g.others() {
		g.send(id, Message{
			Type:  MessageHeartbeat,
			Term:  g.hard.Term,
			Index: g.log.lastIndex(),
			Round: g.leadership.round,
		})
	}
	g.assignReads()
	g.countRounds()
	g.repairGroup()
	g.leadership.roundIndex = g.log.lastIndex()
}

func (g *Group) heartbeatAnswered(from member.ID, m Message) {
	follower := g.leadership.progress[from]
	if m.Round <= g.leadership.round {
		follower.ackedRound = max(follower.ackedRound, m.Round)
	}
	g.countRounds()
	g.makeDueChange()
	g.repair(from, m.Commit)
	g.repeatHandover(from)
}

// repair sends again what may have been lost on the way to a follower that
// lags behind.
func (g *Group) repair(to member.ID, commit uint64) {
	follower := g.leadership.progress[to]
	if follower.state == progressSnapshot {
		if g.now >= follower.snapshotSentAt+g.cfg.ElectionTimeout {
			g.sendSnapshot(to)
		}
		return
	}
	if follower.match >= g.log.lastIndex() && commit >= g.log.committed {
		return
	}
	follower.probing = false
	if follower.full() {
		// All that may be under way was sent, and nothing came back since the
		// last round: ask where the follower stands.
		follower.becomeProbe()
	}
	g.sendNews(to)
}

// countRounds takes in which rounds a majority has answered.
func (g *Group) countRounds() {
	answered := g.quorumOf(g.leadership.round, func(p *progress) uint64 { return p.ackedRound })
	for len(g.leadership.rounds) > 0 && g.leadership.rounds[0].round <= answered {
		g.leadership.holder.Confirm(g.leadership.rounds[0].sentAt)
		g.leadership.rounds = g.leadership.rounds[1:]
	}
	g.confirmReads(answered)
}

// MayCommand tells whether the leader holds the command lease: it has applied
// its own barrier, every lease of an earlier term has run out, and a majority
// answered a heartbeat sent less than LeaseDuration-LeaseMargin ago. The
// driver asks again at the instant of sending. Now may also lie ahead, to ask
// whether the lease would last as long; the answer changes no state.
func (g *Group) MayCommand(now time.Duration) bool {
	if g.role != RoleLeader || g.leadership.handingTo != "" {
		return false
	}
	if g.log.applied < g.leadership.barrier {
		return false
	}
	return g.leadership.successor.MayAct(now) && g.leadership.holder.MayAct(max(now, g.now))
}
