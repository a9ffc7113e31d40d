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
)

// Config sets up a Machine. Zero values take the defaults.
type Config struct {
	Self member.ID
	// FanOut bounds the children of a node, in its zone and among the zones.
	FanOut int
	// DigestEvery is the time between two digests, and how long an update may
	// stay unacknowledged before a newer one is sent after it.
	DigestEvery time.Duration
}

// Update is a revision of a topic that the node holds since this step.
type Update struct {
	Topic    Topic
	Revision uint64
	Payload  []byte
}

// Machine is the relay state of one node. It does no I/O and reads no clock;
// it is not safe for concurrent use.
type Machine struct {
	config     Config
	now        time.Duration
	nextDigest time.Duration
	// turn chooses the other member that the next digest goes to.
	turn uint64

	members []Member
	roots   map[Topic]member.ID
	// positions are this node's places by root; cleared when members change.
	positions map[member.ID]position

	held       map[Topic]heldRevision
	inFlight   map[link]flight
	digestSent map[member.ID]time.Duration

	outbox []Outbound
}

// heldRevision is the newest state of a topic.
type heldRevision struct {
	revision uint64
	payload  []byte
}

// link is the way of one topic to one member.
type link struct {
	to    member.ID
	topic Topic
}

// flight is an update that was sent and not yet acknowledged.
type flight struct {
	revision uint64
	sentAt   time.Duration
}

// New returns a machine that holds nothing and knows no other member.
func New(cfg Config) *Machine {
	if cfg.FanOut <= 0 {
		cfg.FanOut = DefaultFanOut
	}
	if cfg.DigestEvery <= 0 {
		cfg.DigestEvery = DefaultDigestEvery
	}
	m := &Machine{
		config:     cfg,
		roots:      map[Topic]member.ID{},
		held:       map[Topic]heldRevision{},
		inFlight:   map[link]flight{},
		digestSent: map[member.ID]time.Duration{},
		turn:       xxhash.Sum64String(string(cfg.Self)),
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
	m.moveInTrees()
	m.dropGone()
}

// SetRoot names the node that publishes a topic.
func (m *Machine) SetRoot(topic Topic, root member.ID) {
	if m.roots[topic] == root {
		return
	}
	m.roots[topic] = root
	m.moveInTrees()
}

// moveInTrees derives all positions anew and asks the new parents soon.
func (m *Machine) moveInTrees() {
	m.positions = map[member.ID]position{}
	m.nextDigest = m.now
}

func (m *Machine) dropGone() {
	live := map[member.ID]bool{}
	for _, other := range m.members {
		live[other.ID] = true
	}
	maps.DeleteFunc(m.inFlight, func(l link, _ flight) bool { return !live[l.to] })
	maps.DeleteFunc(m.digestSent, func(id member.ID, _ time.Duration) bool { return !live[id] })
}

// Publish sends a new revision down the tree. Revisions that are not newer than
// the one held are ignored.
func (m *Machine) Publish(topic Topic, revision uint64, payload []byte) []Outbound {
	if m.hold(topic, revision, payload) {
		m.feedChildren(topic, "")
	}
	return m.flush()
}

// Step takes one message in, and returns what to send and what is newly held.
func (m *Machine) Step(now time.Duration, from member.ID, msg Message) ([]Outbound, []Update) {
	m.now = max(m.now, now)
	var updates []Update
	switch msg.Type {
	case MessageUpdate:
		updates = m.onUpdate(from, msg)
	case MessageDigest:
		m.onDigest(from, msg.Known)
	case MessageAcknowledge:
		m.onAcknowledge(from, msg)
	}
	return m.flush(), updates
}

// Tick lets time pass. It should be called several times in DigestEvery.
func (m *Machine) Tick(now time.Duration) []Outbound {
	m.now = max(m.now, now)
	m.expireFlights()
	if m.now >= m.nextDigest {
		m.nextDigest = m.now + m.config.DigestEvery
		m.sendDigests()
	}
	return m.flush()
}

// Revision returns the newest revision held of a topic; 0 if none.
func (m *Machine) Revision(topic Topic) uint64 {
	return m.held[topic].revision
}

// Held returns the newest revision of a topic and its payload, which must not
// be changed.
func (m *Machine) Held(topic Topic) (revision uint64, payload []byte) {
	held := m.held[topic]
	return held.revision, held.payload
}

// hold keeps a revision if it is newer than the one held. This is the only
// place that changes what is held.
func (m *Machine) hold(topic Topic, revision uint64, payload []byte) bool {
	if revision <= m.held[topic].revision {
		return false
	}
	m.held[topic] = heldRevision{revision: revision, payload: payload}
	return true
}

// onUpdate takes whole states only: a delta is answered with the revision held,
// upon which the sender sends its whole state.
func (m *Machine) onUpdate(from member.ID, msg Message) []Update {
	isNew := msg.BaseRevision == 0 && m.hold(msg.Topic, msg.Revision, msg.Payload)
	m.send(from, Message{
		Type:     MessageAcknowledge,
		Topic:    msg.Topic,
		Revision: m.Revision(msg.Topic),
	})
	if !isNew {
		return nil
	}
	m.feedChildren(msg.Topic, from)
	return []Update{{Topic: msg.Topic, Revision: msg.Revision, Payload: msg.Payload}}
}

func (m *Machine) onAcknowledge(from member.ID, msg Message) {
	delete(m.inFlight, link{to: from, topic: msg.Topic})
	if msg.Revision < m.Revision(msg.Topic) {
		m.feed(from, msg.Topic)
	}
}

func (m *Machine) flush() []Outbound {
	outbox := m.outbox
	m.outbox = nil
	return outbox
}

func (m *Machine) send(to member.ID, msg Message) {
	m.outbox = append(m.outbox, Outbound{To: to, Message: msg})
}
