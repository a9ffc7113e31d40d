package membership

// attemptJoin asks one seed after the other until one replies. A node whose seeds stay
// silent considers itself alone, and goes on asking.
func (m *Machine) attemptJoin() {
	if !m.joiner.attemptDue(m.now) {
		return
	}
	if m.joiner.hasTimedOut(m.now) {
		m.completeJoin()
	}
	m.contactSeed(m.joiner.attempt(m.now))
}

// contactSeed asks for the seed's table; or, if this node's table may hold much of it,
// sends a digest for comparison.
func (m *Machine) contactSeed(address string) {
	message := Message{Type: MessageGossip}
	if !m.joiner.joined || m.table.isAlone() {
		message = Message{Type: MessageJoin, Records: []Record{m.table.selfRecord().clone()}}
	}
	m.outbox = append(m.outbox, Outbound{Address: address, Message: m.withSender(message)})
}

// onJoin replies with the table. While many nodes start it will soon hold more, so the
// reply is deferred then. Stable tells whether the table was stable before the message.
func (m *Machine) onJoin(msg Message, stable bool) {
	if stable && m.joiner.pastStartupWindow(m.now) {
		m.reply(msg, m.joinReply())
		return
	}
	m.reply(msg, Message{Type: MessageJoinReply, Deferred: true})
	m.joiner.deferReply(m.now, msg.From)
}

// sendDeferredJoinReplies sends the table to the nodes that have waited for it.
func (m *Machine) sendDeferredJoinReplies() {
	joining := m.joiner.takeDeferred(m.now, m.isTableStable())
	if len(joining) == 0 {
		return
	}
	reply := m.joinReply()
	for _, info := range joining {
		m.sendTo(info, reply)
	}
}

func (m *Machine) joinReply() Message {
	return Message{Type: MessageJoinReply, Records: m.table.copyRecords(), Stable: m.isTableStable()}
}

// onJoinReply ends the search for seeds, or waits for a seed that deferred its reply.
func (m *Machine) onJoinReply(msg Message) {
	if msg.Deferred {
		m.joiner.onDeferral(m.now)
		return
	}
	m.completeJoin()
	if msg.Stable {
		m.assumeTableStable()
	}
}

// completeJoin lets the search for monitors begin.
func (m *Machine) completeJoin() {
	if !m.joiner.joined {
		m.joiner.joined = true
		m.fence.searchStartedAt = m.now
	}
}
