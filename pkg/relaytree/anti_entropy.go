package relaytree

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// parentDigestsPerInterval is how often in DigestEvery new parents get a digest at most.
const parentDigestsPerInterval = 4

// antiEntropy repairs what updates down the tree did not bring: it tells other members
// which revisions this node has, and compares theirs. It owns the schedule of digests.
//
// Two nodes never reply to each other's digests without end: a node replies only to one
// that shows something newer, and not to a member that it sent a digest within half of
// digestEvery.
type antiEntropy struct {
	digestEvery time.Duration
	topology    *topology
	store       *stateStore
	assembler   *assembler
	sender      *sender
	outbox      *outbox

	// nextDigestAt is when digests are sent next.
	nextDigestAt time.Duration
	// rotation selects the parent and the other member that get the next digests.
	rotation uint64
	// parentsChanged tells that there may be new parents, and parentsNotifiedAt when
	// all parents were last sent a digest for that reason.
	parentsChanged    bool
	parentsNotifiedAt time.Duration
	// sentAt is when a digest was last sent to each live member.
	sentAt map[member.ID]time.Duration
}

// treesChanged brings the next digests forward after a change of the trees: the new
// parents get them at once, but not again and again while members come and go one after
// the other.
func (a *antiEntropy) treesChanged(now time.Duration) {
	a.parentsChanged = true
	a.nextDigestAt = min(a.nextDigestAt, max(now, a.parentsNotifiedAt+a.digestEvery/parentDigestsPerInterval))
}

// removeAllExcept drops what is kept of members that aren't live.
func (a *antiEntropy) removeAllExcept(live map[member.ID]bool) {
	maps.DeleteFunc(a.sentAt, func(id member.ID, _ time.Duration) bool { return !live[id] })
}

// sendDueDigests sends, if digests are due, one to one parent in turn and one to one other
// member in turn; after a change of the trees, to all parents. Any of them that has
// something newer sends it, whatever the topic.
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

// onDigest sends what is newer here, and replies with a digest if something is newer there.
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
