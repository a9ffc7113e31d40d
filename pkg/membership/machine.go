package membership

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Machine is the membership state of one node. It does no I/O and reads no clock: each
// input states the time, and each output lists the messages to send. It is not safe for
// concurrent use.
//
// Machine only coordinates its components: each component owns its state and sends messages
// through the outbox. Tick and Step show the order in which the components run.
type Machine struct {
	config Config

	now time.Duration
	// lastTick is the time of the newest Tick. A long time since then shows that this
	// process was paused.
	lastTick time.Duration

	table  *memberTable
	outbox *outbox

	joiner   *joiner
	self     *selfMember
	detector *failureDetector

	// The following components disseminate records.
	gossip      *gossip
	antiEntropy *antiEntropy
	prober      *prober
}

// New returns the machine of a node that starts at now. The node is fenced until enough
// monitors have acknowledged its heartbeats, or until it considers itself alone.
func New(cfg Config, now time.Duration) *Machine {
	cfg = cfg.withDefaults()
	table := newMemberTable(cfg)
	sampler := newSampler(cfg.Self, table)
	outbox := &outbox{table: table, boot: cfg.Self.Incarnation}
	joiner := newJoiner(cfg, table, outbox, now)
	detector := newFailureDetector(cfg, table, outbox)
	gossip := &gossip{config: cfg, table: table, sampler: sampler, outbox: outbox, pending: map[member.ID]bool{}}
	table.observers = []tableObserver{detector, gossip}
	m := &Machine{
		config:      cfg,
		now:         now,
		lastTick:    now,
		table:       table,
		outbox:      outbox,
		joiner:      joiner,
		self:        newSelfMember(cfg, table, joiner, sampler, outbox, now),
		detector:    detector,
		gossip:      gossip,
		antiEntropy: &antiEntropy{config: cfg, table: table, sampler: sampler, joiner: joiner, gossip: gossip, outbox: outbox},
		prober:      &prober{table: table, sampler: sampler, joiner: joiner, outbox: outbox},
	}
	m.self.startIncarnation(now, cfg.Self.Incarnation)
	if joiner.joined {
		// There is no seed to ask, so no other members are expected.
		table.assumeStable(now)
	}
	m.self.maintainMonitors(now)
	return m
}

// Tick performs the actions that are due at now. It should be called several times in each
// HeartbeatEvery.
func (m *Machine) Tick(now time.Duration) []Outbound {
	m.advance(now)
	if m.self.fence.left {
		return nil
	}
	m.lastTick = m.now
	m.joiner.tick(m.now)
	m.detector.reportTimeouts(m.now)
	for _, id := range m.table.forgetFenced(m.now, m.config.ForgetAfter) {
		m.detector.forget(id)
		m.self.monitors.forget(id)
	}
	m.self.maintainMonitors(m.now)
	m.sendDueHeartbeats()
	m.antiEntropy.startExchange(m.now)
	return m.flush()
}

// Step handles a received message: it merges the message's records into the table, and then
// handles the message according to its type.
func (m *Machine) Step(now time.Duration, msg Message) []Outbound {
	m.advance(now)
	if msg.From.ID == m.config.Self.ID || msg.From.ID == "" {
		return m.flush()
	}
	wasStable := m.table.isStable(m.now)
	for _, record := range msg.Records {
		m.merge(record)
	}
	switch msg.Type {
	case MessageJoin:
		m.joiner.onJoin(m.now, msg, wasStable)
	case MessageJoinReply:
		if !m.joiner.joined {
			// Other nodes already know the records that the seed sent; only this
			// node's own record is new to them.
			m.gossip.keepOnly(m.config.Self.ID)
		}
		m.joiner.onJoinReply(m.now, msg)
	case MessageHeartbeat:
		m.onHeartbeat(msg)
	case MessageHeartbeatReply:
		m.antiEntropy.compareDigest(msg)
		m.self.onHeartbeatReply(m.now, msg)
	case MessageGossip:
		m.antiEntropy.onGossip(msg)
	}
	m.self.maintainMonitorsAfter(m.now, msg)
	m.sendDueHeartbeats()
	return m.flush()
}

