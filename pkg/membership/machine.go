package membership

import (
	"math/rand/v2"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Machine is the membership state of one node. It does no I/O and reads no
// clock; it is not safe for concurrent use.
type Machine struct {
	config Config
	// boot names this process among all processes of the node.
	boot   member.Incarnation
	random *rand.Rand

	now           time.Duration
	lastTick      time.Duration
	nextHeartbeat time.Duration
	nextGossip    time.Duration
	// changedAt is when the table last changed, and grown when it last got a member.
	changedAt time.Duration
	grownAt   time.Duration
	nextJoin  time.Duration
	// nextSeed chooses the seed that is asked next, and deferredJoins wait for the table.
	nextSeed            int
	deferredJoins       []member.Info
	deferredSince       time.Duration
	nextIncarnationSkip time.Duration
	heartbeatRounds     uint64
	joined              bool
	startedAt           time.Duration

	table map[member.ID]*entry
	// sortedIDs holds the IDs of the table, sorted.
	sortedIDs []member.ID
	ring      ring
	// monitored are the members that chose this node as a monitor, and fenced
	// those whose newest life is over.
	monitored     idSet
	fencedMembers idSet
	// nextFencedProbe is the position of the last fenced member that was probed.
	nextFencedProbe int
	// digest summarises the table, and buckets do by ranges of members.
	digest   uint64
	buckets  [bucketCount]uint64
	exchange exchange
	// forgotten keeps the newest life of each forgotten member, which is over.
	forgotten      map[member.ID]member.Incarnation
	pendingUpdates map[member.ID]bool
	// bulkUntil is until when so many records change that news of them isn't passed on
	// one by one.
	bulkUntil time.Duration
	// recentChanges counts the records of others that changed since recentChangesSince.
	recentChanges      int
	recentChangesSince time.Duration

	incarnation    localIncarnation
	fenceCount     uint64
	sequence       uint64
	sentHeartbeats []sentHeartbeat
	peers          map[member.ID]*peer

	outbox []Outbound
}

// entry is a row of the table with what this node adds to it.
type entry struct {
	record Record
	// key and digest stand for the member and its record in summaries.
	key     uint32
	digest  uint64
	monitor memberMonitor
	// fencedSince is when this node first saw that the life is over.
	fencedSince time.Duration
	seenFenced  bool
	// incarnationSince is when this node learnt of the member's newest life, or that the
	// member left.
	incarnationSince time.Duration
}

// New returns the machine of a node that starts at now. The node is fenced
// until enough monitors acknowledged it, or until it is known to be alone.
func New(cfg Config, now time.Duration) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		config:         cfg,
		boot:           cfg.Self.Incarnation,
		random:         rand.New(rand.NewPCG(ringPosition(cfg.Self.ID), uint64(cfg.Self.Incarnation))),
		now:            now,
		lastTick:       now,
		nextHeartbeat:  now,
		nextJoin:       now,
		startedAt:      now,
		ring:           newRing(cfg.Self.ID),
		table:          map[member.ID]*entry{},
		forgotten:      map[member.ID]member.Incarnation{},
		pendingUpdates: map[member.ID]bool{},
		peers:          map[member.ID]*peer{},
	}
	m.joined = len(m.remoteSeeds()) == 0
	m.nextSeed = int(ringPosition(cfg.Self.ID) % (1 << 16))
	m.startIncarnation(cfg.Self.Incarnation)
	if m.joined {
		// Nobody else is expected.
		m.grownAt = now - cfg.stabilizationWait()
	}
	m.maintainMonitors()
	return m
}

// Tick lets time pass. It should be called several times in HeartbeatEvery.
func (m *Machine) Tick(now time.Duration) []Outbound {
	m.advance(now)
	if m.incarnation.left {
		return nil
	}
	m.lastTick = m.now
	m.join()
	m.answerDeferredJoins()
	m.reportTimeouts()
	m.forgetFenced()
	m.maintainMonitors()
	if m.now >= m.nextHeartbeat {
		m.sendHeartbeats()
	}
	m.startExchange()
	return m.flush()
}

// Step takes one message in.
func (m *Machine) Step(now time.Duration, msg Message) []Outbound {
	m.advance(now)
	if msg.From.ID == m.config.Self.ID || msg.From.ID == "" {
		return m.flush()
	}
	stable := m.isStable()
	m.mergeMessage(msg)
	switch msg.Type {
	case MessageJoin:
		m.onJoin(msg, stable)
	case MessageJoinReply:
		m.onJoinReply(msg)
	case MessageHeartbeat:
		m.onHeartbeat(msg)
	case MessageHeartbeatReply:
		m.onHeartbeatReply(msg)
	case MessageGossip:
		m.onGossip(msg)
	}
	m.maintainMonitorsAfter(msg)
	if m.now >= m.nextHeartbeat && !m.incarnation.left {
		m.sendHeartbeats()
	}
	return m.flush()
}

