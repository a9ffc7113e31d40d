package replication

import "time"

// maxInFlightEntries is how many entries the leader sends to a follower before it waits for
// an acknowledgement.
const maxInFlightEntries = 1024

// progressState is how the leader sends the log to a follower.
type progressState uint8

const (
	// progressProbe searches for the last matching entry, one append at a time.
	progressProbe progressState = iota
	// progressReplicate sends entries without waiting for acknowledgements of earlier ones.
	progressReplicate
	// progressSnapshot waits for the follower to install a snapshot.
	progressSnapshot
)

// progress is the leader's view of a follower. match < next always holds.
type progress struct {
	state progressState
	// match is the last index known to be durable on the follower and the same as on the
	// leader.
	match uint64
	// next is the index of the first entry to send.
	next uint64
	// probeSent is true if an append is in flight in progressProbe.
	probeSent bool
	// snapshotIndex and snapshotSentAt are valid in progressSnapshot.
	snapshotIndex  uint64
	snapshotSentAt time.Duration
	// inFlight are the appends that were sent and are not acknowledged. In progressReplicate,
	// no more are sent once their size reaches maxInFlightBytes; zero means no limit.
	inFlight         inFlightAppends
	maxInFlightBytes int
	// sentHeartbeat is the number of the newest heartbeat that was sent before the last
	// append with entries or the last snapshot.
	sentHeartbeat uint64
	// lastContact is when the leader last heard from the member in this term.
	lastContact time.Duration
	// ackedHeartbeat is the number of the newest heartbeat that the member acknowledged.
	ackedHeartbeat uint64
	// contactHeartbeat is the number of the newest heartbeat that was sent before
	// lastContact.
	contactHeartbeat uint64
	// incarnation is the newest incarnation in which the leader heard from the member. match
	// and ackedHeartbeat belong to this incarnation, and count only if it has a vote.
	incarnation uint64
	// refusesVote is true if the member never takes a vote (Config.Learner).
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

// lastSendLost reports whether the last append or snapshot was lost, given that the follower
// has acknowledged the heartbeat but not what was sent before it. A connection preserves the
// order of messages, and a follower acknowledges them in that order.
func (p *progress) lastSendLost(heartbeat uint64) bool {
	return heartbeat > p.sentHeartbeat
}

// isLaterIncarnation reports whether the message proves that its incarnation is later than
// the one in which the leader last heard from the member. It does if it acknowledges a
// heartbeat that was sent after that contact, as a member runs in only one incarnation at a
// time. So the numbers of incarnations need no order, and no late message of a lost
// incarnation counts.
func (p *progress) isLaterIncarnation(m Message) bool {
	return m.HeartbeatNumber > p.contactHeartbeat && m.Incarnation != 0
}

// recordContact records that a message that counts was received when the newest heartbeat had
// the given number.
func (p *progress) recordContact(m Message, now time.Duration, heartbeat uint64) {
	p.lastContact = now
	p.contactHeartbeat = heartbeat
	p.refusesVote = m.Learner
}

// beginIncarnation switches to a new incarnation, and discards what the member acknowledged
// with the durable state that it lost.
func (p *progress) beginIncarnation(incarnation uint64) {
	p.incarnation = incarnation
	p.match = 0
	p.ackedHeartbeat = 0
	p.becomeProbe()
}

// acknowledged records that the follower has everything up to index. It returns whether match
// advanced.
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

// rejected records that the follower lacks the entry at index, and that the logs may agree up
// to hint. It returns true if the leader must send again, and false for an outdated reply.
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

// sent records that an append was sent when the newest heartbeat had the given number.
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

// isPaused reports whether no append may be sent until the follower acknowledges one.
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
