package relaytree

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// parentDigestsPerInterval is the maximum number of times per Config.DigestEvery that
// changes of the trees cause digests to all parents.
const parentDigestsPerInterval = 4

// antiEntropy repairs the loss of updates: it sends the revisions of this node to other
// members, and compares their revisions with its own. It owns the schedule of digests.
//
// Two nodes can't reply to each other's digests endlessly: a node replies with a digest only
// if the received one shows a newer revision, and only if it has sent that member no digest
// within the last half of digestEvery.
type antiEntropy struct {
	digestEvery time.Duration
	topology    *topology
	store       *stateStore
	assembler   *assembler
	sender      *sender
	outbox      *outbox

	// nextDigestAt is when the next digests are due.
	nextDigestAt time.Duration
	// rotation selects the parent and the other member that get the next digests.
	rotation uint64
	// parentsChanged is true if a change of the trees may have given this node new parents
	// and the digests to all parents are still to be sent. parentsNotifiedAt is when such
	// digests were last sent.
	parentsChanged    bool
	parentsNotifiedAt time.Duration
	// sentAt is when a digest was last sent to each live member.
	sentAt map[member.ID]time.Duration
}

// treesChanged brings the next digests forward after a change of the trees, so that new
// parents get one without delay. parentDigestsPerInterval limits the number of digests
// while the members change one after the other.
func (a *antiEntropy) treesChanged(now time.Duration) {
	a.parentsChanged = true
	a.nextDigestAt = min(a.nextDigestAt, max(now, a.parentsNotifiedAt+a.digestEvery/parentDigestsPerInterval))
}

// removeAllExcept removes the times of digests to members that aren't live.
func (a *antiEntropy) removeAllExcept(live map[member.ID]bool) {
	maps.DeleteFunc(a.sentAt, func(id member.ID, _ time.Duration) bool { return !live[id] })
}

// sendDueDigests sends the digests that are due: to one parent, or after a change of the
// trees to all parents, and to one of the other members. It selects the parent and the
// member in rotation. A digest covers all topics, so each receiver can send any topic of
// which it has a newer revision, and not only those for which it is the parent.
func (a *antiEntropy) sendDueDigests(now time.Duration) {
	if now < a.nextDigestAt {
		return
	}
	a.nextDigestAt = now + a.digestEvery
	receivers := a.topology.parents()
	if a.parentsChanged {
		a.parentsChanged = false
		a.parentsNotifiedAt = now
	} else if len(receivers) > 1 {
		selected := a.rotation % uint64(len(receivers))
		receivers = receivers[selected : selected+1]
	}
	if others := a.topology.others(); len(others) > 0 {
		selected := others[a.rotation%uint64(len(others))].ID
		a.rotation++
		if !slices.Contains(receivers, selected) {
			receivers = append(receivers, selected)
		}
	}
	for _, id := range receivers {
		a.sendDigest(now, id)
	}
}

// sendDigest sends a member the revisions that this node has or is assembling.
func (a *antiEntropy) sendDigest(now time.Duration, to member.ID) {
	a.sentAt[to] = now
	revisions := make([]TopicRevision, 0, len(a.store.states))
	for topic, state := range a.store.states {
		revisions = append(revisions, TopicRevision{
			Topic:      topic,
			Revision:   state.revision,
			Assembling: a.assembler.isReceiving(now, topic),
		})
	}
	for topic := range a.assembler.assemblies {
		if a.store.states[topic] == nil && a.assembler.isReceiving(now, topic) {
			revisions = append(revisions, TopicRevision{Topic: topic, Assembling: true})
		}
	}
	slices.SortFunc(revisions, func(a, b TopicRevision) int { return cmp.Compare(a.Topic, b.Topic) })
	a.outbox.send(to, Message{Type: MessageDigest, Revisions: revisions})
}

// onDigest handles a member's digest. It sends the member the newer revisions that this node
// has, and replies with a digest if the member has a newer revision of any topic.
func (a *antiEntropy) onDigest(now time.Duration, from member.ID, revisions []TopicRevision) {
	senderRevisions := make(map[Topic]TopicRevision, len(revisions))
	senderNewer := false
	for _, entry := range revisions {
		senderRevisions[entry.Topic] = entry
		senderNewer = senderNewer || entry.Revision > a.store.revision(entry.Topic)
	}
	for _, topic := range slices.Sorted(maps.Keys(a.store.states)) {
		atSender := senderRevisions[topic]
		a.sender.recordRevision(from, topic, atSender.Revision)
		if a.store.states[topic].revision > atSender.Revision && !atSender.Assembling {
			a.sender.sendNewest(now, from, topic)
		}
	}
	sentAt, sent := a.sentAt[from]
	sentRecently := sent && now-sentAt < a.digestEvery/2
	if senderNewer && !sentRecently {
		a.sendDigest(now, from)
	}
}
