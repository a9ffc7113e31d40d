package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// A process that supersedes an earlier one skips minIncarnationSkip incarnations, and
// up to incarnationSkipJitter more, drawn at random.
const (
	minIncarnationSkip    = 1 << 16
	incarnationSkipJitter = 1 << 32
)

// Machine is the membership state of one node. It does no I/O and reads no clock: each
// input states the time, and each output lists the messages to send. It is not safe for
// concurrent use.
//
// Each part owns its state and none sends a message; Machine passes inputs to them and
// turns their outputs into messages.
type Machine struct {
	config Config

	now      time.Duration
	lastTick time.Duration
	// nextHeartbeat is when heartbeats are sent next, and heartbeatRounds counts the
	// times that they were.
	nextHeartbeat   time.Duration
	heartbeatRounds uint64
	// nextIncarnationSkip is when skipIncarnationsPast may act again.
	nextIncarnationSkip time.Duration

	table   *memberTable
	sampler *sampler

	// Failure detection: this node's fence, its monitors, and its role as a monitor.
	fence      fence
	heartbeats heartbeatLog
	monitors   monitorSelector
	detector   failureDetector

	// Dissemination.
	gossip      gossip
	antiEntropy antiEntropy

	joiner *joiner

	outbox []Outbound
}

// New returns the machine of a node that starts at now. The node is fenced
// until enough monitors acknowledged it, or until it is known to be alone.
func New(cfg Config, now time.Duration) *Machine {
	cfg = cfg.withDefaults()
	table := newMemberTable(cfg.Self.ID)
	sampler := newSampler(cfg.Self, table)
	joiner := newJoiner(cfg, now)
	m := &Machine{
		config:        cfg,
		now:           now,
		lastTick:      now,
		nextHeartbeat: now,
		table:         table,
		sampler:       sampler,
		fence:         fence{fenceAfter: cfg.FenceAfter},
		monitors:      monitorSelector{config: cfg, table: table, peers: map[member.ID]*peer{}},
		detector:      newFailureDetector(cfg, table),
		gossip:        gossip{config: cfg, table: table, sampler: sampler, pending: map[member.ID]bool{}},
		antiEntropy:   antiEntropy{config: cfg, table: table, sampler: sampler, joiner: joiner},
		joiner:        joiner,
	}
	m.startIncarnation(cfg.Self.Incarnation)
	if joiner.joined {
		// Nobody else is expected.
		m.assumeTableStable()
	}
	m.maintainMonitors()
	return m
}

// Tick lets time pass. It should be called several times in HeartbeatEvery.
func (m *Machine) Tick(now time.Duration) []Outbound {
	m.advance(now)
	if m.fence.left {
		return nil
	}
	m.lastTick = m.now
	m.attemptJoin()
	m.sendDeferredJoinReplies()
	for _, record := range m.detector.reportTimeouts(m.now) {
		m.merge(record)
	}
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
	stable := m.isTableStable()
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
		if reply, any := m.antiEntropy.onGossip(msg); any {
			m.reply(msg, reply)
		}
	}
	m.maintainMonitorsAfter(msg)
	if m.now >= m.nextHeartbeat && !m.fence.left {
		m.sendHeartbeats()
	}
	return m.flush()
}

// Leave announces at once that this node stops. The node is fenced from then
// on, for good.
func (m *Machine) Leave(now time.Duration) []Outbound {
	m.advance(now)
	if m.fence.left {
		return nil
	}
	m.fence.leave()
	m.publishSelfRecord()
	record := m.table.selfRecord().clone()
	m.gossip.clear()
	for _, id := range m.table.sortedIDs {
		if id != m.config.Self.ID && m.table.entries[id].record.State != StateLeft {
			m.send(id, Message{Type: MessageGossip, Records: []Record{record}})
		}
	}
	return m.flush()
}