// Leave announces at once that this node stops. The node is fenced from then
// on, for good.
func (m *Machine) Leave(now time.Duration) []Outbound {
	m.advance(now)
	if m.incarnation.left {
		return nil
	}
	m.incarnation.left = true
	m.incarnation.fenceDeadline = 0
	m.publishSelfRecord()
	record := m.selfRecord().clone()
	clear(m.pendingUpdates)
	for _, id := range m.sortedIDs {
		if id != m.config.Self.ID && m.table[id].record.State != StateLeft {
			m.send(id, Message{Type: MessageGossip, Records: []Record{record}})
		}
	}
	return m.flush()
}

// Remove announces that a member's process has stopped for good, on the word of
// an operator: for a machine that was taken away together with its monitors, so
// that nobody is left to be certain. It is refused for this node itself, for
// members that aren't known, and for a life that isn't the newest. A process
// that runs nevertheless begins a new life as soon as it hears of it; until then
// it may serve, against what CertainlyFenced says.
func (m *Machine) Remove(now time.Duration, id member.ID, incarnation member.Incarnation) ([]Outbound, error) {
	m.advance(now)
	e, known := m.table[id]
	switch {
	case id == m.config.Self.ID:
		return m.flush(), &RemoveError{ID: id, Reason: RemoveSelf}
	case !known:
		return m.flush(), &RemoveError{ID: id, Reason: RemoveUnknown}
	case e.record.Info.Incarnation != incarnation:
		return m.flush(), &RemoveError{ID: id, Reason: RemoveOtherIncarnation}
	}
	record := e.record.clone()
	record.Version++
	record.State = StateLeft
	m.merge(record)
	return m.flush(), nil
}

// advance moves the clock, and ends the life that its fence has ended.
func (m *Machine) advance(now time.Duration) {
	m.now = max(m.now, now)
	m.restartTimersAfterPause()
	m.endFencedIncarnation()
}

// paused tells whether this node was stopped for so long that what it didn't
// hear says nothing about others.
func (m *Machine) paused() bool {
	return m.now-m.lastTick > m.config.unresponsiveAfter()
}

// restartTimersAfterPause starts all timers anew after a pause.
func (m *Machine) restartTimersAfterPause() {
	if !m.paused() {
		return
	}
	m.lastTick = m.now
	for _, e := range m.table {
		e.monitor.lastHeard = m.now
	}
	for _, p := range m.peers {
		p.targetedSince = m.now
	}
}

// Members returns the table sorted by ID, this node included.
func (m *Machine) Members() []Record {
	records := make([]Record, 0, len(m.table))
	for _, id := range m.sortedIDs {
		records = append(records, m.table[id].record.clone())
	}
	return records
}

// Alive tells whether nothing speaks against the member: no monitor reports it
// silent, and it has monitors left that would. A false suspicion ends within
// about a round trip.
func (m *Machine) Alive(id member.ID) bool {
	e, known := m.table[id]
	return known && e.record.State == StateAlive && !m.isOrphaned(&e.record)
}

// isOrphaned tells whether so many monitors of a member are not alive that a
// living member would have replaced them by now.
func (m *Machine) isOrphaned(record *Record) bool {
	lost := 0
	for _, id := range record.Monitors {
		e, known := m.table[id]
		if !known || e.record.State != StateAlive {
			lost++
		}
	}
	return lost > 0 && lost >= min(reportsNeeded(len(record.Monitors)), len(record.Monitors))
}

// CertainlyFenced tells whether the member's life that Incarnation returns
// refuses traffic now and for ever, or left. A later life of the same member
// may serve.
func (m *Machine) CertainlyFenced(id member.ID) bool {
	e, known := m.table[id]
	if !known {
		_, forgotten := m.forgotten[id]
		return forgotten
	}
	return e.record.certainlyFenced()
}

// IncarnationEnded tells whether the given life of a member certainly serves no more:
// it is fenced for certain, it left, or a later life has begun.
func (m *Machine) IncarnationEnded(id member.ID, incarnation member.Incarnation) bool {
	newest, known := m.Incarnation(id)
	if !known || incarnation > newest {
		return false
	}
	return incarnation < newest || m.CertainlyFenced(id)
}

// FormerIncarnationQuiesced tells whether what the member sent in lives that ended by its
// own act, as it left or began a later one, has arrived by now: it is FenceMargin
// since this node learnt of that. A fence that monitors are certain of includes that
// time.
func (m *Machine) FormerIncarnationQuiesced(id member.ID) bool {
	e, known := m.table[id]
	return !known || m.now-e.incarnationSince >= m.config.FenceMargin
}

// Incarnation returns the newest life known of the member.
func (m *Machine) Incarnation(id member.ID) (member.Incarnation, bool) {
	if e, known := m.table[id]; known {
		return e.record.Info.Incarnation, true
	}
	incarnation, known := m.forgotten[id]
	return incarnation, known
}

func (m *Machine) selfRecord() *Record {
	return &m.table[m.config.Self.ID].record
}
