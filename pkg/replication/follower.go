package replication

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// stepFromLeader handles the messages that only the leader of their term sends.
func (g *Group) stepFromLeader(from member.ID, m Message) error {
	if m.Term < g.hard.Term {
		g.rejectStaleLeader(from, m)
		return nil
	}
	// This comes first so that a message in error changes nothing.
	if err := g.checkFromLeader(from, m); err != nil {
		return err
	}
	if m.Term > g.hard.Term || g.election.role() == RoleCandidate || g.election.leader == "" {
		g.becomeFollower(m.Term, from)
	}
	g.election.timer.heardLeader(from, g.now)
	switch m.Type {
	case MessageAppend:
		g.stepAppend(from, m)
	case MessageSnapshot:
		g.stepSnapshot(from, m)
	default:
		g.stepHeartbeat(from, m)
	}
	return nil
}

// checkFromLeader finds messages that no leader can send. It changes nothing.
func (g *Group) checkFromLeader(from member.ID, m Message) error {
	if m.Term == 0 {
		return &MessageError{From: from, Type: m.Type, Message: "no leader has term zero"}
	}
	if m.Term == g.hard.Term && g.election.leader != "" && g.election.leader != from {
		return &MessageError{From: from, Type: m.Type, Message: "the term has another leader already: check that no two members run under one ID"}
	}
	switch m.Type {
	case MessageAppend:
		return g.checkAppend(from, m)
	case MessageSnapshot:
		return checkSnapshot(from, m)
	default:
		return nil
	}
}

// rejectStaleLeader tells a leader of an earlier term of the present one.
func (g *Group) rejectStaleLeader(from member.ID, m Message) {
	reply := MessageAppendReply
	if m.Type == MessageHeartbeat {
		reply = MessageHeartbeatReply
	}
	g.send(from, Message{Type: reply, Term: g.hard.Term, Reject: true, Learner: g.cfg.Learner})
}

// stepHeartbeat acknowledges a heartbeat, or campaigns if the leader asks for that.
func (g *Group) stepHeartbeat(from member.ID, m Message) {
	if m.Transfer && g.election.role() == RoleFollower {
		g.election.startCampaign(true)
		return
	}
	g.send(from, Message{
		Type:            MessageHeartbeatReply,
		Term:            g.hard.Term,
		HeartbeatNumber: m.HeartbeatNumber,
		Commit:          g.log.committed,
		Learner:         g.cfg.Learner,
	})
}

// stepAppend appends the entries, in place of those that conflict with them.
func (g *Group) stepAppend(from member.ID, m Message) {
	last, ok := g.log.maybeAppend(m.Index, m.IndexTerm, m.Entries)
	if !ok {
		g.rejectAppend(from, m)
		return
	}
	g.log.commitTo(min(m.Commit, last))
	g.acknowledge(from, last)
}

// checkAppend finds entries that no leader can send: with gaps, or in place of
// entries that are committed here.
func (g *Group) checkAppend(from member.ID, m Message) error {
	previous := Entry{Index: m.Index, Term: m.IndexTerm}
	for _, entry := range m.Entries {
		if entry.Index != previous.Index+1 || entry.Term < previous.Term || entry.Term > m.Term {
			return &MessageError{From: from, Type: m.Type, Message: "the entries are out of order"}
		}
		if err := entry.check(); err != nil {
			return &MessageError{From: from, Type: m.Type, Message: err.Error()}
		}
		term, ok := g.log.termAt(entry.Index)
		if ok && entry.Index <= g.log.committed && term != entry.Term {
			return &MessageError{From: from, Type: m.Type, Message: "the entries contradict committed ones: check that no two groups are mixed up"}
		}
		previous = entry
	}
	return nil
}

// rejectAppend tells the leader where the logs may begin to agree.
func (g *Group) rejectAppend(to member.ID, m Message) {
	hint, hintTerm := g.log.conflictHint(m.Index, m.IndexTerm)
	g.send(to, Message{
		Type:       MessageAppendReply,
		Term:       g.hard.Term,
		Index:      m.Index,
		IndexTerm:  hintTerm,
		Reject:     true,
		RejectHint: hint,
		Learner:    g.cfg.Learner,
	})
}

// acknowledge replies that the log matches the leader's up to index. The reply
// leaves in the Ready that holds the entries, and so after they are durable.
func (g *Group) acknowledge(to member.ID, index uint64) {
	g.send(to, Message{
		Type:    MessageAppendReply,
		Term:    g.hard.Term,
		Index:   index,
		Commit:  g.log.committed,
		Learner: g.cfg.Learner,
	})
}
