package replication

import "slices"

// What the leader does by itself to keep its group whole: one step at a time,
// and each only if it leaves a live majority. A refusal is not an end, as the
// next heartbeat round looks again.
//
// The group stops for good if the leader changes it just after another member of
// the majority was lost for good: what it appended can't be committed any more.
// That a voter was heard within ElectionTimeout says too little, as one loss is
// often what makes the next change due. So the leader asks again: a change is
// made when those that it rests on have answered a heartbeat that was sent after
// it became due.

// dueChange is the change that the leader is about to make.
type dueChange struct {
	// change is zero if none is due.
	change GroupChange
	// sinceHeartbeat is the heartbeat round that began when the change became due.
	sinceHeartbeat uint64
}

// minReducibleVoters is the smallest group that bears a loss with one voter less.
const minReducibleVoters = 4

// repairGroup looks, as a heartbeat round begins, for the change that is due.
func (g *Group) repairGroup() {
	if first := g.firstDueChange(); first != g.leadership.due.change {
		g.leadership.due = dueChange{change: first, sinceHeartbeat: g.leadership.heartbeatNumber}
	}
	g.proposeDueChange()
}

// firstDueChange returns the change that is due first, or zero.
func (g *Group) firstDueChange() GroupChange {
	for _, due := range []func() (GroupChange, bool){
		g.dueRefill, g.dueIncarnationRemoval, g.dueReduction, g.dueReplacement, g.dueGrowth, g.dueDrop,
	} {
		change, found := due()
		if !found {
			continue
		}
		if _, problem := g.afterChange(change); problem == 0 {
			return change
		}
	}
	return GroupChange{}
}

// proposeDueChange proposes the change that is due once it has the answers that it
// waits for.
func (g *Group) proposeDueChange() {
	due := g.leadership.due
	if due.change == (GroupChange{}) || !g.acknowledgedSince(due) {
		return
	}
	g.leadership.due = dueChange{}
	_ = g.ProposeGroupChange(g.now, due.change)
}

// acknowledgedSince tells whether a majority of the changed group has answered since
// the change became due. A group that grows to an even number bears no more
// losses than before, and fewer while a voter is gone: there all have to answer.
func (g *Group) acknowledgedSince(due dueChange) bool {
	changed, problem := g.afterChange(due.change)
	if problem != 0 {
		return false
	}
	voters := changed.voters()
	acknowledged := 0
	for _, voter := range voters {
		if g.acknowledgedHeartbeat(voter, due.sinceHeartbeat) {
			acknowledged++
		}
	}
	if g.addsSlot(due.change) && len(voters)%2 == 0 {
		return acknowledged == len(voters)
	}
	return acknowledged >= changed.quorum()
}

// acknowledgedHeartbeat tells whether the voter has answered that heartbeat round or a later
// one.
func (g *Group) acknowledgedHeartbeat(voter Voter, heartbeat uint64) bool {
	if voter == g.self() {
		return true
	}
	follower := g.leadership.progress[voter.ID]
	return follower != nil && follower.incarnation == voter.Incarnation && follower.ackedHeartbeat >= heartbeat
}

// addsSlot tells whether the change gives a vote to a member without a place.
func (g *Group) addsSlot(change GroupChange) bool {
	return change.Kind == ChangeAddVoter && g.slots().position(change.Voter.ID) < 0
}

// fillSlots adds a member that a place is kept for, as soon as a removal is
// committed: until then the group tolerates fewer losses.
func (g *Group) fillSlots() {
	if change, due := g.dueRefill(); due {
		_ = g.ProposeGroupChange(g.now, change)
	}
}

// dueRefill gives the vote back to a member that a place is kept for.
func (g *Group) dueRefill() (change GroupChange, due bool) {
	for _, slot := range g.slots() {
		voter := g.presentIncarnation(slot)
		if slot.Learner && g.caughtUp(voter) {
			return GroupChange{Kind: ChangeAddVoter, Voter: voter}, true
		}
	}
	return GroupChange{}, false
}

