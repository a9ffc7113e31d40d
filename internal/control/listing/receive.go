package listing

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Step takes a message of another node.
func (m *Machine) Step(now time.Duration, from member.ID, message Message) Output {
	m.now = now
	switch {
	case message.Request != nil:
		m.receiveRequest(from, *message.Request)
	case message.Reading != nil:
		m.receiveReading(from, *message.Reading)
	}
	return m.takeOutput()
}

// receiveRequest answers with this node's list if it is newer, at once or as soon
// as it is.
func (m *Machine) receiveRequest(from member.ID, request Request) {
	if request.Version != (Version{}) {
		m.requestedAt[from] = m.now
	}
	if m.current.present && (request.Number > 0 || m.current.version.newerThan(request.Version)) {
		m.reply(from, request)
		return
	}
	m.pendingRequests[from] = pendingRequest{receivedAt: m.now, request: request}
}

// answerPending answers the requests that waited for a newer reading.
func (m *Machine) answerPending() {
	for _, one := range m.members {
		request, pending := m.pendingRequests[one.ID]
		if pending && m.now-request.receivedAt < pendingRequestTimeout {
			m.reply(one.ID, request.request)
		}
	}
	clear(m.pendingRequests)
}

// reply sends the newest reading, without its replicas if the other node has them.
func (m *Machine) reply(to member.ID, request Request) {
	reading := m.fullReading()
	if request.Digest == m.current.digest {
		reading = m.unchangedReading()
	}
	reading.AnswersRequest = request.Number
	m.send(to, Message{Reading: &reading})
}

// receiveReading takes a reading that is newer than the one in force.
func (m *Machine) receiveReading(from member.ID, reading Reading) {
	if m.current.present && !reading.Version.newerThan(m.current.version) {
		if reading.Version == m.current.version {
			m.proof.receive(reading)
		}
		m.notifyOutdatedReader(reading.Version)
		return
	}
	m.forward(from, reading)
	replicas, known := m.decode(reading)
	if !known {
		m.request(from)
		return
	}
	m.accept(reading, replicas)
	m.proof.receive(reading)
}

// notifyOutdatedReader shows a reader that does not know of a later one what is in
// force, so that it stops.
func (m *Machine) notifyOutdatedReader(version Version) {
	if version.Reader == m.current.version.Reader || !m.isMember(version.Reader) {
		return
	}
	if last, notified := m.notifiedAt[version.Reader]; notified && m.now-last < requestEvery {
		return
	}
	m.notifiedAt[version.Reader] = m.now
	m.reply(version.Reader, Request{})
}

// forward passes a list on within the zone, each reading once.
func (m *Machine) forward(from member.ID, reading Reading) {
	if !reading.Forward || reading.Version == m.forwarded {
		return
	}
	m.forwarded = reading.Version
	for _, one := range m.members {
		if one.Zone != m.config.Zone || one.ID == m.config.Self || one.ID == from || one.ID == reading.Version.Reader {
			continue
		}
		passed := reading
		passed.Forward = false
		m.send(one.ID, Message{Reading: &passed})
	}
}

// decode returns the whole list of a message, unless it is sent as changes to one
// that this node does not have.
func (m *Machine) decode(reading Reading) ([]Replica, bool) {
	var base []Replica
	if reading.Base != 0 {
		if !m.current.present || reading.Base != m.current.digest {
			return nil, false
		}
		base = m.current.replicas
	}
	if reading.Base == reading.Digest && len(reading.Changes) == 0 {
		return base, true
	}
	replicas := apply(base, reading.Changes)
	return replicas, digestOf(replicas) == reading.Digest
}

// accept puts a reading of another node in force.
func (m *Machine) accept(reading Reading, replicas []Replica) {
	before := m.current
	m.current = storedReading{
		present:      true,
		version:      reading.Version,
		readAt:       m.now - reading.Age,
		readerReadAt: reading.ReadAt,
		receivedAt:   m.now,
		replicas:     replicas,
		digest:       reading.Digest,
	}
	m.reader.stop()
	m.requests = 0
	sameReader := before.version.Term == reading.Version.Term && before.version.Reader == reading.Version.Reader
	if before.present && !sameReader && m.current.readAt-before.readAt < mergeWithin {
		// Messages of the new reader that were delayed may follow.
		m.mergeUntil = m.now + m.config.ReadEvery/2
	}
	switch {
	case m.now < m.mergeUntil:
		m.useMerged(replicas)
	case reading.Digest != before.digest || !sameReader || m.merged:
		m.use(replicas)
	}
	m.answerPending()
}

// use puts a list in force as it is.
func (m *Machine) use(replicas []Replica) {
	m.merged = false
	m.replicas = onClock(replicas, m.current.readAt-m.current.readerReadAt)
	m.changed = true
}

// useMerged puts in force what a list and the one in force both allow.
func (m *Machine) useMerged(replicas []Replica) {
	m.merged = true
	m.replicas = intersect(m.replicas, onClock(replicas, m.current.readAt-m.current.readerReadAt))
	m.changed = true
}

// requestDue reports whether this node's list is to be asked for.
func (m *Machine) requestDue() bool {
	if m.reader.active || m.reader.inFlight || len(m.members) <= 1 {
		return false
	}
	return !m.current.present || m.now-m.current.receivedAt >= m.config.ReadEvery+requestAfter
}

// sendRequest asks the reader first, and then one member after the other.
func (m *Machine) sendRequest() {
	others := m.others()
	target := others[m.requests%len(others)].ID
	reader := m.current.version.Reader
	if m.requests == 0 && reader != m.config.Self && m.isMember(reader) {
		target = reader
	}
	m.requests++
	m.request(target)
}

func (m *Machine) request(to member.ID) {
	m.nextRequest = m.now + requestEvery
	request := Request{
		Version: m.current.version,
		Digest:  m.current.digest,
		Number:  m.proof.requestNumber(m.now),
	}
	m.send(to, Message{Request: &request})
}
