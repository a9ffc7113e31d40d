package membership

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// remoteSeeds are the seeds that aren't this node's own address.
func (m *Machine) remoteSeeds() []string {
	return slices.DeleteFunc(slices.Clone(m.config.Seeds), func(seed string) bool {
		return seed == "" || seed == m.config.Self.Address
	})
}

// vacantSeeds are foreign seeds that no member listens on whose life may go on:
// where one has left or is fenced, another process may have begun.
func (m *Machine) vacantSeeds() []string {
	vacant := m.remoteSeeds()
	for _, e := range m.table {
		if !e.record.certainlyFenced() && slices.Contains(vacant, e.record.Info.Address) {
			vacant = slices.DeleteFunc(vacant, func(seed string) bool { return seed == e.record.Info.Address })
		}
	}
	return vacant
}

// join asks one seed after the other until one answers. A node whose seeds stay
// silent takes itself to be alone, and goes on asking.
func (m *Machine) join() {
	if m.joined || m.now < m.nextJoin {
		return
	}
	m.nextJoin = m.now + m.config.HeartbeatEvery
	if m.now-m.startedAt >= m.joinTimeout() {
		m.completeJoin()
	}
	seeds := m.remoteSeeds()
	m.contactSeed(seeds[m.nextSeed%len(seeds)])
	m.nextSeed++
}

// onJoin answers with the table. While many nodes start, it soon holds more, so that
// the answer waits. Settled tells whether it did before this node joined.
func (m *Machine) onJoin(msg Message, stable bool) {
	if stable && m.pastStartupWindow() {
		m.reply(msg, m.joinReply())
		return
	}
	m.reply(msg, Message{Type: MessageJoinReply, Deferred: true})
	if len(m.deferredJoins) == 0 {
		m.deferredSince = m.now
	}
	waiting := slices.ContainsFunc(m.deferredJoins, func(deferred member.Info) bool { return deferred.ID == msg.From.ID })
	if !waiting {
		m.deferredJoins = append(m.deferredJoins, msg.From)
	}
}

// pastStartupWindow tells whether nodes that started together with this one have had the
// time to join.
func (m *Machine) pastStartupWindow() bool {
	return m.now-m.startedAt >= m.config.startupWindow()
}

// answerDeferredJoins answers the joins that wait once the table has settled, or has kept
// them waiting for long enough.
func (m *Machine) answerDeferredJoins() {
	if len(m.deferredJoins) == 0 {
		return
	}
	ready := m.pastStartupWindow() && m.isStable()
	if !ready && m.now-m.deferredSince < 2*m.config.startupWindow() {
		return
	}
	reply := m.joinReply()
	for _, joining := range m.deferredJoins {
		m.outbox = append(m.outbox, Outbound{To: joining.ID, Address: joining.Address, Message: m.withSender(reply)})
	}
	m.deferredJoins = nil
}

func (m *Machine) joinReply() Message {
	return Message{Type: MessageJoinReply, Records: m.Members(), Stable: m.isStable()}
}

// onJoinReply ends the search for seeds, or waits for the one that holds its answer.
func (m *Machine) onJoinReply(msg Message) {
	if msg.Deferred {
		m.nextJoin = max(m.nextJoin, m.now+2*m.config.startupWindow()+m.config.HeartbeatEvery)
		return
	}
	m.completeJoin()
	if msg.Stable {
		m.grownAt = m.now - m.config.stabilizationWait()
	}
}

// isStable tells whether no member has been new to the table lately, so that the
// neighbours on the ring are likely to stay.
func (m *Machine) isStable() bool {
	return m.now-m.grownAt >= m.config.stabilizationWait()
}

// completeJoin lets the search for monitors begin.
func (m *Machine) completeJoin() {
	if !m.joined {
		m.joined = true
		m.incarnation.startedAt = m.now
	}
}

func (m *Machine) joinTimeout() time.Duration {
	return joinTimeoutFences * m.config.FenceAfter
}

// SetSeeds replaces the addresses to join through. A node that has joined needs
// them to find the other side of a split alone.
func (m *Machine) SetSeeds(now time.Duration, seeds []string) []Outbound {
	m.advance(now)
	m.config.Seeds = slices.Clone(seeds)
	for _, seed := range m.vacantSeeds() {
		m.contactSeed(seed)
	}
	return m.flush()
}

// contactSeed asks for the table, or shows a digest of the own one if that may hold much
// of it.
func (m *Machine) contactSeed(address string) {
	message := Message{Type: MessageGossip}
	if !m.joined || m.isAlone() {
		message = Message{Type: MessageJoin, Records: []Record{m.selfRecord().clone()}}
	}
	m.outbox = append(m.outbox, Outbound{Address: address, Message: m.withSender(message)})
}

// isAlone tells whether this node knows of no other member that may live.
func (m *Machine) isAlone() bool {
	return !slices.ContainsFunc(m.sortedIDs, func(id member.ID) bool {
		return id != m.config.Self.ID && !m.table[id].record.certainlyFenced()
	})
}

// forgetFenced drops lives that have been over for long, and remembers only that
// they are over.
func (m *Machine) forgetFenced() {
	for _, id := range slices.Clone(m.fencedMembers) {
		e := m.table[id]
		if id == m.config.Self.ID {
			continue
		}
		if !e.seenFenced {
			e.seenFenced = true
			e.fencedSince = m.now
		}
		if m.now-e.fencedSince < m.config.ForgetAfter {
			continue
		}
		m.forgotten[id] = e.record.Info.Incarnation
		m.remove(id)
		delete(m.peers, id)
	}
}
