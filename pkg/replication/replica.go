package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// maxQueuedMessages bounds the messages that wait for a Ready.
const maxQueuedMessages = 4096

// replica is what a member has in every role: its identity, the time, its term and
// log, the members that it knows of, and the messages that it sends. The concerns of
// a Group share one replica. What has an invariant in it (the term and vote, the log)
// is changed only through methods that keep it.
type replica struct {
	cfg Config
	// now is the newest instant that the driver has passed in.
	now time.Duration
	// hard is the present term and vote.
	hard  termState
	log   *replicaLog
	peers peerSet
	// outbox are the messages for the next Ready.
	outbox []Outbound
}

// advanceClock keeps the time from running backwards.
func (r *replica) advanceClock(now time.Duration) {
	r.now = max(r.now, now)
}

// self is this member in its present incarnation.
func (r *replica) self() Voter {
	return Voter{ID: r.cfg.Self, Incarnation: r.cfg.Incarnation}
}

// slots returns the group that is in effect.
func (r *replica) slots() slots {
	return r.log.groups.latest().slots
}

// isVoter tells whether this member has a vote, by the group that it knows.
func (r *replica) isVoter() bool {
	return !r.cfg.Learner && r.slots().votes(r.self())
}

// recognizes tells whether the member has a slot or is a peer.
func (r *replica) recognizes(id member.ID) bool {
	return r.slots().position(id) >= 0 || r.peers.find(id) != nil
}

// otherMembers returns the other members: those with a slot, then the peers
// without one.
func (r *replica) otherMembers() []member.ID {
	group := r.slots()
	others := make([]member.ID, 0, len(group)+len(r.peers))
	for _, slot := range group {
		if slot.ID != r.cfg.Self {
			others = append(others, slot.ID)
		}
	}
	for _, peer := range r.peers {
		if group.position(peer.ID) < 0 {
			others = append(others, peer.ID)
		}
	}
	return others
}

// send queues a message for the next Ready. While a sync stalls, the queue is
// bounded; a message that is dropped then counts as lost on the way, and is
// repeated.
func (r *replica) send(to member.ID, m Message) {
	if len(r.outbox) >= maxQueuedMessages {
		return
	}
	m.Incarnation = r.cfg.Incarnation
	r.outbox = append(r.outbox, Outbound{To: to, Message: m})
}