// Remove announces that a member's process has stopped for good, as an operator made
// sure: for a machine that was taken away together with its monitors, so that no node
// can be certain of its fence. It returns a RemoveError for this node itself, for a
// member that isn't known, and for an incarnation that isn't the newest. A process that
// runs nevertheless begins a new incarnation as soon as it hears of it; until then it
// may serve, contrary to what CertainlyFenced says.
func (m *Machine) Remove(now time.Duration, id member.ID, incarnation member.Incarnation) ([]Outbound, error) {
	m.advance(now)
	e, known := m.table.entries[id]
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

// SetSeeds replaces the addresses to join through. A node that has joined needs them
// only to find the other side of a partition.
func (m *Machine) SetSeeds(now time.Duration, seeds []string) []Outbound {
	m.advance(now)
	m.joiner.seeds = slices.Clone(seeds)
	for _, seed := range m.joiner.vacantSeeds(m.table) {
		m.contactSeed(seed)
	}
	return m.flush()
}

// AdvanceIncarnationPast begins an incarnation after the given one, unless the present
// one is later already. It is for a node that learns elsewhere of an earlier process of
// its own with a higher incarnation: its wall clock was set back, say, while no running
// member remembers that process.
func (m *Machine) AdvanceIncarnationPast(now time.Duration, incarnation member.Incarnation) []Outbound {
	m.advance(now)
	if incarnation > m.fence.number {
		m.skipIncarnationsPast(incarnation)
	}
	return m.flush()
}

// advance moves the clock, and ends an incarnation that was fenced.
func (m *Machine) advance(now time.Duration) {
	m.now = max(m.now, now)
	if m.now-m.lastTick > m.config.unresponsiveAfter() {
		// This node was paused for so long that what it didn't hear says nothing
		// about others.
		m.lastTick = m.now
		m.detector.restartTimers(m.now)
		m.monitors.restartTimers(m.now)
	}
	if m.fence.hasEnded(m.now) {
		m.startNextIncarnation(m.fence.number + 1)
	}
}

// mergeMessage takes in the records of a message.
func (m *Machine) mergeMessage(msg Message) {
	for _, record := range msg.Records {
		m.merge(record)
	}
	if msg.Type == MessageJoinReply && !m.joiner.joined {
		// The seed's neighbours know the table already; only this node is new.
		m.gossip.clear()
		m.gossip.add(m.config.Self.ID)
	}
}

// merge joins one record into the table, and passes on what changed.
func (m *Machine) merge(record Record) {
	id := record.Info.ID
	if id == "" {
		return
	}
	if id == m.config.Self.ID && m.fence.isSupersededBy(record) {
		m.skipIncarnationsPast(record.Info.Incarnation)
		return
	}
	if change, changed := m.table.merge(m.now, record); changed {
		m.detector.observe(m.now, id, change)
		m.gossip.add(id)
	}
}

// skipIncarnationsPast begins an incarnation so far after the given one that it doesn't
// meet those of the earlier process that nobody here has heard of. If two processes
// run under one ID, they outbid each other at most once in FenceAfter.
func (m *Machine) skipIncarnationsPast(incarnation member.Incarnation) {
	if m.fence.left || m.now < m.nextIncarnationSkip {
		return
	}
	m.nextIncarnationSkip = m.now + m.config.FenceAfter
	skip := minIncarnationSkip + m.sampler.random.Uint64N(incarnationSkipJitter)
	m.startNextIncarnation(incarnation + member.Incarnation(skip))
}

// startNextIncarnation ends the present incarnation and starts another.
func (m *Machine) startNextIncarnation(number member.Incarnation) {
	m.fence.endedCount++
	m.startIncarnation(number)
	m.nextHeartbeat = m.now
}

// startIncarnation starts a fenced incarnation without monitors.
func (m *Machine) startIncarnation(number member.Incarnation) {
	m.fence.begin(m.now, number)
	m.heartbeats.clear()
	m.monitors.reset(m.now)
	m.publishSelfRecord()
}

// publishSelfRecord puts a new version of this node's record into the table.
func (m *Machine) publishSelfRecord() {
	m.merge(m.fence.nextRecord(m.config.Self))
}

// isTableStable tells whether no member has been added to the table lately, so that
// this node's neighbours on the ring are likely to stay.
func (m *Machine) isTableStable() bool {
	return m.now-m.table.grownAt >= m.config.stabilizationWait()
}

// assumeTableStable spares the stabilization wait where no more members are expected.
func (m *Machine) assumeTableStable() {
	m.table.grownAt = m.now - m.config.stabilizationWait()
}

// forgetFenced drops the members that were fenced long ago, and remembers only that
// their incarnations have ended.
func (m *Machine) forgetFenced() {
	for _, id := range m.table.forgetFenced(m.now, m.config.ForgetAfter) {
		m.detector.forget(id)
		m.monitors.forget(id)
	}
}

// startExchange sends the first message of an exchange if one is due.
func (m *Machine) startExchange() {
	partner, due := m.antiEntropy.start(m.now, m.gossip.inBulkChange(m.now))
	if due {
		m.sendTo(partner, m.antiEntropy.request())
	}
}

// probe sends a digest to a random member and to a fenced one, and contacts a vacant
// seed. So the two sides of a healed partition, or members that all restarted at once,
// find each other again.
func (m *Machine) probe() {
	if id := m.sampler.randomMember(); id != "" {
		m.send(id, Message{Type: MessageGossip})
	}
	// A fenced member that starts again may know nobody but others that did so
	// together with it.
	if id := m.sampler.nextFenced(); id != "" {
		m.send(id, Message{Type: MessageGossip})
	}
	if seed := m.sampler.randomSeed(m.joiner.vacantSeeds(m.table)); seed != "" {
		m.contactSeed(seed)
	}
}
