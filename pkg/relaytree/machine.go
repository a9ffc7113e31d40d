package relaytree

import (
	"cmp"
	"maps"
	"slices"
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

// parentDigestsPerInterval is how often in DigestEvery new parents are asked at most.
const parentDigestsPerInterval = 4

// Config sets up a Machine. Zero values take the defaults.
type Config struct {
	Self member.ID
	// FanOut bounds the children of a node, in its zone and among the zones.
	FanOut int
	// DigestEvery is the time between two digests, and how long an update may
	// stay unacknowledged before a newer one is sent after it.
	DigestEvery time.Duration
	// ChunkBytes is the size, in names and contents, from which an update is
	// sent in several parts, one a round trip.
	ChunkBytes int
}

// Machine is the relay state of one node. It does no I/O and reads no clock;
// it is not safe for concurrent use.
type Machine struct {
	config     Config
	now        time.Duration
	nextDigest time.Duration
	// digestTurn chooses the parent and the other member that the next digest goes to.
	digestTurn uint64
	// parentsChanged tells that the parents may be new, and greeted when all of them were
	// last sent a digest for that.
	parentsChanged    bool
	parentsNotifiedAt time.Duration

	members []Member
	roots   map[Topic]member.ID
	// positions are this node's places by root; cleared when members change.
	positions map[member.ID]treePosition

	states     map[Topic]*state
	assemblies map[Topic]*assembly
	// knownRevisions are the revisions that other members said they hold.
	knownRevisions map[feedKey]uint64
	inFlight       map[feedKey]*transfer
	digestSentAt   map[member.ID]time.Duration

	outbox []Outbound
}

// feedKey is the way of one topic to one member.
type feedKey struct {
	to    member.ID
	topic Topic
}

// transfer is an update of which a part was sent and not yet acknowledged.
type transfer struct {
	update *update
	chunk  int
	sentAt time.Duration
	// resends counts how often the part was sent again.
	resends int
}

// New returns a machine that holds nothing and knows no other member.
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
		config:         cfg,
		roots:          map[Topic]member.ID{},
		states:         map[Topic]*state{},
		assemblies:     map[Topic]*assembly{},
		knownRevisions: map[feedKey]uint64{},
		inFlight:       map[feedKey]*transfer{},
		digestSentAt:   map[member.ID]time.Duration{},
		digestTurn:     xxhash.Sum64String(string(cfg.Self)),
	}
	m.SetMembers(nil)
	return m
}

// SetMembers tells which nodes are live. Self need not be among them. The next
// Tick sends digests to the new parents.
func (m *Machine) SetMembers(members []Member) {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	isSelf := func(other Member) bool { return other.ID == m.config.Self }
	if !slices.ContainsFunc(sorted, isSelf) {
		sorted = append(sorted, Member{ID: m.config.Self})
	}
	if slices.Equal(sorted, m.members) {
		return
	}
	m.members = sorted
	m.resetPositions()
	m.dropDepartedMembers()
}

// SetRoot names the node that publishes a topic.
func (m *Machine) SetRoot(topic Topic, root member.ID) {
	if m.roots[topic] == root {
		return
	}
	m.roots[topic] = root
	m.resetPositions()
}

// resetPositions derives all positions anew and asks the new parents soon: at once,
// but not again and again while members come and go one after the other.
func (m *Machine) resetPositions() {
	m.positions = map[member.ID]treePosition{}
	m.parentsChanged = true
	m.nextDigest = min(m.nextDigest, max(m.now, m.parentsNotifiedAt+m.config.DigestEvery/parentDigestsPerInterval))
}

func (m *Machine) dropDepartedMembers() {
	live := map[member.ID]bool{}
	for _, other := range m.members {
		live[other.ID] = true
	}
	maps.DeleteFunc(m.inFlight, func(key feedKey, _ *transfer) bool { return !live[key.to] })
	maps.DeleteFunc(m.knownRevisions, func(key feedKey, _ uint64) bool { return !live[key.to] })
	maps.DeleteFunc(m.digestSentAt, func(id member.ID, _ time.Duration) bool { return !live[id] })
}

// Publish sends a new revision down the tree, given as all its sections.
// Revisions that are not newer than the one held are ignored.
func (m *Machine) Publish(topic Topic, revision uint64, sections []Section) ([]Outbound, []Update) {
	if revision <= m.Revision(topic) {
		return nil, nil
	}
	change := m.stateOf(topic).differenceTo(sections)
	updates := m.apply(topic, revision, change)
	m.feedChildren(topic, "")
	return m.flush(), updates
}

// Step takes one message in, and returns what to send and what is newly held.
func (m *Machine) Step(now time.Duration, from member.ID, msg Message) ([]Outbound, []Update) {
	m.now = max(m.now, now)
	var updates []Update
	switch msg.Type {
	case MessageUpdate:
		updates = m.onUpdate(from, msg)
	case MessageDigest:
		m.onDigest(from, msg.Revisions)
	case MessageAcknowledge:
		m.onAcknowledge(from, msg)
	}
	return m.flush(), updates
}

// Tick lets time pass. It should be called several times in DigestEvery.
func (m *Machine) Tick(now time.Duration) []Outbound {
	m.now = max(m.now, now)
	m.expireTransfers()
	m.expireAssemblies()
	if m.now >= m.nextDigest {
		m.nextDigest = m.now + m.config.DigestEvery
		m.sendDigests()
	}
	return m.flush()
}

// Revision returns the newest revision held of a topic; 0 if none.
func (m *Machine) Revision(topic Topic) uint64 {
	if state := m.states[topic]; state != nil {
		return state.revision
	}
	return 0
}

// Snapshot returns the newest revision of a topic and all its sections, sorted by
// name.
func (m *Machine) Snapshot(topic Topic) (revision uint64, sections []Section) {
	state := m.states[topic]
	if state == nil {
		return 0, nil
	}
	return state.revision, state.sortedSections()
}

// stateOf returns the state of a topic, which is empty at first.
func (m *Machine) stateOf(topic Topic) *state {
	if m.states[topic] == nil {
		m.states[topic] = newState(m.config.ChunkBytes)
	}
	return m.states[topic]
}

// apply moves a topic to a newer revision. This is the only place that changes
// what is held, and it does so in one step.
func (m *Machine) apply(topic Topic, revision uint64, change changes) []Update {
	m.stateOf(topic).apply(revision, change)
	if pending := m.assemblies[topic]; pending != nil && pending.first.Revision <= revision {
		delete(m.assemblies, topic)
	}
	return []Update{{
		Topic:    topic,
		Revision: revision,
		Sections: change.sections,
		Removed:  change.removed,
	}}
}

func (m *Machine) flush() []Outbound {
	outbox := m.outbox
	m.outbox = nil
	return outbox
}

func (m *Machine) send(to member.ID, msg Message) {
	m.outbox = append(m.outbox, Outbound{To: to, Message: msg})
}
