package replication

import "github.com/ridgeswitch/ridgeswitch/pkg/member"

// follower replicates the log of the leader of the present term. An acknowledgement is sent
// in the same Ready as the entries, and so after they are durable; the leader may count it
// for that reason. Committed entries are never replaced: check rejects a message that would
// replace one, before anything is changed.
type follower struct {
	*memberState
	// received is the snapshot that has replaced the log, until Ready returns it.
	received *Snapshot
}

// check returns an error for a message that no correct leader can send. It changes nothing.
func (f *follower) check(from member.ID, m Message) error {
	switch m.Type {
	case MessageAppend:
		return f.checkAppend(from, m)
	case MessageSnapshot:
		return checkSnapshot(from, m)
	default:
		return nil
	}
}

// checkAppend returns an error if the entries have gaps, or conflict with entries that are
// committed here.
func (f *follower) checkAppend(from member.ID, m Message) error {
	previous := Entry{Index: m.Index, Term: m.IndexTerm}
	for _, entry := range m.Entries {
		if entry.Index != previous.Index+1 || entry.Term < previous.Term || entry.Term > m.Term {
			return &MessageError{From: from, Type: m.Type, Message: "the indexes or terms of the entries are out of order"}
		}
		if err := entry.check(); err != nil {
			return &MessageError{From: from, Type: m.Type, Message: err.Error()}
		}
		term, ok := f.log.termAt(entry.Index)
		if ok && entry.Index <= f.log.committed && term != entry.Term {
			return &MessageError{From: from, Type: m.Type, Message: "the entries conflict with committed ones: check that the sender belongs to the same group"}
		}
		previous = entry
	}
	return nil
}

// checkSnapshot returns an error if the snapshot is missing or its group is invalid.
func checkSnapshot(from member.ID, m Message) error {
	if m.Snapshot == nil {
		return &MessageError{From: from, Type: m.Type, Message: "the message contains no snapshot"}
	}
	if err := slots(m.Snapshot.Slots).check(); err != nil {
		return &MessageError{From: from, Type: m.Type, Message: "the group of the snapshot is invalid: " + err.Error()}
	}
	return nil
}

// rejectStaleLeader replies with the present term to a leader of an earlier term.
func (f *follower) rejectStaleLeader(from member.ID, m Message) {
	reply := MessageAppendReply
	if m.Type == MessageHeartbeat {
		reply = MessageHeartbeatReply
	}
	f.send(from, Message{Type: reply, Term: f.hardState.Term, Reject: true, Learner: f.cfg.Learner})
}

// stepHeartbeat acknowledges a heartbeat.
func (f *follower) stepHeartbeat(from member.ID, m Message) {
	f.send(from, Message{
		Type:            MessageHeartbeatReply,
		Term:            f.hardState.Term,
		HeartbeatNumber: m.HeartbeatNumber,
		Commit:          f.log.committed,
		Learner:         f.cfg.Learner,
	})
}

// stepAppend appends the entries, in place of those that conflict with them. If the log lacks
// the entry before them, the reply tells the leader the highest index at which the logs may
// agree.
func (f *follower) stepAppend(from member.ID, m Message) {
	last, ok := f.log.maybeAppend(m.Index, m.IndexTerm, m.Entries)
	if !ok {
		hint, hintTerm := f.log.conflictHint(m.Index, m.IndexTerm)
		f.send(from, Message{
			Type:       MessageAppendReply,
			Term:       f.hardState.Term,
			Index:      m.Index,
			IndexTerm:  hintTerm,
			Reject:     true,
			RejectHint: hint,
			Learner:    f.cfg.Learner,
		})
		return
	}
	f.log.commitTo(min(m.Commit, last))
	f.acknowledge(from, last)
}

// stepSnapshot installs the snapshot, unless the log already contains the entry at its index.
func (f *follower) stepSnapshot(from member.ID, m Message) {
	snapshot := m.Snapshot
	switch {
	case snapshot.Index <= f.log.committed:
		f.acknowledge(from, f.log.committed)
	case f.log.matches(snapshot.Index, snapshot.Term):
		f.log.commitTo(snapshot.Index)
		f.acknowledge(from, snapshot.Index)
	default:
		f.log.install(snapshot)
		f.received = snapshot
		f.acknowledge(from, snapshot.Index)
	}
}

// acknowledge replies that the log matches the leader's up to index.
func (f *follower) acknowledge(to member.ID, index uint64) {
	f.send(to, Message{
		Type:    MessageAppendReply,
		Term:    f.hardState.Term,
		Index:   index,
		Commit:  f.log.committed,
		Learner: f.cfg.Learner,
	})
}
