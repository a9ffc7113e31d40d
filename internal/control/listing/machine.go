package listing

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// DefaultReadEvery is the default time between two readings of the list.
	DefaultReadEvery = time.Second
	// suspendedAfter is the time since the last input above which a tick assumes that
	// the node was suspended.
	suspendedAfter = 500 * time.Millisecond
)

// Config sets up a Machine.
type Config struct {
	Self member.ID
	Zone string
	// ReadEvery is the time between two readings; 0 means DefaultReadEvery.
	ReadEvery time.Duration
}

// Output is what a node has to do after an input.
type Output struct {
	Sends []Outbound
	// Read asks the caller to read the platform's list and to pass the result to
	// ReadDone.
	Read bool
	// Changed means that Machine.Replicas returns a new list.
	Changed bool
}

// Machine implements the distribution of the list on one node. The package comment lists
// its components. It is not safe for concurrent use.
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

// New returns the machine of a node that starts now.
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

// SetMembers replaces the live members of the deployment, this node included.
func (m *Machine) SetMembers(members []Member) {
	m.members.set(members)
	m.follower.membersChanged(m.now)
}

// Tick runs the periodic work: reading the list, and requesting readings of other nodes.
func (m *Machine) Tick(now time.Duration) Output {
	if now-m.now > suspendedAfter {
		// Another node may have become the reader meanwhile, which a reading would not
		// reveal. This node therefore waits for readings of others first.
		m.reader.stop()
	}
	m.now = now
	read := m.reader.tick(now, m.follower.takeOverAt)
	m.follower.tick(now, m.reader.active || m.reader.inFlight)
	output := m.collect()
	output.Read = read
	return output
}

// ReadDone handles the outcome of a reading that began at startedAt: the list with
// WarmingUntil on this node's clock, or an error. After an error the node keeps its
// current list.
func (m *Machine) ReadDone(now, startedAt time.Duration, replicas []Replica, err error) Output {
	m.now = now
	current := m.table.current
	switch {
	case err != nil:
		m.reader.fail(now)
	case current.present && current.readAt >= startedAt:
		// A later reading by another node has arrived meanwhile.
		m.reader.discard()
	default:
		m.publish(startedAt, replicas)
	}
	return m.collect()
}

// publish makes this node's own reading the current one and sends it to the other members.
func (m *Machine) publish(startedAt time.Duration, replicas []Replica) {
	before := m.table.current
	m.table.publish(m.now, startedAt, m.reader.succeed(before.version), replicas)
	m.follower.refreshed()
	m.follower.proof.prove(startedAt)
	m.responder.dropPending()
	m.disseminator.disseminate(m.now, before)
}

// Step handles a message of another node.
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

// receiveReading accepts a reading that is newer than the current one. The current reading
// itself may be a proof of freshness. Any other reading comes from an outdated reader, which
// is notified.
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

// collect returns what the node has to do after an input.
func (m *Machine) collect() Output {
	return Output{Sends: m.outbox.take(), Changed: m.table.takeChanged()}
}

// RequestProof makes the node request a proof of how old its list is at most. After the
// node was suspended or partitioned, the times at which messages arrived prove nothing,
// since messages may have been delayed.
func (m *Machine) RequestProof() { m.follower.requestProof(m.now) }

// ProvenAt returns a time before which the current list was certainly not read, according
// to the last proof; proven is false before the first proof.
func (m *Machine) ProvenAt() (readAt time.Duration, proven bool) {
	return m.follower.proof.readAt, m.follower.proof.present
}

// Replicas returns the list that the node uses, sorted by service and address, with
// WarmingUntil on the node's clock. Callers must not modify it.
func (m *Machine) Replicas() []Replica { return m.table.replicas }

// ReadAt returns when the newest reading began; present is false before the first reading.
func (m *Machine) ReadAt() (readAt time.Duration, present bool) {
	return m.table.current.readAt, m.table.current.present
}

// Version returns the version of the newest reading.
func (m *Machine) Version() Version { return m.table.current.version }

// IsReader reports whether this node is the reader.
func (m *Machine) IsReader() bool { return m.reader.active }
