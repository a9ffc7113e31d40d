package replication

// The leader repairs its group by itself: one change at a time, and each only if it leaves a
// live majority. A change that can't be made now is looked for again at the next heartbeat.
//
// The group stops for good if the leader changes it just after another member of the
// majority was lost for good: what it appended can't be committed any more. That a voter
// was heard within ElectionTimeout says too little, as one loss is often what makes the
// next change due. So the leader asks again: a change is made when those that it rests on
// have acknowledged a heartbeat that was sent after the change became due. Only the
// refill of a reserved slot doesn't wait for that, see leadership.commit.

// minReducibleVoters is the smallest group that tolerates a loss with one voter less.
const minReducibleVoters = 4

// groupRepair is the change that the leader is about to make.
type groupRepair struct {
	// due is zero if no change is.
	due GroupChange
	// sinceHeartbeat is the heartbeat that was sent when the change became due.
	sinceHeartbeat uint64
}

// search looks, as a heartbeat is sent, for the change that is due.
func (r *groupRepair) search(planner *changePlanner, heartbeat uint64) {
	if first := planner.firstDue(); first != r.due {
		*r = groupRepair{due: first, sinceHeartbeat: heartbeat}
	}
}

// take returns the change that is due once it has the acknowledgements that it waits
// for. The caller makes it.
func (r *groupRepair) take(planner *changePlanner) (change GroupChange, due bool) {
	if r.due == (GroupChange{}) || !planner.acknowledgedSince(r.due, r.sinceHeartbeat) {
		return GroupChange{}, false
	}
	change = r.due
	*r = groupRepair{}
	return change, true
}

// firstDue returns the change that is due first, or zero.
func (p *changePlanner) firstDue() GroupChange {
	for _, findDue := range []func() (GroupChange, bool){
		p.duePromotion, p.dueIncarnationRemoval, p.dueReduction, p.dueReplacement, p.dueGrowth, p.dueDrop,
	} {
		change, due := findDue()
		if !due {
			continue
		}
		if _, problem := p.after(change); problem == 0 {
			return change
		}
	}
	return GroupChange{}
}

// acknowledgedSince tells whether a majority of the changed group has acknowledged a
// heartbeat since the change became due. A group that grows to an even number
// tolerates no more losses than before, and fewer while a voter is gone: there all
// have to acknowledge.
func (p *changePlanner) acknowledgedSince(due GroupChange, heartbeat uint64) bool {
	changed, problem := p.after(due)
	if problem != 0 {
		return false
	}
	voters := changed.voters()
	acknowledged := 0
	for _, voter := range voters {
		if p.followers.hasAcknowledged(voter, heartbeat) {
			acknowledged++
		}
	}
	addsSlot := due.Kind == ChangeAddVoter && p.group.slots.position(due.Voter.ID) < 0
	if addsSlot && len(voters)%2 == 0 {
		return acknowledged == len(voters)
	}
	return acknowledged >= changed.quorum()
}

// duePromotion gives the vote back to a member that a slot is reserved for.
func (p *changePlanner) duePromotion() (change GroupChange, due bool) {
	for _, slot := range p.group.slots {
		voter := p.followers.lastHeard(slot)
		if slot.Learner && p.caughtUp(voter) {
			return GroupChange{Kind: ChangeAddVoter, Voter: voter}, true
		}
	}
	return GroupChange{}, false
}

// dueIncarnationRemoval removes a lost incarnation whose member has the log in a new
// one, and reserves its slot.
func (p *changePlanner) dueIncarnationRemoval() (change GroupChange, due bool) {
	for _, slot := range p.group.slots {
		successor := p.followers.lastHeard(slot)
		if !slot.Learner && successor.Incarnation != slot.Incarnation && p.caughtUp(successor) {
			return GroupChange{Kind: ChangeRemoveVoter, Voter: slot.Voter, Successor: successor}, true
		}
	}
	return GroupChange{}, false
}

// dueReduction removes an unresponsive voter from a group with an even number of
// voters: without it the group tolerates as many losses. A group with an odd number
// keeps its unresponsive voters, which may come back with their disks.
func (p *changePlanner) dueReduction() (change GroupChange, due bool) {
	voters := p.group.voters
	if len(voters) < minReducibleVoters || len(voters)%2 != 0 {
		return GroupChange{}, false
	}
	for _, voter := range voters {
		if p.isUnresponsive(voter) {
			return GroupChange{Kind: ChangeRemoveVoter, Voter: voter}, true
		}
	}
	return GroupChange{}, false
}

// dueReplacement removes an unresponsive voter from a group with an odd number of
// voters in favour of a peer that has caught up. The vote is given only after it was
// taken: a peer that took one in addition would raise the majority, which could not
// be reached any more if the peer were lost at once as well.
func (p *changePlanner) dueReplacement() (change GroupChange, due bool) {
	successor, found := p.caughtUpPeer()
	if !found {
		return GroupChange{}, false
	}
	for _, voter := range p.group.voters {
		if p.isUnresponsive(voter) {
			return GroupChange{Kind: ChangeRemoveVoter, Voter: voter, Successor: successor}, true
		}
	}
	return GroupChange{}, false
}

// dueGrowth gives a vote to a peer that has caught up.
func (p *changePlanner) dueGrowth() (change GroupChange, due bool) {
	voter, found := p.caughtUpPeer()
	if !found || !p.mayGrow() {
		return GroupChange{}, false
	}
	return GroupChange{Kind: ChangeAddVoter, Voter: voter}, true
}

// dueDrop drops a reserved slot whose member does not come back for it.
func (p *changePlanner) dueDrop() (change GroupChange, due bool) {
	for _, slot := range p.group.slots {
		if slot.Learner && p.isUnresponsive(slot.Voter) {
			return GroupChange{Kind: ChangeDropSlot, Voter: slot.Voter}, true
		}
	}
	return GroupChange{}, false
}

// caughtUpPeer returns the first peer without a slot that has caught up and stays.
func (p *changePlanner) caughtUpPeer() (voter Voter, found bool) {
	for _, peer := range p.peers {
		follower := p.followers.get(peer.ID)
		if peer.Left || follower == nil || p.group.slots.position(peer.ID) >= 0 {
			continue
		}
		if voter := (Voter{ID: peer.ID, Incarnation: follower.incarnation}); p.caughtUp(voter) {
			return voter, true
		}
	}
	return Voter{}, false
}

// mayGrow tells whether the group may have another voter. One voter more raises the
// majority of an odd group, which then tolerates less while a voter is not heard.
func (p *changePlanner) mayGrow() bool {
	group := p.group.slots
	if len(group) >= p.cfg.MaxVoters {
		return false
	}
	if len(group)%2 == 0 {
		return true
	}
	for _, voter := range p.group.voters {
		if !p.followers.isLiveVoter(voter, p.now) {
			return false
		}
	}
	return true
}

// isUnresponsive tells whether nothing was heard of the member, in any incarnation,
// for long enough to go on without it.
func (p *changePlanner) isUnresponsive(voter Voter) bool {
	follower := p.followers.get(voter.ID)
	if follower == nil || p.followers.isLive(follower, p.now) {
		return false
	}
	return p.peers.hasLeft(voter.ID) || p.now >= follower.lastContact+p.cfg.RemoveAfter
}
