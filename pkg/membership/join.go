package membership

import (
	"slices"
	"time"
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

// join asks all seeds in each heartbeat interval until one answers. A node whose
// seeds stay silent takes itself to be alone, and goes on asking.
func (m *Machine) join() {
	if m.joined || m.now < m.nextJoin {
		return
	}
	m.nextJoin = m.now + m.config.HeartbeatEvery
	if m.now-m.startedAt >= m.joinPatience() {
		m.noteJoined()
	}
	for _, seed := range m.foreignSeeds() {
		m.askSeed(seed)
	}
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

func (m *Machine) askSeed(address string) {
	m.outbox = append(m.outbox, Outbound{
		Address: address,
		Message: m.signed(Message{Type: MessageJoin, Records: []Record{m.selfRecord().clone()}}),
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
