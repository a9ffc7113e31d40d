package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// maxQueuedMessages bounds the messages that wait for a Ready.
const maxQueuedMessages = 4096

// memberState is what a member has in every role: its identity, the time, its term and
// log, the members that it knows of, and the messages that it sends. The concerns of
// a Group share one. What has an invariant in it (the term and vote, the log) is changed
// only through methods that keep it.
type memberState struct {
	cfg Config
	// now is the newest instant that the driver has passed in.
	now time.Duration
	// hardState is the present term and vote.
	hardState termState
	log       *replicaLog
	peers     peerSet
	// outbox are the messages for the next Ready.
	outbox []Outbound
}

// advanceClock keeps the time from running backwards.
func (s *memberState) advanceClock(now time.Duration) {
	s.now = max(s.now, now)
}

// self is this member in its present incarnation.
func (s *memberState) self() Voter {
	return Voter{ID: s.cfg.Self, Incarnation: s.cfg.Incarnation}
}

// slots returns the group that is in effect.
func (s *memberState) slots() slots {
	return s.log.groups.latest().slots
}

// isVoter tells whether this member has a vote, by the group that it knows.
func (s *memberState) isVoter() bool {
	return !s.cfg.Learner && s.slots().votes(s.self())
}

// recognizes tells whether the member has a slot or is a peer.
func (s *memberState) recognizes(id member.ID) bool {
	return s.slots().position(id) >= 0 || s.peers.find(id) != nil
}

// otherMembers returns the other members: those with a slot, then the peers
// without one.
func (s *memberState) otherMembers() []member.ID {
	group := s.slots()
	others := make([]member.ID, 0, len(group)+len(s.peers))
	for _, slot := range group {
		if slot.ID != s.cfg.Self {
			others = append(others, slot.ID)
		}
	}
	for _, peer := range s.peers {
		if group.position(peer.ID) < 0 {
			others = append(others, peer.ID)
		}
	}
	return others
}

// send queues a message for the next Ready. While a sync stalls, the queue is
// bounded; a message that is dropped then counts as lost on the way, and is
// repeated.
func (s *memberState) send(to member.ID, m Message) {
	if len(s.outbox) >= maxQueuedMessages {
		return
	}
	m.Incarnation = s.cfg.Incarnation
	s.outbox = append(s.outbox, Outbound{To: to, Message: m})
}
