package relaytree

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Defaults of Config.
const (
	DefaultFanOut      = 4
	DefaultDigestEvery = 200 * time.Millisecond
	DefaultChunkBytes  = 128 << 10
)

// Config configures a Machine. Zero values of the numbers are replaced by the defaults.
type Config struct {
	Self member.ID
	// FanOut is the maximum number of children that a node has in its zone, and also the
	// maximum number that the entry node of a zone has in other zones.
	FanOut int
	// DigestEvery is the time between two digests. It is also the time after which an
	// unacknowledged chunk of an update in several chunks is sent again, and after which an
	// unacknowledged update in one chunk no longer delays a newer one.
	DigestEvery time.Duration
	// ChunkBytes is the size of names and contents, in bytes, above which an update is
	// sent in several chunks, one per round trip.
	ChunkBytes int
}

// Machine is the relay state machine of one node. It does no I/O and reads no clock; it is
// not safe for concurrent use. It composes the components that the package comment lists,
// and applies new revisions.
type Machine struct {
	config Config
	now    time.Duration

	topology    *topology
	store       *stateStore
	sender      *sender
	assembler   *assembler
	antiEntropy *antiEntropy
	outbox      *outbox
}

// New returns a machine without any state that knows no other member.
func New(cfg Config) *Machine {
	if cfg.FanOut <= 0 {
		cfg.FanOut = DefaultFanOut
	}
	if cfg.DigestEvery <= 0 {
		cfg.DigestEvery = DefaultDigestEvery
	}
	if cfg.ChunkBytes <= 0 {
		cfg.ChunkBytes = DefaultChunkBytes
	}
	m := &Machine{
		config:    cfg,
		topology:  &topology{self: cfg.Self, fanOut: cfg.FanOut, roots: map[Topic]member.ID{}},
		store:     &stateStore{chunkBytes: cfg.ChunkBytes, states: map[Topic]*state{}},
		assembler: &assembler{digestEvery: cfg.DigestEvery, assemblies: map[Topic]*assembly{}},
		outbox:    &outbox{},
	}
	m.sender = &sender{
		resendAfter:    cfg.DigestEvery,
		store:          m.store,
		outbox:         m.outbox,
		knownRevisions: map[receiverTopic]uint64{},
		inFlight:       map[receiverTopic]*transfer{},
	}
	m.antiEntropy = &antiEntropy{
		digestEvery: cfg.DigestEvery,
		topology:    m.topology,
		store:       m.store,
		assembler:   m.assembler,
		sender:      m.sender,
		outbox:      m.outbox,
		// The initial value differs between nodes, so that they do not all send their
		// first digests to the same member.
		rotation: xxhash.Sum64String(string(cfg.Self)),
		sentAt:   map[member.ID]time.Duration{},
	}
	m.SetMembers(nil)
	return m
}

// SetMembers replaces the live nodes. Config.Self need not be among them. After a change,
// a Tick sends digests to all parents: the next one, unless such digests were sent less than
// a quarter of Config.DigestEvery ago.
func (m *Machine) SetMembers(members []Member) {
	if !m.topology.setMembers(members) {
		return
	}
	m.antiEntropy.treesChanged(m.now)
	live := map[member.ID]bool{}
	for _, other := range m.topology.members {
		live[other.ID] = true
	}
	m.sender.removeAllExcept(live)
	m.antiEntropy.removeAllExcept(live)
}

// SetRoot sets the root of a topic: the node that publishes it.
func (m *Machine) SetRoot(topic Topic, root member.ID) {
	if m.topology.setRoot(topic, root) {
		m.antiEntropy.treesChanged(m.now)
	}
}

// Publish applies a new revision of a topic, given as all its sections, and sends it to the
// children of this node. A revision that isn't newer than the current one is ignored.
func (m *Machine) Publish(topic Topic, revision uint64, sections []Section) ([]Outbound, []Update) {
	if revision <= m.Revision(topic) {
		return nil, nil
	}
	change := m.store.getOrCreate(topic).differenceTo(sections)
	updates := m.apply(topic, revision, change)
	m.sendNewestToChildren(topic, "")
	return m.outbox.flush(), updates
}

// SendNewest sends the newest revision of a topic to a member, even if it isn't a child of this
// node. It is meant for a publisher that knows which members an update did not reach. A
// member that is known to need a complete state of more than Config.ChunkBytes gets nothing
// from SendNewest, since its parent sends that state.
func (m *Machine) SendNewest(to member.ID, topic Topic) []Outbound {
	state := m.store.states[topic]
	if state == nil || to == m.config.Self {
		return nil
	}
	if m.sender.needsCompleteState(to, topic) && state.size > m.config.ChunkBytes {
		return nil
	}
	m.sender.sendNewest(m.now, to, topic)
	return m.outbox.flush()
}

// Step handles one message. It returns the messages to send and the updates that were
// applied.
func (m *Machine) Step(now time.Duration, from member.ID, msg Message) ([]Outbound, []Update) {
	m.now = max(m.now, now)
	var updates []Update
	switch msg.Type {
	case MessageUpdate:
		updates = m.onUpdate(from, msg)
	case MessageDigest:
		m.antiEntropy.onDigest(m.now, from, msg.Revisions)
	case MessageAcknowledge:
		m.sender.onAcknowledge(m.now, from, msg)
	}
	return m.outbox.flush(), updates
}

// Tick handles the passing of time: it sends overdue chunks again, ends the transfers and
// assemblies that have expired, and sends the digests that are due. It should be called
// several times per Config.DigestEvery.
func (m *Machine) Tick(now time.Duration) []Outbound {
	m.now = max(m.now, now)
	m.sender.expire(m.now)
	m.assembler.expire(m.now)
	m.antiEntropy.sendDueDigests(m.now)
	return m.outbox.flush()
}

// Revision returns the newest revision of a topic; 0 if there is none.
func (m *Machine) Revision(topic Topic) uint64 {
	return m.store.revision(topic)
}

// Snapshot returns the newest revision of a topic and all its sections, sorted by
// name.
func (m *Machine) Snapshot(topic Topic) (revision uint64, sections []Section) {
	state := m.store.states[topic]
	if state == nil {
		return 0, nil
	}
	return state.revision, state.sortedSections()
}

// apply changes the state of a topic to a newer revision. It is the only method that changes
// a state, and it applies all changes of the revision at once.
func (m *Machine) apply(topic Topic, revision uint64, change changes) []Update {
	m.store.getOrCreate(topic).apply(revision, change)
	m.assembler.dropUpTo(topic, revision)
	return []Update{{
		Topic:    topic,
		Revision: revision,
		Sections: change.sections,
		Removed:  change.removed,
	}}
}

// sendNewestToChildren sends the newest revision of a topic to the children of this node,
// except to the given member.
func (m *Machine) sendNewestToChildren(topic Topic, except member.ID) {
	for _, child := range m.topology.position(topic).children {
		if child != except {
			m.sender.sendNewest(m.now, child, topic)
		}
	}
}
