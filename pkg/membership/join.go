package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// foreignSeeds are the seeds that aren't this node's own address.
func (m *Machine) foreignSeeds() []string {
	return slices.DeleteFunc(slices.Clone(m.config.Seeds), func(seed string) bool {
		return seed == "" || seed == m.config.Self.Address
	})
}

// unknownSeeds are foreign seeds that no member listens on whose life may go on:
// where one has left or is fenced, another process may have begun.
func (m *Machine) unknownSeeds() []string {
	unknown := m.foreignSeeds()
	for _, e := range m.table {
		if !e.record.certainlyFenced() && slices.Contains(unknown, e.record.Info.Address) {
			unknown = slices.DeleteFunc(unknown, func(seed string) bool { return seed == e.record.Info.Address })
		}
	}
	return unknown
}

// join asks one seed after the other until one answers. A node whose seeds stay
// silent takes itself to be alone, and goes on asking.
func (m *Machine) join() {
	if m.joined || m.now < m.nextJoin {
		return
	}
	m.nextJoin = m.now + m.config.HeartbeatEvery
	if m.now-m.startedAt >= m.joinPatience() {
		m.noteJoined()
	}
	seeds := m.foreignSeeds()
	m.askSeed(seeds[m.joinTurn%len(seeds)])
	m.joinTurn++
}

// onJoin answers with the table. While many nodes start, it soon holds more, so that
// the answer waits. Settled tells whether it did before this node joined.
func (m *Machine) onJoin(msg Message, settled bool) {
	if settled && m.longStarted() {
		m.reply(msg, m.wholeTable())
		return
	}
	m.reply(msg, Message{Type: MessageJoinReply, Held: true})
	if len(m.heldJoins) == 0 {
		m.heldSince = m.now
	}
	known := slices.ContainsFunc(m.heldJoins, func(held member.Info) bool { return held.ID == msg.From.ID })
	if !known {
		m.heldJoins = append(m.heldJoins, msg.From)
	}
}

// longStarted tells whether nodes that started together with this one have had the
// time to join.
func (m *Machine) longStarted() bool {
	return m.now-m.startedAt >= m.config.joinHold()
}

// releaseJoins answers the joins that wait once the table has settled, or has kept
// them waiting for long enough.
func (m *Machine) releaseJoins() {
	if len(m.heldJoins) == 0 {
		return
	}
	ready := m.longStarted() && m.settled()
	if !ready && m.now-m.heldSince < 2*m.config.joinHold() {
		return
	}
	answer := m.wholeTable()
	for _, joining := range m.heldJoins {
		m.outbox = append(m.outbox, Outbound{To: joining.ID, Address: joining.Address, Message: m.signed(answer)})
	}
	m.heldJoins = nil
}

func (m *Machine) wholeTable() Message {
	return Message{Type: MessageJoinReply, Records: m.Members(), Settled: m.settled()}
}

// onJoinReply ends the search for seeds, or waits for the one that holds its answer.
func (m *Machine) onJoinReply(msg Message) {
	if msg.Held {
		m.nextJoin = max(m.nextJoin, m.now+2*m.config.joinHold()+m.config.HeartbeatEvery)
		return
	}
	m.noteJoined()
	if msg.Settled {
		m.grown = m.now - m.config.settleAfter()
	}
}

// settled tells whether no member has been new to the table lately, so that the
// neighbours on the ring are likely to stay.
func (m *Machine) settled() bool {
	return m.now-m.grown >= m.config.settleAfter()
}

// noteJoined lets the search for monitors begin.
func (m *Machine) noteJoined() {
	if !m.joined {
		m.joined = true
		m.life.beganAt = m.now
	}
}

func (m *Machine) joinPatience() time.Duration {
	return joinPatienceFences * m.config.FenceAfter
}

// SetSeeds replaces the addresses to join through. A node that has joined needs
// them to find the other side of a split alone.
func (m *Machine) SetSeeds(now time.Duration, seeds []string) []Outbound {
	m.advance(now)
	m.config.Seeds = slices.Clone(seeds)
	for _, seed := range m.unknownSeeds() {
		m.askSeed(seed)
	}
	return m.flush()
}

// askSeed asks for the table, or shows a digest of the own one if that may hold much
// of it.
func (m *Machine) askSeed(address string) {
	message := Message{Type: MessageGossip}
	if !m.joined || m.isAlone() {
		message = Message{Type: MessageJoin, Records: []Record{m.selfRecord().clone()}}
	}
	m.outbox = append(m.outbox, Outbound{Address: address, Message: m.signed(message)})
}

// isAlone tells whether this node knows of no other member that may live.
func (m *Machine) isAlone() bool {
	return !slices.ContainsFunc(m.order, func(id member.ID) bool {
		return id != m.config.Self.ID && !m.table[id].record.certainlyFenced()
	})
}

// forget drops lives that have been over for long, and remembers only that
// they are over.
func (m *Machine) forget() {
	for _, id := range slices.Clone(m.fenced) {
		e := m.table[id]
		if id == m.config.Self.ID {
			continue
		}
		if !e.over {
			e.over = true
			e.overSince = m.now
		}
		if m.now-e.overSince < m.config.ForgetAfter {
			continue
		}
		m.ended[id] = e.record.Info.Incarnation
		m.remove(id)
		delete(m.peers, id)
	}
}