// dueIncarnationRemoval removes a lost incarnation whose member holds the log
// in a new one, and keeps its place.
func (g *Group) dueIncarnationRemoval() (change GroupChange, due bool) {
	for _, slot := range g.slots() {
		successor := g.presentIncarnation(slot)
		if !slot.Learner && successor.Incarnation != slot.Incarnation && g.caughtUp(successor) {
			return GroupChange{Kind: ChangeRemoveVoter, Voter: slot.Voter, Successor: successor}, true
		}
	}
	return GroupChange{}, false
}

// dueReduction removes a silent voter from a group with an even number of
// voters: without it the group bears as many losses. A group with an odd number
// keeps its silent voters, which may come back with their disks.
func (g *Group) dueReduction() (change GroupChange, due bool) {
	voters := g.slots().voters()
	if len(voters) < minReducibleVoters || len(voters)%2 != 0 {
		return GroupChange{}, false
	}
	for _, voter := range voters {
		if g.isUnresponsive(voter) {
			return GroupChange{Kind: ChangeRemoveVoter, Voter: voter}, true
		}
	}
	return GroupChange{}, false
}

// dueReplacement removes a silent voter from a group with an odd number of voters
// in favour of a peer that has caught up. The vote is given only after it was
// taken: a peer that took one in addition would raise the majority, which could
// not be reached any more if the peer were lost at once as well.
func (g *Group) dueReplacement() (change GroupChange, due bool) {
	successor, found := g.candidate()
	if !found {
		return GroupChange{}, false
	}
	for _, voter := range g.slots().voters() {
		if g.isUnresponsive(voter) {
			return GroupChange{Kind: ChangeRemoveVoter, Voter: voter, Successor: successor}, true
		}
	}
	return GroupChange{}, false
}

// dueGrowth gives a vote to a peer that has caught up.
func (g *Group) dueGrowth() (change GroupChange, due bool) {
	voter, found := g.candidate()
	if !found || !g.mayGrow() {
		return GroupChange{}, false
	}
	return GroupChange{Kind: ChangeAddVoter, Voter: voter}, true
}

// candidate is a peer without a place that has caught up.
func (g *Group) candidate() (voter Voter, found bool) {
	for _, peer := range g.peers {
		follower := g.leadership.progress[peer.ID]
		if peer.Left || follower == nil || g.slots().position(peer.ID) >= 0 {
			continue
		}
		if voter := (Voter{ID: peer.ID, Incarnation: follower.incarnation}); g.caughtUp(voter) {
			return voter, true
		}
	}
	return Voter{}, false
}

// mayGrow tells whether there is room for a voter. One voter more raises the
// majority of an odd group, which then bears less while a voter is not heard.
func (g *Group) mayGrow() bool {
	group := g.slots()
	if len(group) >= g.cfg.MaxVoters {
		return false
	}
	return len(group)%2 == 0 || !slices.ContainsFunc(group.voters(), g.isMissing)
}

func (g *Group) isMissing(voter Voter) bool {
	return voter != g.self() && !g.isLiveVoter(voter)
}

// dueDrop gives a place up whose member does not come back for it.
func (g *Group) dueDrop() (change GroupChange, due bool) {
	for _, slot := range g.slots() {
		if slot.Learner && g.isUnresponsive(slot.Voter) {
			return GroupChange{Kind: ChangeDropSlot, Voter: slot.Voter}, true
		}
	}
	return GroupChange{}, false
}

// isUnresponsive tells whether nothing was heard of the member, in any incarnation, for
// long enough to go on without it.
func (g *Group) isUnresponsive(voter Voter) bool {
	follower := g.leadership.progress[voter.ID]
	if follower == nil || g.isLive(follower) {
		return false
	}
	return g.hasLeft(voter.ID) || g.now >= follower.lastContact+g.cfg.RemoveAfter
}

// presentIncarnation is the incarnation in which the member of a place was last
// heard.
func (g *Group) presentIncarnation(slot Slot) Voter {
	if follower := g.leadership.progress[slot.ID]; follower != nil {
		return Voter{ID: slot.ID, Incarnation: follower.incarnation}
	}
	return slot.Voter
}
