package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// broadcastHeartbeat sends a heartbeat to everyone. Its number is known to belong to
// this instant; what a majority answers was so confirmed after it.
func (g *Group) broadcastHeartbeat() {
	g.leadership.heartbeatNumber++
	g.leadership.heartbeatAt = g.now
	g.leadership.unconfirmed = append(g.leadership.unconfirmed, sentHeartbeat{number: g.leadership.heartbeatNumber, sentAt: g.now})
	for _, id := range g.otherMembers() {
		g.send(id, Message{
			Type:            MessageHeartbeat,
			Term:            g.hard.Term,
			Index:           g.log.lastIndex(),
			HeartbeatNumber: g.leadership.heartbeatNumber,
		})
	}
	g.assignReads()
	g.confirmHeartbeats()
	g.repairGroup()
	g.leadership.heartbeatLastIndex = g.log.lastIndex()
}

func (g *Group) handleHeartbeatReply(from member.ID, m Message) {
	follower := g.leadership.progress[from]
	if m.HeartbeatNumber <= g.leadership.heartbeatNumber {
		follower.ackedHeartbeat = max(follower.ackedHeartbeat, m.HeartbeatNumber)
	}
	g.confirmHeartbeats()
	g.proposeDueChange()
	g.resendLost(from, m.Commit)
	g.repeatTransfer(from)
}

// resendLost sends again what may have been lost on the way to a follower that
// lags behind.
func (g *Group) resendLost(to member.ID, commit uint64) {
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
	g.sendAppends(to)
}

// confirmHeartbeats takes in which rounds a majority has answered.
func (g *Group) confirmHeartbeats() {
	acknowledged := g.quorumOf(g.leadership.heartbeatNumber, func(p *progress) uint64 { return p.ackedHeartbeat })
	for len(g.leadership.unconfirmed) > 0 && g.leadership.unconfirmed[0].number <= acknowledged {
		g.leadership.commandLease.Confirm(g.leadership.unconfirmed[0].sentAt)
		g.leadership.unconfirmed = g.leadership.unconfirmed[1:]
	}
	g.confirmReads(acknowledged)
}

// HasCommandLease tells whether the leader holds the command lease: it has applied
// its own barrier, every lease of an earlier term has run out, and a majority
// answered a heartbeat sent less than LeaseDuration-LeaseMargin ago. The
// driver asks again at the instant of sending. Now may also lie ahead, to ask
// whether the lease would last as long; the answer changes no state.
func (g *Group) HasCommandLease(now time.Duration) bool {
	if g.role != RoleLeader || g.leadership.transferTarget != "" {
		return false
	}
	if g.log.applied < g.leadership.barrier {
		return false
	}
	return g.leadership.priorLeases.MayAct(now) && g.leadership.commandLease.MayAct(max(now, g.now))
}
