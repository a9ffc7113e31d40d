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
	nextNews      time.Duration
	// changed is when the table last changed, and grown when it last got a member.
	changed  time.Duration
	grown    time.Duration
	nextJoin time.Duration
	// joinTurn chooses the seed that is asked next, and heldJoins wait for the table.
	joinTurn    int
	heldJoins   []member.Info
	heldSince   time.Duration
	nextOutlive time.Duration
	rounds      uint64
	joined      bool
	startedAt   time.Duration

	table map[member.ID]*entry
	// order holds the IDs of the table, sorted.
	order []member.ID
	ring  ring
	// watched are the members that chose this node as a monitor, and fenced
	// those whose newest life is over.
	watched idSet
	fenced  idSet
	// fencedTurn is the position of the last fenced member that was probed.
	fencedTurn int
	// digest summarises the table, and buckets do by ranges of members.
	digest   uint64
	buckets  [bucketCount]uint64
	exchange exchange
	// ended keeps the newest life of each forgotten member, which is over.
	ended map[member.ID]member.Incarnation
	news  map[member.ID]bool
	// bulkUntil is until when so many records change that news of them isn't passed on
	// one by one.
	bulkUntil time.Duration
	// changes counts the records of others that changed since changesSince.
	changes      int
	changesSince time.Duration

	life       life
	fenceCount uint64
	sequence   uint64
	sent       []sentRound
	peers      map[member.ID]*peer

	outbox []Outbound
}

// entry is a row of the table with what this node adds to it.
type entry struct {
	record Record
	// key and digest stand for the member and its record in summaries.
	key    uint32
	digest uint64
	watch  watch
	// overSince is when this node first saw that the life is over.
	overSince time.Duration
	over      bool
	// lifeSince is when this node learnt of the member's newest life, or that the
	// member left.
	lifeSince time.Duration
}

// New returns the machine of a node that starts at now. The node is fenced
// until enough monitors acknowledged it, or until it is known to be alone.
func New(cfg Config, now time.Duration) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		config:        cfg,
		boot:          cfg.Self.Incarnation,
		random:        rand.New(rand.NewPCG(ringPosition(cfg.Self.ID), uint64(cfg.Self.Incarnation))),
		now:           now,
		lastTick:      now,
		nextHeartbeat: now,
		nextJoin:      now,
		startedAt:     now,
		ring:          newRing(cfg.Self.ID),
		table:         map[member.ID]*entry{},
		ended:         map[member.ID]member.Incarnation{},
		news:          map[member.ID]bool{},
		peers:         map[member.ID]*peer{},
	}
	m.joined = len(m.foreignSeeds()) == 0
	m.joinTurn = int(ringPosition(cfg.Self.ID) % (1 << 16))
	m.beginLife(cfg.Self.Incarnation)
	if m.joined {
		// Nobody else is expected.
		m.grown = now - cfg.settleAfter()
	}
	m.maintainMonitors()
	return m
}

// Tick lets time pass. It should be called several times in HeartbeatEvery.
func (m *Machine) Tick(now time.Duration) []Outbound {
	m.advance(now)
	if m.life.left {
		return nil
	}
	m.lastTick = m.now
	m.join()
	m.releaseJoins()
	m.reportSilences()
	m.forget()
	m.maintainMonitors()
	if m.now >= m.nextHeartbeat {
		m.heartbeat()
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
	settled := m.settled()
	m.mergeAll(msg)
	switch msg.Type {
	case MessageJoin:
		m.onJoin(msg, settled)
	case MessageJoinReply:
		m.onJoinReply(msg)
	case MessageHeartbeat:
		m.onHeartbeat(msg)
	case MessageHeartbeatReply:
		m.onHeartbeatReply(msg)
	case MessageGossip:
		m.onGossip(msg)
	}
	m.maintainAfter(msg)
	if m.now >= m.nextHeartbeat && !m.life.left {
		m.heartbeat()
	}
	return m.flush()
}

// Leave announces at once that this node stops. The node is fenced from then
// on, for good.
func (m *Machine) Leave(now time.Duration) []Outbound {
	m.advance(now)
	if m.life.left {
		return nil
	}
	m.life.left = true
	m.life.deadline = 0
	m.publishSelf()
	record := m.selfRecord().clone()
	clear(m.news)
	for _, id := range m.order {
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
		return m.flush(), &RemoveError{ID: id, Reason: RemoveOtherLife}
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
	m.forgiveOwnPause()
	m.endFencedLife()
}

// paused tells whether this node was stopped for so long that what it didn't
// hear says nothing about others.
func (m *Machine) paused() bool {
	return m.now-m.lastTick > m.config.unresponsiveAfter()
}

// forgiveOwnPause starts all timers anew after a pause.
func (m *Machine) forgiveOwnPause() {
	if !m.paused() {
		return
	}
	m.lastTick = m.now
	for _, e := range m.table {
		e.watch.heard = m.now
	}
	for _, p := range m.peers {
		p.since = m.now
	}
}

// Members returns the table sorted by ID, this node included.
func (m *Machine) Members() []Record {
	records := make([]Record, 0, len(m.table))
	for _, id := range m.order {
		records = append(records, m.table[id].record.clone())
	}
	return records
}

// Alive tells whether nothing speaks against the member: no monitor reports it
// silent, and it has monitors left that would. A false suspicion ends within
// about a round trip.
func (m *Machine) Alive(id member.ID) bool {
	e, known := m.table[id]
	return known && e.record.State == StateAlive && !m.orphaned(&e.record)
}

// orphaned tells whether so many monitors of a member are not alive that a
// living member would have replaced them by now.
func (m *Machine) orphaned(record *Record) bool {
	lost := 0
	for _, id := range record.Monitors {
		e, known := m.table[id]
		if !known || e.record.State != StateAlive {
			lost++
		}
	}
	return lost > 0 && lost >= min(silencesNeeded(len(record.Monitors)), len(record.Monitors))
}

// CertainlyFenced tells whether the member's life that Incarnation returns
// refuses traffic now and for ever, or left. A later life of the same member
// may serve.
func (m *Machine) CertainlyFenced(id member.ID) bool {
	e, known := m.table[id]
	if !known {
		_, over := m.ended[id]
		return over
	}
	return e.record.certainlyFenced()
}

// LifeEnded tells whether the given life of a member certainly serves no more:
// it is fenced for certain, it left, or a later life has begun.
func (m *Machine) LifeEnded(id member.ID, incarnation member.Incarnation) bool {
	newest, known := m.Incarnation(id)
	if !known || incarnation > newest {
		return false
	}
	return incarnation < newest || m.CertainlyFenced(id)
}

// FormerLifeSettled tells whether what the member sent in lives that ended by its
// own act, as it left or began a later one, has arrived by now: it is FenceMargin
// since this node learnt of that. A fence that monitors are certain of includes that
// time.
func (m *Machine) FormerLifeSettled(id member.ID) bool {
	e, known := m.table[id]
	return !known || m.now-e.lifeSince >= m.config.FenceMargin
}

// Incarnation returns the newest life known of the member.
func (m *Machine) Incarnation(id member.ID) (member.Incarnation, bool) {
	if e, known := m.table[id]; known {
		return e.record.Info.Incarnation, true
	}
	incarnation, known := m.ended[id]
	return incarnation, known
}

func (m *Machine) selfRecord() *Record {
	return &m.table[m.config.Self.ID].record
}
