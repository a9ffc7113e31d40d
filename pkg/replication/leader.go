package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// maxAppendBytes bounds the commands in one append message; a longer
	// command goes alone.
	maxAppendBytes = 1 << 20
	// maxUncommitted bounds the entries that wait for a quorum.
	maxUncommitted = 8192
)

// Propose appends a command to the log and returns the index at which it will
// be committed if this member stays the leader. What becomes of it shows in
// Ready.Committed: the entry at that index, if it has the same term.
func (g *Group) Propose(now time.Duration, command []byte) (index uint64, err error) {
	g.advanceClock(now)
	if err := g.checkAcceptsProposals(); err != nil {
		return 0, err
	}
	if g.log.lastIndex()-g.log.committed >= maxUncommitted {
		return 0, ErrBacklogFull
	}
	return g.appendEntry(EntryCommand, command), nil
}

func (g *Group) checkAcceptsProposals() error {
	if g.role != RoleLeader {
		return &NotLeaderError{Leader: g.leader}
	}
	if g.leadership.transferTarget != "" {
		return &NotLeaderError{Leader: g.leadership.transferTarget}
	}
	return nil
}

// appendEntry appends an entry of the own term. The followers are sent it with
// the next Ready, together with others appended until then.
func (g *Group) appendEntry(kind EntryKind, command []byte) uint64 {
	entry := Entry{
		Index:   g.log.lastIndex() + 1,
		Term:    g.hard.Term,
		Kind:    kind,
		Command: slices.Clone(command),
	}
	g.log.append(entry)
	g.leadership.appendPending = true
	return entry.Index
}

func (g *Group) tickLeader() {
	if !g.hasLiveQuorum() {
		g.becomeFollower(g.hard.Term, "")
		return
	}
	g.tickTransfer()
	if g.now >= g.leadership.heartbeatAt+g.cfg.HeartbeatEvery {
		g.broadcastHeartbeat()
	}
}

// hasLiveQuorum tells whether a majority, this member included, was heard within
// ElectionTimeout. A leader without one steps down, as the others may have
// elected another.
func (g *Group) hasLiveQuorum() bool {
	return g.hasLiveMajority(g.slots())
}

func (g *Group) isLive(follower *progress) bool {
	return g.now < follower.lastContact+g.cfg.ElectionTimeout
}

// isLiveVoter tells whether the voter was heard in the incarnation that has the
// vote.
func (g *Group) isLiveVoter(voter Voter) bool {
	if voter == g.self() {
		return true
	}
	follower := g.leadership.progress[voter.ID]
	return follower != nil && follower.incarnation == voter.Incarnation && g.isLive(follower)
}

// broadcastAppend sends the news to all followers that can take it.
func (g *Group) broadcastAppend() {
	g.leadership.appendPending = false
	for _, id := range g.otherMembers() {
		g.sendAppends(id)
	}
}

// sendAppends sends an append with all that may be under way, at least an empty
// one that tells the commit index.
func (g *Group) sendAppends(to member.ID) {
	follower := g.leadership.progress[to]
	if follower.full() {
		return
	}
	g.sendAppend(to)
	for follower.next <= g.log.lastIndex() && !follower.full() {
		g.sendAppend(to)
	}
}

func (g *Group) sendAppend(to member.ID) {
	follower := g.leadership.progress[to]
	before := follower.next - 1
	beforeTerm, ok := g.log.termAt(before)
	if !ok {
		g.sendSnapshot(to)
		return
	}
	entries := g.log.entriesFrom(follower.next, maxAppendBytes)
	g.send(to, Message{
		Type:      MessageAppend,
		Term:      g.hard.Term,
		Index:     before,
		IndexTerm: beforeTerm,
		Commit:    g.log.committed,
		Entries:   entries,
	})
	switch follower.state {
	case progressReplicate:
		follower.next += uint64(len(entries))
	case progressProbe:
		follower.probing = true
	case progressSnapshot:
	}
}

// sendSnapshot sends the newest snapshot. It is there whenever entries have
// been dropped from the log.
func (g *Group) sendSnapshot(to member.ID) {
	snapshot := g.log.snapshot
	g.leadership.progress[to].becomeSnapshot(snapshot.Index, g.now)
	g.send(to, Message{
		Type:     MessageSnapshot,
		Term:     g.hard.Term,
		Index:    snapshot.Index,
		Snapshot: snapshot,
	})
}

// stepToLeader takes replies of followers in.
func (g *Group) stepToLeader(from member.ID, m Message) error {
	if !g.recognizes(from) {
		return nil
	}
	if m.Term > g.hard.Term {
		g.becomeFollower(m.Term, "")
		return nil
	}
	if g.role != RoleLeader || m.Term < g.hard.Term {
		return nil
	}
	if m.Type == MessageAppendReply && m.Index > g.log.lastIndex() {
		return &MessageError{From: from, Type: m.Type, Message: "acknowledges entries that the leader never had: check that no two groups are mixed up"}
	}
	follower := g.leadership.progress[from]
	if follower == nil {
		return nil
	}
	if m.Incarnation != follower.incarnation {
		if !follower.isLaterIncarnation(m) {
			// The durable state that vouched for this may be lost.
			return nil
		}
		follower.beginIncarnation(m.Incarnation)
	}
	follower.lastContact = g.now
	follower.contactHeartbeat = g.leadership.heartbeatNumber
	follower.learner = m.Learner
	if m.Type == MessageHeartbeatReply {
		g.handleHeartbeatReply(from, m)
		return nil
	}
	g.handleAppendReply(from, m)
	return nil
}

func (g *Group) handleAppendReply(from member.ID, m Message) {
	follower := g.leadership.progress[from]
	if m.Reject {
		hint, _ := g.log.conflictHint(m.RejectHint, m.IndexTerm)
		if follower.rejected(m.Index, hint) {
			g.sendAppends(from)
		}
		return
	}
	if follower.acknowledged(m.Index) {
		g.maybeCommit()
		g.continueTransfer(from)
	}
	if follower.next <= g.log.lastIndex() {
		g.sendAppends(from)
	}
}

// maybeCommit commits what a majority of the voters holds durably, if the
// newest such entry is of the own term. An entry of an earlier term could be
// overwritten yet, however many copies it has.
func (g *Group) maybeCommit() {
	index := g.quorumOf(g.log.durable, func(p *progress) uint64 { return p.match })
	if term, ok := g.log.termAt(index); !ok || term != g.hard.Term {
		return
	}
	if g.log.commitTo(index) {
		g.leadership.appendPending = true
		g.releaseReads()
		g.fillSlots()
	}
}

// quorumOf returns the greatest value that a majority of the voters reached.
func (g *Group) quorumOf(self uint64, value func(*progress) uint64) uint64 {
	var values []uint64
	for _, voter := range g.log.groups.latest().voters {
		follower := g.leadership.progress[voter.ID]
		switch {
		case voter == g.self():
			values = append(values, self)
		case follower != nil && follower.incarnation == voter.Incarnation:
			values = append(values, value(follower))
		default:
			values = append(values, 0)
		}
	}
	slices.Sort(values)
	return values[len(values)-g.quorum()]
}
