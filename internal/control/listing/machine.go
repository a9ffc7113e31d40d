package listing

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// DefaultReadEvery is the time between two readings of the list.
	DefaultReadEvery = time.Second
	// requestAfter is how much longer than ReadEvery a node waits for a refresh
	// before it asks another node, which repairs a lost message.
	requestAfter = 350 * time.Millisecond
	// requestEvery is the time between two such requests.
	requestEvery = 200 * time.Millisecond
	// takeOverAfter is how much longer than ReadEvery the first in the order of
	// readers waits for a refresh before it reads by itself, and takeOverStep how
	// much longer each further step of the order waits.
	takeOverAfter = 500 * time.Millisecond
	takeOverStep  = 350 * time.Millisecond
	// firstReadAfter is how long a starting node waits for the list of another
	// node before the first in the order reads, and soleNodeDelay how long it waits
	// if it knows no other node.
	firstReadAfter = 300 * time.Millisecond
	soleNodeDelay  = time.Second
	// mergeWithin is how long after the reading in force one of another reader
	// may have begun and yet be older, since ages leave out the time on the way.
	mergeWithin = 2 * time.Second
	// suspendedAfter is the time between two ticks from which on a node takes itself
	// to have been suspended.
	suspendedAfter = 500 * time.Millisecond
	// warmUpJitter is by how much two readings of one warm-up may differ.
	warmUpJitter = 500 * time.Millisecond
	// directSendPeriod is how long a node that had to ask gets readings directly, in
	// case the one that should pass them on does not.
	directSendPeriod = 10 * time.Second
	// pendingRequestTimeout is how long a request waits for a reading to answer it with.
	pendingRequestTimeout = 500 * time.Millisecond
)

// Config sets up a Machine.
type Config struct {
	Self member.ID
	Zone string
	// ReadEvery is the time between two readings; 0 means the default.
	ReadEvery time.Duration
}

// Machine is the part of one node in keeping the list. It owns the newest reading, the
// list that the node uses, and the requests for readings on their way. It is not safe for
// concurrent use.
type Machine struct {
	config  Config
	now     time.Duration
	started time.Duration
	members []Member
	// requestedFirst means that this node asked the first members that it learnt of.
	requestedFirst bool
	current        storedReading
	// replicas is what the node uses, on its own clock.
	replicas []Replica
	changed  bool
	// merged means that replicas is what the lists of two readers have in common,
	// and mergeUntil until when no list is used alone.
	merged     bool
	mergeUntil time.Duration

	reader readerState
	proof  freshnessProof

	// requests counts those that this node sent since the last refresh, and nextRequest is
	// when the next may be sent.
	requests    int
	nextRequest time.Duration
	// requestedAt is when each node that had a list last asked this one.
	requestedAt map[member.ID]time.Duration
	// pendingRequests are requests that this node had nothing newer for.
	pendingRequests map[member.ID]pendingRequest
	// notifiedAt is when each outdated reader was last notified.
	notifiedAt map[member.ID]time.Duration
	forwarded  Version
	output     Output
}

// storedReading is the newest reading that this node has.
type storedReading struct {
	present bool
	version Version
	// readAt is when the reading began, on this node's clock, or a little before
	// the message with it arrived; readerReadAt is the same on the reader's clock.
	readAt       time.Duration
	readerReadAt time.Duration
	// receivedAt is when the reading reached this node.
	receivedAt time.Duration
	replicas   []Replica
	digest     uint64
}

// pendingRequest is a request that a later reading answers.
type pendingRequest struct {
	receivedAt time.Duration
	request    Request
}

// Output is what a node has to do after an input.
type Output struct {
	Sends []Outbound
	// Read asks for a reading; its outcome comes by ReadDone.
	Read bool
	// Changed means that Replicas has changed.
	Changed bool
}

// New returns the machine of a node that starts.
func New(config Config, now time.Duration) *Machine {
	if config.ReadEvery <= 0 {
		config.ReadEvery = DefaultReadEvery
	}
	return &Machine{
		config:          config,
		now:             now,
		started:         now,
		members:         []Member{{ID: config.Self, Zone: config.Zone}},
		requestedAt:     map[member.ID]time.Duration{},
		pendingRequests: map[member.ID]pendingRequest{},
		notifiedAt:      map[member.ID]time.Duration{},
	}
}

// Replicas returns the list that the node uses, sorted by service and address;
// read only. WarmingUntil is on the node's clock.
func (m *Machine) Replicas() []Replica { return m.replicas }

// ReadAt returns when the list that the node uses was read; false before the first.
func (m *Machine) ReadAt() (readAt time.Duration, present bool) {
	return m.current.readAt, m.current.present
}

// Version names the newest reading.
func (m *Machine) Version() Version { return m.current.version }

// RequestProof has the node ask how old its list is at the most. The times of messages
// that arrived are no measure after this node was suspended or cut off, as they may
// have been delayed.
func (m *Machine) RequestProof() {
	m.proof.request()
	m.nextRequest = m.now
}

// ProvenAt returns an instant before which the list in force was certainly not read,
// as of the last proof; false before the first.
func (m *Machine) ProvenAt() (readAt time.Duration, proven bool) {
	return m.proof.readAt, m.proof.present
}

// Reads reports whether this node is the reader.
func (m *Machine) Reads() bool { return m.reader.active }

// Tick advances time.
func (m *Machine) Tick(now time.Duration) Output {
	if now-m.now > suspendedAfter {
		// Others may have taken over. What this node would read now says nothing
		// about that, so that it waits for them like any other.
		m.reader.stop()
	}
	m.now = now
	if m.reader.timedOut(now) {
		m.reader.fail(now)
	}
	if m.reader.due(now, m.takeOverAt) {
		m.reader.begin(now, m.config.ReadEvery)
		m.output.Read = true
	}
	if now >= m.nextRequest && (m.requestDue() || m.proof.pending && len(m.members) > 1) {
		m.sendRequest()
	}
	return m.takeOutput()
}

func (m *Machine) takeOutput() Output {
	m.output.Changed = m.changed
	m.changed = false
	output := m.output
	m.output = Output{}
	return output
}

// takeOverAt is when this node reads unless its list is refreshed.
func (m *Machine) takeOverAt() time.Duration {
	delay := time.Duration(takeOverSteps(m.rank())) * takeOverStep
	switch {
	case m.current.present:
		return m.current.receivedAt + m.config.ReadEvery + takeOverAfter + delay
	case len(m.members) <= 1:
		return m.started + soleNodeDelay
	default:
		return m.started + firstReadAfter + delay
	}
}

// ReadDone takes the outcome of a reading that began at startedAt: the list with
// WarmingUntil on this node's clock, or an error, after which the last list stays in
// force.
func (m *Machine) ReadDone(now, startedAt time.Duration, replicas []Replica, err error) Output {
	m.now = now
	switch {
	case err != nil:
		m.reader.fail(now)
	case m.current.present && m.current.readAt >= startedAt:
		// Another node read meanwhile.
		m.reader.discard()
	default:
		m.publish(startedAt, replicas)
	}
	return m.takeOutput()
}
