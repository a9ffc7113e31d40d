package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// heartbeats are those of one leadership, numbered from 1 in the order of sending. A
// majority that acknowledges one confirms that the leader was not replaced before it
// was sent.
type heartbeats struct {
	// number and sentAt are those of the newest heartbeat.
	number uint64
	sentAt time.Duration
	// lastIndex is the last index of the log when the newest heartbeat was sent.
	lastIndex uint64
	// unconfirmed are those that no majority has acknowledged yet, oldest first.
	unconfirmed []sentHeartbeat
}

type sentHeartbeat struct {
	number uint64
	sentAt time.Duration
}

// begin numbers a heartbeat that is sent now.
func (h *heartbeats) begin(now time.Duration) {
	h.number++
	h.sentAt = now
	h.unconfirmed = append(h.unconfirmed, sentHeartbeat{number: h.number, sentAt: now})
}

// confirm removes the heartbeats up to the number that a majority has acknowledged,
// and returns when the newest of them was sent. It is false if there are none.
func (h *heartbeats) confirm(acknowledged uint64) (sentAt time.Duration, confirmed bool) {
	for len(h.unconfirmed) > 0 && h.unconfirmed[0].number <= acknowledged {
		sentAt, confirmed = h.unconfirmed[0].sentAt, true
		h.unconfirmed = h.unconfirmed[1:]
	}
	return sentAt, confirmed
}

// broadcastHeartbeat sends a heartbeat to all other members. With it begins the
// confirmation of the reads that wait for one, and the search for a change of the
// group that is due.
func (g *Group) broadcastHeartbeat() {
	g.leadership.heartbeats.begin(g.now)
	for _, id := range g.otherMembers() {
		g.send(id, Message{
			Type:            MessageHeartbeat,
			Term:            g.hard.Term,
			Index:           g.log.lastIndex(),
			HeartbeatNumber: g.leadership.heartbeats.number,
		})
	}
	g.reads.assign(g.leadership.heartbeats.number)
	g.confirmHeartbeats()
	g.repairGroup()
	// Only now: the search above judges members by the heartbeat before this one, which
	// they have had time to acknowledge.
	g.leadership.heartbeats.lastIndex = g.log.lastIndex()
}

// handleHeartbeatReply counts the acknowledgement, which may make a change of the group
// due, and sends again what the follower lacks.
func (g *Group) handleHeartbeatReply(from member.ID, follower *progress, m Message) {
	if m.HeartbeatNumber <= g.leadership.heartbeats.number {
		follower.ackedHeartbeat = max(follower.ackedHeartbeat, m.HeartbeatNumber)
	}
	g.confirmHeartbeats()
	g.proposeDueChange()
	g.resendLost(from, follower, m.Commit)
	g.repeatTransfer(from)
}

// confirmHeartbeats extends the command lease and answers reads by the heartbeats
// that a majority has acknowledged.
func (g *Group) confirmHeartbeats() {
	acknowledged := g.leadership.followers.reachedByMajority(g.log.groups.latest().voters,
		g.leadership.heartbeats.number, func(p *progress) uint64 { return p.ackedHeartbeat })
	if sentAt, confirmed := g.leadership.heartbeats.confirm(acknowledged); confirmed {
		g.leadership.lease.current.Confirm(sentAt)
	}
	g.confirmReads(acknowledged)
}

// resendLost sends again what may have been lost on the way to a follower that is
// behind.
func (g *Group) resendLost(to member.ID, follower *progress, commit uint64) {
	if follower.state == progressSnapshot {
		if g.now >= follower.snapshotSentAt+g.cfg.ElectionTimeout {
			g.sendSnapshot(to, follower)
		}
		return
	}
	if follower.match >= g.log.lastIndex() && commit >= g.log.committed {
		return
	}
	follower.probing = false
	if follower.full() {
		// All that may be in flight was sent, and nothing was acknowledged since the
		// last heartbeat: find out which entries the follower has.
		follower.becomeProbe()
	}
	g.sendAppends(to, follower)
}
