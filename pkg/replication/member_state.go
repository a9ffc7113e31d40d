package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// maxQueuedMessages limits the number of messages that wait for a Ready.
const maxQueuedMessages = 4096

// memberState is the state that a member has in every role: its identity, the time, its term
// and log, the members that it knows, and its outgoing messages. All parts of a Group share
// one memberState. The term, the vote and the log have invariants and are changed only
// through methods that maintain them.
type memberState struct {
	cfg Config
	// now is the latest time that the driver has passed in.
	now time.Duration
	// hardState is the present term and vote.
	hardState termState
	log       *replicaLog
	peers     peerSet
	// outbox contains the messages for the next Ready.
	outbox []Outbound
}

// advanceClock sets the time, which never goes backwards.
func (s *memberState) advanceClock(now time.Duration) {
	s.now = max(s.now, now)
}

// self returns this member in its present incarnation.
func (s *memberState) self() Voter {
	return Voter{ID: s.cfg.Self, Incarnation: s.cfg.Incarnation}
}

// slots returns the group that is in effect.
func (s *memberState) slots() slots {
	return s.log.groups.latest().slots
}

// isVoter reports whether this member has a vote in the group that it knows.
func (s *memberState) isVoter() bool {
	return !s.cfg.Learner && s.slots().votes(s.self())
}

// recognizes reports whether the member has a slot or is a known peer.
func (s *memberState) recognizes(id member.ID) bool {
	return s.slots().position(id) >= 0 || s.peers.find(id) != nil
}

// otherMembers returns the IDs of the other members: first those with a slot, then the peers
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

// send queues a message for the next Ready. The queue is bounded, as it grows while a sync
// stalls. A message that does not fit is dropped like one that is lost on the network, and is
// sent again later.
func (s *memberState) send(to member.ID, m Message) {
	if len(s.outbox) >= maxQueuedMessages {
		return
	}
	m.Incarnation = s.cfg.Incarnation
	s.outbox = append(s.outbox, Outbound{To: to, Message: m})
}
