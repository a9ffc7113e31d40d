package replication

import "time"

// maxInFlightEntries is how many entries the leader sends to a follower before their
// acknowledgements.
const maxInFlightEntries = 1024

// progressState tells how the leader sends the log to a follower.
type progressState uint8

const (
	// progressProbe looks for the last matching entry, one append at a time.
	progressProbe progressState = iota
	// progressReplicate sends entries before those sent earlier are acknowledged.
	progressReplicate
	// progressSnapshot waits for the follower to install a snapshot.
	progressSnapshot
)

// progress is what a leader knows of a follower. match < next holds always.
type progress struct {
	state progressState
	// match is the last index known to be durable there and the same as here.
	match uint64
	// next is the first index to send.
	next uint64
	// probeSent tells that an append is in flight in progressProbe.
	probeSent bool
	// snapshotIndex and snapshotSentAt are valid in progressSnapshot.
	snapshotIndex  uint64
	snapshotSentAt time.Duration
	// inFlight are the appends that were sent and are not acknowledged: in
	// progressReplicate of up to about maxInFlightBytes together, where zero is no bound.
	inFlight         inFlightAppends
	maxInFlightBytes int
	// sentHeartbeat is the newest heartbeat that had been sent before the last append or
	// snapshot.
	sentHeartbeat uint64
	// lastContact is when the member was last heard in this term.
	lastContact time.Duration
	// ackedHeartbeat is the newest heartbeat that the member acknowledged.
	ackedHeartbeat uint64
	// contactHeartbeat is the newest heartbeat that had been sent at lastContact.
	contactHeartbeat uint64
	// incarnation is the newest incarnation in which the member was heard. match
	// and ackedHeartbeat are those of this incarnation, and count if it has a vote.
	incarnation uint64
	// refusesVote tells that the member never takes a vote, by its settings.
	refusesVote bool
}

func (p *progress) becomeProbe() {
	p.state = progressProbe
	p.next = p.match + 1
	p.probeSent = false
	p.inFlight = inFlightAppends{}
}

func (p *progress) becomeReplicate() {
	p.state = progressReplicate
	p.next = p.match + 1
	p.inFlight = inFlightAppends{}
}

func (p *progress) becomeSnapshot(index uint64, now time.Duration, heartbeat uint64) {
	p.state = progressSnapshot
	p.snapshotIndex = index
	p.snapshotSentAt = now
	p.next = index + 1
	p.sentHeartbeat = heartbeat
	p.inFlight = inFlightAppends{}
}

// lastSendLost tells whether the last append or snapshot was lost, as the follower has
// acknowledged that heartbeat and not what was sent before it: a connection keeps the
// order, and a follower acknowledges in it.
func (p *progress) lastSendLost(heartbeat uint64) bool {
	return heartbeat > p.sentHeartbeat
}

// isLaterIncarnation tells whether the message proves that its incarnation is later
// than the one that the member was heard in: it acknowledges a heartbeat that was
// sent after that one was heard, and the incarnations of a member follow each
// other. So the numbers of incarnations need no order, and no late message of a
// lost incarnation counts.
func (p *progress) isLaterIncarnation(m Message) bool {
	return m.HeartbeatNumber > p.contactHeartbeat && m.Incarnation != 0
}

// heard records a message that counts, when the newest heartbeat was that of the
// number.
func (p *progress) heard(m Message, now time.Duration, heartbeat uint64) {
	p.lastContact = now
	p.contactHeartbeat = heartbeat
	p.refusesVote = m.Learner
}

// beginIncarnation forgets what the member acknowledged with the durable state that
// it lost.
func (p *progress) beginIncarnation(incarnation uint64) {
	p.incarnation = incarnation
	p.match = 0
	p.ackedHeartbeat = 0
	p.becomeProbe()
}

// acknowledged records that the follower has everything up to index. It is true if
// match advanced.
func (p *progress) acknowledged(index uint64) bool {
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.inFlight.acknowledged(p.match)
	switch p.state {
	case progressProbe:
		p.becomeReplicate()
	case progressSnapshot:
		if p.match >= p.snapshotIndex {
			p.becomeReplicate()
		}
	case progressReplicate:
	}
	return advanced
}

// rejected records that the follower lacks the entry at index, and that the logs may
// agree at hint. It is true if the leader must send again, and false for a reply
// that is out of date.
func (p *progress) rejected(index, hint uint64) bool {
	if index <= p.match {
		return false
	}
	if p.state == progressSnapshot {
		return false
	}
	if p.state == progressProbe && index != p.next-1 {
		return false
	}
	p.becomeProbe()
	if hint < index {
		p.next = max(p.match, hint) + 1
	} else {
		p.next = max(p.match+1, index)
	}
	return true
}

// sent records that an append was sent after that heartbeat.
func (p *progress) sent(entries []Entry, heartbeat uint64) {
	if len(entries) > 0 {
		p.sentHeartbeat = heartbeat
	}
	if p.state == progressProbe {
		p.inFlight = inFlightAppends{}
	}
	p.inFlight.add(entries)
	switch p.state {
	case progressReplicate:
		p.next += uint64(len(entries))
	case progressProbe:
		p.probeSent = true
	case progressSnapshot:
	}
}

// isPaused tells that no append may be sent until one is acknowledged.
func (p *progress) isPaused() bool {
	switch p.state {
	case progressProbe:
		return p.probeSent
	case progressReplicate:
		tooManyBytes := p.maxInFlightBytes > 0 && p.inFlight.bytes >= p.maxInFlightBytes
		return tooManyBytes || p.next > p.match+maxInFlightEntries
	default:
		return true
	}
}
