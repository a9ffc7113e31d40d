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
	case message.List != nil:
		m.receiveList(from, *message.List)
	}
	return m.take()
}

// receiveRequest answers with this node's list if it is newer, at once or as soon
// as it is.
func (m *Machine) receiveRequest(from member.ID, request Request) {
	if request.Version != (Version{}) {
		m.askedAt[from] = m.now
	}
	if m.held.present && (request.Number > 0 || m.held.version.newerThan(request.Version)) {
		m.answer(from, request)
		return
	}
	m.waiting[from] = waitingRequest{at: m.now, request: request}
}

// answerWaiting answers the requests that waited for a newer reading.
func (m *Machine) answerWaiting() {
	for _, one := range m.members {
		request, waits := m.waiting[one.ID]
		if waits && m.now-request.at < answerWithin {
			m.answer(one.ID, request.request)
		}
	}
	clear(m.waiting)
}

// answer sends the newest reading, without its replicas if the other node has them.
func (m *Machine) answer(to member.ID, request Request) {
	list := m.wholeList()
	if request.Digest == m.held.digest {
		list = m.freshList()
	}
	list.Answers = request.Number
	m.send(to, Message{List: &list})
}

// receiveList takes a reading that is newer than the one in force.
func (m *Machine) receiveList(from member.ID, list List) {
	if m.held.present && !list.Version.newerThan(m.held.version) {
		if list.Version == m.held.version {
			m.takeProof(list)
		}
		m.tellOutdatedReader(list.Version)
		return
	}
	m.forward(from, list)
	replicas, known := m.decode(list)
	if !known {
		m.request(from)
		return
	}
	m.accept(list, replicas)
	m.takeProof(list)
}

// takeProof notes how old the list in force is at the most, if a message answers the
// present requests for that: its age is counted from when the first was sent.
func (m *Machine) takeProof(list List) {
	if list.Answers == 0 || list.Answers != m.proof.number || !m.proof.wanted {
		return
	}
	m.prove(m.proof.sentAt - list.Age)
}

// tellOutdatedReader shows a reader that does not know of a later one what is in
// force, so that it stops.
func (m *Machine) tellOutdatedReader(version Version) {
	if version.Reader == m.held.version.Reader {
		return
	}
	if _, live := m.memberNamed(version.Reader); !live {
		return
	}
	if last, told := m.answeredAt[version.Reader]; told && m.now-last < requestEvery {
		return
	}
	m.answeredAt[version.Reader] = m.now
	m.answer(version.Reader, Request{})
}

// forward passes a list on within the zone, each reading once.
func (m *Machine) forward(from member.ID, list List) {
	if !list.Forward || list.Version == m.forwarded {
		return
	}
	m.forwarded = list.Version
	for _, one := range m.members {
		if one.Zone != m.config.Zone || one.ID == m.config.Self || one.ID == from || one.ID == list.Version.Reader {
			continue
		}
		passed := list
		passed.Forward = false
		m.send(one.ID, Message{List: &passed})
	}
}

// decode returns the whole list of a message, unless it is told as changes to one
// that this node does not have.
func (m *Machine) decode(list List) ([]Replica, bool) {
	var base []Replica
	if list.Base != 0 {
		if !m.held.present || list.Base != m.held.digest {
			return nil, false
		}
		base = m.held.replicas
	}
	if list.Base == list.Digest && len(list.Changes) == 0 {
		return base, true
	}
	replicas := apply(base, list.Changes)
	return replicas, digestOf(replicas) == list.Digest
}

// accept puts a reading of another node in force.
func (m *Machine) accept(list List, replicas []Replica) {
	before := m.held
	m.held = held{
		present:      true,
		version:      list.Version,
		readAt:       m.now - list.Age,
		readerReadAt: list.ReadAt,
		heardAt:      m.now,
		replicas:     replicas,
		digest:       list.Digest,
	}
	m.reader = false
	m.requests = 0
	sameReader := before.version.Term == list.Version.Term && before.version.Reader == list.Version.Reader
	if before.present && !sameReader && m.held.readAt-before.readAt < mergeWithin {
		// Messages of the new reader that were held up may follow.
		m.commonUntil = m.now + m.config.ReadEvery/2
	}
	switch {
	case m.now < m.commonUntil:
		m.useCommon(replicas)
	case list.Digest != before.digest || !sameReader || m.common:
		m.use(replicas)
	}
	m.answerWaiting()
}

// use puts a list in force as it is.
func (m *Machine) use(replicas []Replica) {
	m.common = false
	m.replicas = onClock(replicas, m.held.readAt-m.held.readerReadAt)
	m.changed = true
}

// useCommon puts in force what a list and the one in force both allow.
func (m *Machine) useCommon(replicas []Replica) {
	m.common = true
	m.replicas = allowedByBoth(m.replicas, onClock(replicas, m.held.readAt-m.held.readerReadAt))
	m.changed = true
}

// requestDue tells whether this node's list is to be asked for.
func (m *Machine) requestDue() bool {
	if m.reader || m.reading || len(m.members) <= 1 {
		return false
	}
	return !m.held.present || m.now-m.held.heardAt >= m.config.ReadEvery+requestAfter
}

// sendRequest asks the reader first, and then one member after the other.
func (m *Machine) sendRequest() {
	others := m.others()
	target := others[m.requests%len(others)].ID
	if _, live := m.memberNamed(m.held.version.Reader); live && m.requests == 0 && m.held.version.Reader != m.config.Self {
		target = m.held.version.Reader
	}
	m.requests++
	m.request(target)
}

func (m *Machine) request(to member.ID) {
	m.nextRequest = m.now + requestEvery
	request := Request{Version: m.held.version, Digest: m.held.digest}
	if m.proof.wanted {
		if !m.proof.asked {
			m.proof.asked = true
			m.proof.sentAt = m.now
		}
		request.Number = m.proof.number
	}
	m.send(to, Message{Request: &request})
}
