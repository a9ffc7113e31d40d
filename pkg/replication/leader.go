package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// maxAppendBytes bounds the commands in one append message; a longer command
	// goes alone.
	maxAppendBytes = 1 << 20
	// maxUncommitted bounds the entries that wait for a quorum.
	maxUncommitted = 8192
)

// leadership is what a member keeps while it leads a term.
type leadership struct {
	followers  tracker
	heartbeats heartbeats
	lease      commandLease
	transfer   leadershipTransfer
	due        dueChange
	// barrier is the index of the entry that began the leadership.
	barrier uint64
	// appendPending tells that followers have yet to be sent new entries or a new
	// commit index.
	appendPending bool
}

// Propose appends a command to the log and returns the index at which it will be
// committed if this member stays the leader. The outcome shows in Ready.Committed:
// the command is committed if the entry at that index has the same term. It fails
// with a *NotLeaderError or ErrBacklogFull.
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

// checkAcceptsProposals fails with a *NotLeaderError on all but a leader that stays.
func (g *Group) checkAcceptsProposals() error {
	if g.election.role() != RoleLeader {
		return &NotLeaderError{Leader: g.election.leader}
	}
	if target := g.leadership.transfer.target; target != "" {
		return &NotLeaderError{Leader: target}
	}
	return nil
}

// appendEntry appends an entry of the present term. The followers are sent it with
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

// tickLeader steps down without a live majority, as the others may have elected
// another leader.
func (g *Group) tickLeader() {
	if !g.leadership.followers.hasLiveMajority(g.slots(), g.now) {
		g.becomeFollower(g.hard.Term, "")
		return
	}
	g.tickTransfer()
	if g.now >= g.leadership.heartbeats.sentAt+g.cfg.HeartbeatEvery {
		g.broadcastHeartbeat()
	}
}

// trackMembers begins to track the members that the leader does not track yet.
func (g *Group) trackMembers() {
	followers := g.leadership.followers.members
	for _, id := range g.otherMembers() {
		if followers[id] != nil {
			continue
		}
		followers[id] = &progress{
			next:             g.log.lastIndex() + 1,
			lastContact:      g.now,
			contactHeartbeat: g.leadership.heartbeats.number,
		}
	}
	for _, voter := range g.log.groups.latest().voters {
		if follower := followers[voter.ID]; follower != nil && follower.incarnation == 0 {
			// Until the member is heard in a later incarnation.
			follower.incarnation = voter.Incarnation
		}
	}
}

// broadcastAppend sends new entries and the commit index to all followers that can
// take them.
func (g *Group) broadcastAppend() {
	g.leadership.appendPending = false
	for _, id := range g.otherMembers() {
		g.sendAppends(id, g.leadership.followers.get(id))
	}
}

// sendAppends sends as many entries as may be in flight; it is at least one append,
// which may be empty but for the commit index.
func (g *Group) sendAppends(to member.ID, follower *progress) {
	if follower.full() {
		return
	}
	g.sendAppend(to, follower)
	for follower.next <= g.log.lastIndex() && !follower.full() {
		g.sendAppend(to, follower)
	}
}

// sendAppend sends one append, or the snapshot if the log no longer has the
// entries that the follower lacks.
func (g *Group) sendAppend(to member.ID, follower *progress) {
	before := follower.next - 1
	beforeTerm, ok := g.log.termAt(before)
	if !ok {
		g.sendSnapshot(to, follower)
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

// stepToLeader handles replies of followers. Those of an earlier term or a lost
// incarnation are dropped.
func (g *Group) stepToLeader(from member.ID, m Message) error {
	if !g.recognizes(from) || g.election.role() != RoleLeader || m.Term < g.hard.Term {
		return nil
	}
	if m.Type == MessageAppendReply && m.Index > g.log.lastIndex() {
		return &MessageError{From: from, Type: m.Type, Message: "acknowledges entries that the leader never had: check that no two groups are mixed up"}
	}
	follower := g.leadership.followers.get(from)
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
	follower.contactHeartbeat = g.leadership.heartbeats.number
	follower.learner = m.Learner
	if m.Type == MessageHeartbeatReply {
		g.handleHeartbeatReply(from, follower, m)
		return nil
	}
	g.handleAppendReply(from, follower, m)
	return nil
}

// handleAppendReply follows how far the follower's log matches, and sends what comes
// next.
func (g *Group) handleAppendReply(from member.ID, follower *progress, m Message) {
	if m.Reject {
		hint, _ := g.log.conflictHint(m.RejectHint, m.IndexTerm)
		if follower.rejected(m.Index, hint) {
			g.sendAppends(from, follower)
		}
		return
	}
	if follower.acknowledged(m.Index) {
		g.maybeCommit()
		g.continueTransfer(from)
	}
	if follower.next <= g.log.lastIndex() {
		g.sendAppends(from, follower)
	}
}

// maybeCommit commits the entries that are durable on a majority of the voters, if
// the newest of them is of the present term. An entry of an earlier term could still
// be overwritten, however many voters have it.
func (g *Group) maybeCommit() {
	index := g.leadership.followers.reachedByMajority(g.log.groups.latest().voters,
		g.log.durable, func(p *progress) uint64 { return p.match })
	if term, ok := g.log.termAt(index); !ok || term != g.hard.Term {
		return
	}
	if !g.log.commitTo(index) {
		return
	}
	g.leadership.appendPending = true
	// Reads may have waited for the commit of the barrier.
	g.confirmHeartbeats()
	g.refillSlot()
}