// Leave fences this node permanently and announces to all other members that haven't left
// that this node stops.
func (m *Machine) Leave(now time.Duration) []Outbound {
	m.advance(now)
	if m.self.fence.left {
		return nil
	}
	m.self.leave(m.now)
	record := m.table.selfRecord().clone()
	m.gossip.clear()
	for _, id := range m.table.sortedIDs {
		if id != m.config.Self.ID && m.table.entries[id].record.State != StateLeft {
			m.outbox.send(id, Message{Type: MessageGossip, Records: []Record{record}})
		}
	}
	return m.flush()
}

// Remove announces that a member's process has stopped permanently. The caller, an operator,
// must have made sure of that. Remove is for a machine that was lost together with its
// monitors, so that no other node can be certain of its fence. It returns a RemoveError for
// this node itself, for an unknown member, and for an incarnation that isn't the member's
// newest. If the process still runs, it begins a new incarnation as soon as it learns of the
// removal; until then it may serve although CertainlyFenced returns true for it.
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

// SetSeeds replaces the addresses through which this node joins. A node that has joined
// needs them only to discover the other side of a partition.
func (m *Machine) SetSeeds(now time.Duration, seeds []string) []Outbound {
	m.advance(now)
	m.joiner.setSeeds(seeds)
	return m.flush()
}

// AdvanceIncarnationPast begins an incarnation after the given one, unless the present
// incarnation is already later. It is for a node that learns from another source that an
// earlier process of the same node had a higher incarnation. This happens, for example, when
// the wall clock was set back and no running member remembers the earlier process.
func (m *Machine) AdvanceIncarnationPast(now time.Duration, incarnation member.Incarnation) []Outbound {
	m.advance(now)
	if incarnation > m.self.fence.number {
		m.self.skipIncarnationsPast(m.now, incarnation)
	}
	return m.flush()
}

// advance sets the clock, restarts the timers if this process was paused, and ends the
// present incarnation if it has been fenced.
func (m *Machine) advance(now time.Duration) {
	m.now = max(m.now, now)
	if m.now-m.lastTick > m.config.unresponsiveAfter() {
		// This node was paused for so long that the absence of messages is no evidence
		// that other nodes have failed.
		m.lastTick = m.now
		m.detector.restartTimers(m.now)
		m.self.monitors.restartTimers(m.now)
	}
	m.self.endIfFenced(m.now)
}

// merge merges a received record into the table. If the record is of this node and newer
// than all that this process has published, an earlier process of the node or an operator's
// Remove created it. In that case this node continues under a later incarnation.
func (m *Machine) merge(record Record) {
	switch id := record.Info.ID; {
	case id == "":
	case id == m.config.Self.ID && m.self.fence.isSupersededBy(record):
		m.self.skipIncarnationsPast(m.now, record.Info.Incarnation)
	default:
		m.table.merge(m.now, record)
	}
}

// onHeartbeat acknowledges a heartbeat and compares the sender's table digest with this
// node's. A node that has left replies with its own record instead.
func (m *Machine) onHeartbeat(msg Message) {
	if m.self.fence.left {
		m.outbox.reply(msg, Message{Type: MessageGossip, Records: []Record{m.table.selfRecord().clone()}})
		return
	}
	if acknowledged := m.detector.onHeartbeat(m.now, msg); acknowledged {
		m.antiEntropy.compareDigest(msg)
	}
}

// sendDueHeartbeats sends a round of heartbeats if one is due, and after some rounds also
// probes.
func (m *Machine) sendDueHeartbeats() {
	if sent := m.self.sendDueHeartbeats(m.now); sent {
		m.prober.onHeartbeatRound()
	}
}

// flush adds the gossip that is due and returns all messages to send. A node that has left
// forwards the updates that it still receives without delay.
func (m *Machine) flush() []Outbound {
	m.gossip.sendPending(m.now, m.self.fence.left)
	return m.outbox.take()
}
