package listing

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// DefaultReadEvery is the time between two readings of the list.
	DefaultReadEvery = time.Second
	// suspendedAfter is the time between two ticks from which on a node takes itself
	// to have been suspended.
	suspendedAfter = 500 * time.Millisecond
)

// Config sets up a Machine.
type Config struct {
	Self member.ID
	Zone string
	// ReadEvery is the time between two readings; 0 means the default.
	ReadEvery time.Duration
}

// Output is what a node has to do after an input.
type Output struct {
	Sends []Outbound
	// Read asks for a reading; its outcome comes by ReadDone.
	Read bool
	// Changed means that Replicas has changed.
	Changed bool
}

// Machine is the part of one node in keeping the list. It composes the parts that the
// package page names. It is not safe for concurrent use.
type Machine struct {
	now          time.Duration
	members      *readerOrder
	table        *table
	reader       reader
	disseminator disseminator
	follower     follower
	responder    responder
	outbox       *outbox
}

// New returns the machine of a node that starts.
func New(config Config, now time.Duration) *Machine {
	if config.ReadEvery <= 0 {
		config.ReadEvery = DefaultReadEvery
	}
	members := &readerOrder{self: config.Self, zone: config.Zone, members: []Member{{ID: config.Self, Zone: config.Zone}}}
	table := &table{self: config.Self, readEvery: config.ReadEvery}
	outbox := &outbox{}
	return &Machine{
		now:     now,
		members: members,
		table:   table,
		outbox:  outbox,
		reader:  reader{self: config.Self, readEvery: config.ReadEvery},
		disseminator: disseminator{
			members: members, table: table, outbox: outbox,
			requestedAt: map[member.ID]time.Duration{},
		},
		follower: follower{
			members: members, table: table, outbox: outbox,
			readEvery: config.ReadEvery, started: now,
		},
		responder: responder{
			members: members, table: table, outbox: outbox,
			pending: map[member.ID]pendingRequest{}, notifiedAt: map[member.ID]time.Duration{},
		},
	}
}

// SetMembers takes the live members of the deployment.
func (m *Machine) SetMembers(members []Member) {
	m.members.set(members)
	m.follower.membersChanged(m.now)
}

// Tick advances time.
func (m *Machine) Tick(now time.Duration) Output {
	if now-m.now > suspendedAfter {
		// Others may have taken over. What this node would read now says nothing
		// about that, so that it waits for them like any other.
		m.reader.stop()
	}
	m.now = now
	read := m.reader.tick(now, m.follower.takeOverAt)
	m.follower.tick(now, m.reader.active || m.reader.inFlight)
	output := m.collect()
	output.Read = read
	return output
}

// ReadDone takes the outcome of a reading that began at startedAt: the list with
// WarmingUntil on this node's clock, or an error, after which the last list stays in
// force.
func (m *Machine) ReadDone(now, startedAt time.Duration, replicas []Replica, err error) Output {
	m.now = now
	current := m.table.current
	switch {
	case err != nil:
		m.reader.fail(now)
	case current.present && current.readAt >= startedAt:
		// Another node read meanwhile.
		m.reader.discard()
	default:
		m.publish(startedAt, replicas)
	}
	return m.collect()
}

// publish puts this node's own reading in force and passes it on.
func (m *Machine) publish(startedAt time.Duration, replicas []Replica) {
	before := m.table.current
	m.table.publish(m.now, startedAt, m.reader.succeed(before.version), replicas)
	m.follower.refreshed()
	m.follower.proof.prove(startedAt)
	m.responder.dropPending()
	m.disseminator.disseminate(m.now, before)
}

// Step takes a message of another node.
func (m *Machine) Step(now time.Duration, from member.ID, message Message) Output {
	m.now = now
	switch {
	case message.Request != nil:
		if message.Request.Version != (Version{}) {
			m.disseminator.requested(now, from)
		}
		m.responder.receive(now, from, *message.Request)
	case message.Reading != nil:
		m.receiveReading(from, *message.Reading)
	}
	return m.collect()
}

// receiveReading puts a reading in force that is newer than the present one. Else it is a
// proof at the most, or comes from a reader that does not know of a later one.
func (m *Machine) receiveReading(from member.ID, reading Reading) {
	current := m.table.current
	if current.present && !reading.Version.newerThan(current.version) {
		if reading.Version == current.version {
			m.follower.proof.receive(reading)
		}
		m.responder.notifyOutdatedReader(m.now, reading.Version.Reader)
		return
	}
	m.disseminator.forward(from, reading)
	replicas, known := m.table.expand(reading)
	if !known {
		m.follower.request(m.now, from)
		return
	}
	m.table.accept(m.now, reading, replicas)
	m.reader.stop()
	m.follower.refreshed()
	m.responder.answerPending(m.now)
	m.follower.proof.receive(reading)
}

// collect gathers what the node has to do after an input.
func (m *Machine) collect() Output {
	return Output{Sends: m.outbox.take(), Changed: m.table.takeChanged()}
}

// RequestProof has the node ask how old its list is at the most. The times of messages
// that arrived are no measure after this node was suspended or cut off, as they may
// have been delayed.
func (m *Machine) RequestProof() { m.follower.requestProof(m.now) }

// ProvenAt returns an instant before which the list in force was certainly not read,
// as of the last proof; false before the first.
func (m *Machine) ProvenAt() (readAt time.Duration, proven bool) {
	return m.follower.proof.readAt, m.follower.proof.present
}

// Replicas returns the list that the node uses, sorted by service and address;
// read only. WarmingUntil is on the node's clock.
func (m *Machine) Replicas() []Replica { return m.table.replicas }

// ReadAt returns when the list that the node uses was read; false before the first.
func (m *Machine) ReadAt() (readAt time.Duration, present bool) {
	return m.table.current.readAt, m.table.current.present
}

// Version names the newest reading.
func (m *Machine) Version() Version { return m.table.current.version }

// Reads reports whether this node is the reader.
func (m *Machine) Reads() bool { return m.reader.active }
