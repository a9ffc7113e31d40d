package relaytree

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// maxResends is how often a chunk of an update in several chunks is sent again.
const maxResends = 8

// sender brings other members to the newest revisions. It owns what they are known to
// have, and the updates in flight: at most one for each topic and member.
type sender struct {
	// resendAfter is how long a chunk may stay unacknowledged.
	resendAfter time.Duration
	store       *stateStore
	outbox      *outbox
	// knownRevisions are the revisions that other members were last known to have; 0 for
	// one that has nothing, or whose state differs and has to be sent whole.
	knownRevisions map[receiverTopic]uint64
	inFlight       map[receiverTopic]*transfer
}

// receiverTopic identifies the feed of one topic to one member.
type receiverTopic struct {
	to    member.ID
	topic Topic
}

// transfer is an update of which a chunk was sent and isn't acknowledged yet.
type transfer struct {
	update *outgoingUpdate
	// chunk is the position of the chunk that was sent last, at sentAt.
	chunk  int
	sentAt time.Duration
	// resends counts how often that chunk was sent again.
	resends int
}

// sendNewest brings a member to the newest revision of a topic. If an update is in flight, it
// does nothing: the acknowledgement, or the expiry, sends the newest revision then.
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

// recordRevision takes in which revision of a topic a member has.
func (s *sender) recordRevision(id member.ID, topic Topic, revision uint64) {
	s.knownRevisions[receiverTopic{to: id, topic: topic}] = revision
}

// needsCompleteState tells whether a member is known to have nothing of a topic, or a state that
// differs.
func (s *sender) needsCompleteState(id member.ID, topic Topic) bool {
	revision, known := s.knownRevisions[receiverTopic{to: id, topic: topic}]
	return known && revision == 0
}

// onAcknowledge sends the next chunk, or what is newer than the receiver's revision.
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
		// The whole state that is cached may be no newer than the receiver's revision.
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

// advance sends the chunk that the receiver waits for. A duplicate or late
// acknowledgement changes nothing.
func (s *sender) advance(now time.Duration, key receiverTopic, nextChunk int) {
	transfer := s.inFlight[key]
	if nextChunk <= transfer.chunk || nextChunk >= len(transfer.update.chunks) {
		return
	}
	transfer.chunk = nextChunk
	transfer.resends = 0
	s.sendChunk(now, key)
}

// expire sends the unacknowledged chunks of updates in several chunks again, up to
// maxResends times, and gives all other overdue transfers up. If such an update was lost,
// the receiver's next digest shows it; a newer revision is sent now.
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

// overdue returns the transfers that weren't acknowledged in time, sorted.
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

// removeAllExcept drops the feeds of members that aren't live.
func (s *sender) removeAllExcept(live map[member.ID]bool) {
	maps.DeleteFunc(s.inFlight, func(key receiverTopic, _ *transfer) bool { return !live[key.to] })
	maps.DeleteFunc(s.knownRevisions, func(key receiverTopic, _ uint64) bool { return !live[key.to] })
}
