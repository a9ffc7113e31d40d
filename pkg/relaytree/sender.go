package relaytree

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// maxResends is the maximum number of times that a chunk of an update in several chunks is
// sent again.
const maxResends = 8

// sender sends the newest revisions to other members. It owns the revisions that they are
// known to have, and the updates in flight: at most one for each topic and member.
type sender struct {
	// resendAfter is how long a chunk may be unacknowledged before its transfer is overdue.
	resendAfter time.Duration
	store       *stateStore
	outbox      *outbox
	// knownRevisions contains the latest known revisions of other members. It is 0 for a
	// member that needs the complete state, because it has none or because a delta to its
	// state did not lead to the checksum.
	knownRevisions map[receiverTopic]uint64
	inFlight       map[receiverTopic]*transfer
}

// receiverTopic identifies a topic and a member to which it is sent.
type receiverTopic struct {
	to    member.ID
	topic Topic
}

// transfer is an update in flight: one of its chunks was sent and isn't acknowledged yet.
type transfer struct {
	update *outgoingUpdate
	// chunk is the position of the chunk that was sent last, and sentAt is when.
	chunk  int
	sentAt time.Duration
	// resends is the number of times that chunk was sent again.
	resends int
}

// sendNewest sends the newest revision of a topic to a member unless the member is known to
// have it. If an update is in flight to the member, sendNewest does nothing: the newest
// revision is sent when that update is acknowledged or expires.
func (s *sender) sendNewest(now time.Duration, to member.ID, topic Topic) {
	key := receiverTopic{to: to, topic: topic}
	if s.inFlight[key] != nil {
		return
	}
	state := s.store.getOrCreate(topic)
	base, known := s.knownRevisions[key]
	if !known {
		base = state.guessBase()
	}
	if known && base >= state.revision {
		return
	}
	s.inFlight[key] = &transfer{update: state.updateFrom(base)}
	s.sendChunk(now, key)
}

func (s *sender) sendChunk(now time.Duration, key receiverTopic) {
	transfer := s.inFlight[key]
	transfer.sentAt = now
	s.outbox.send(key.to, transfer.update.message(key.topic, transfer.chunk))
}

// recordRevision records the revision that a member has of a topic.
func (s *sender) recordRevision(id member.ID, topic Topic, revision uint64) {
	s.knownRevisions[receiverTopic{to: id, topic: topic}] = revision
}

// needsCompleteState reports whether a member is known to have no state of a topic, or has
// rejected a delta because of its checksum.
func (s *sender) needsCompleteState(id member.ID, topic Topic) bool {
	revision, known := s.knownRevisions[receiverTopic{to: id, topic: topic}]
	return known && revision == 0
}

// onAcknowledge handles the acknowledgement of an update. It sends the next chunk or, if the
// transfer has ended and the receiver's revision isn't the newest, the newest revision.
func (s *sender) onAcknowledge(now time.Duration, from member.ID, msg Message) {
	key := receiverTopic{to: from, topic: msg.Topic}
	transfer := s.inFlight[key]
	matchesTransfer := transfer != nil && transfer.update.revision == msg.AcknowledgedRevision
	if matchesTransfer && msg.Chunk > 0 {
		s.advance(now, key, int(msg.Chunk))
		return
	}
	s.knownRevisions[key] = msg.Revision
	if msg.Mismatch {
		s.knownRevisions[key] = 0
		// The cached complete state may be no newer than the receiver's revision, in which
		// case the receiver would not apply it. Without it, a new one is built.
		s.store.getOrCreate(msg.Topic).completeUpdate = nil
	}
	if transfer != nil && !matchesTransfer {
		return
	}
	delete(s.inFlight, key)
	if msg.Revision < s.store.revision(msg.Topic) {
		s.sendNewest(now, from, msg.Topic)
	}
}

// advance sends the next chunk that the receiver needs. It ignores a duplicate or late
// acknowledgement, which names a chunk that was sent before.
func (s *sender) advance(now time.Duration, key receiverTopic, nextChunk int) {
	transfer := s.inFlight[key]
	if nextChunk <= transfer.chunk || nextChunk >= len(transfer.update.chunks) {
		return
	}
	transfer.chunk = nextChunk
	transfer.resends = 0
	s.sendChunk(now, key)
}

// expire handles the overdue transfers. A chunk of an update in several chunks is sent
// again, up to maxResends times. All other overdue transfers end, and a newer revision is
// sent if there is one. If there is none and the update was lost, the next digest of the
// receiver shows that the receiver needs it.
func (s *sender) expire(now time.Duration) {
	for _, key := range s.overdue(now) {
		transfer := s.inFlight[key]
		if len(transfer.update.chunks) > 1 && transfer.resends < maxResends {
			transfer.resends++
			s.sendChunk(now, key)
			continue
		}
		delete(s.inFlight, key)
		if s.store.revision(key.topic) > transfer.update.revision {
			s.sendNewest(now, key.to, key.topic)
		}
	}
}

// overdue returns the keys of the transfers that weren't acknowledged within resendAfter,
// sorted by member and topic.
func (s *sender) overdue(now time.Duration) []receiverTopic {
	var overdue []receiverTopic
	for key, transfer := range s.inFlight {
		if now-transfer.sentAt >= s.resendAfter {
			overdue = append(overdue, key)
		}
	}
	slices.SortFunc(overdue, func(a, b receiverTopic) int {
		return cmp.Or(cmp.Compare(a.to, b.to), cmp.Compare(a.topic, b.topic))
	})
	return overdue
}

// removeAllExcept removes the transfers to members that aren't live, and their known
// revisions.
func (s *sender) removeAllExcept(live map[member.ID]bool) {
	maps.DeleteFunc(s.inFlight, func(key receiverTopic, _ *transfer) bool { return !live[key.to] })
	maps.DeleteFunc(s.knownRevisions, func(key receiverTopic, _ uint64) bool { return !live[key.to] })
}
