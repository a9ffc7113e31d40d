package replication

// The leader changes its group automatically: one change at a time, and only if the change
// leaves a live majority. A change that can't be made now is considered again at the next
// heartbeat.
//
// If the leader changes the group just after another member of the majority was lost for
// good, the group stops permanently, because the entry of the change can't be committed any
// more. That a voter was heard from within ElectionTimeout is too weak a check, as the loss
// of one member is often what makes the next change due. Therefore a change is made only
// after the members that it depends on have acknowledged a heartbeat that was sent when the
// change became due or later. Only the promotion of the member that a slot is reserved for
// doesn't wait for that, see leadership.commit.

// minReducibleVoters is the smallest number of voters that still tolerates a loss with one
// voter less.
const minReducibleVoters = 4

// groupRepair is the change that the leader will make next.
type groupRepair struct {
	// due is the zero GroupChange if no change is due.
	due GroupChange
	// sinceHeartbeat is the number of the heartbeat that was sent when the change became due.
	sinceHeartbeat uint64
}

// search looks for the change that is due. It is called when a heartbeat is sent.
func (r *groupRepair) search(planner *changePlanner, heartbeat uint64) {
	if first := planner.firstDue(); first != r.due {
		*r = groupRepair{due: first, sinceHeartbeat: heartbeat}
	}
}

// take returns the change that is due once the required members have acknowledged a heartbeat
// sent since it became due. The caller then makes the change.
func (r *groupRepair) take(planner *changePlanner) (change GroupChange, due bool) {
	if r.due == (GroupChange{}) || !planner.acknowledgedSince(r.due, r.sinceHeartbeat) {
		return GroupChange{}, false
	}
	change = r.due
	*r = groupRepair{}
	return change, true
}

// firstDue returns the first change that is due and possible, or the zero GroupChange.
func (p *changePlanner) firstDue() GroupChange {
	for _, findDue := range []func() (GroupChange, bool){
		p.duePromotion, p.dueIncarnationRemoval, p.dueReduction, p.dueReplacement, p.dueGrowth, p.dueDrop,
	} {
		change, due := findDue()
		if !due {
			continue
		}
		if _, problem := p.groupAfter(change); problem == 0 {
			return change
		}
	}
	return GroupChange{}
}

// acknowledgedSince reports whether a majority of the voters after the change has
// acknowledged the heartbeat or a later one. If the change adds a slot and makes the number
// of voters even, all voters must have acknowledged it: such a group tolerates no more losses
// than before, and fewer while a voter is down.
func (p *changePlanner) acknowledgedSince(due GroupChange, heartbeat uint64) bool {
	changed, problem := p.groupAfter(due)
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

// duePromotion gives the vote to a member that a slot is reserved for.
func (p *changePlanner) duePromotion() (change GroupChange, due bool) {
	for _, slot := range p.group.slots {
		voter := p.followers.lastHeard(slot)
		if slot.Learner && p.caughtUp(voter) {
			return GroupChange{Kind: ChangeAddVoter, Voter: voter}, true
		}
	}
	return GroupChange{}, false
}

// dueIncarnationRemoval removes a lost incarnation whose member has caught up in a new
// incarnation, and reserves the slot for the new incarnation.
func (p *changePlanner) dueIncarnationRemoval() (change GroupChange, due bool) {
	for _, slot := range p.group.slots {
		successor := p.followers.lastHeard(slot)
		if !slot.Learner && successor.Incarnation != slot.Incarnation && p.caughtUp(successor) {
			return GroupChange{Kind: ChangeRemoveVoter, Voter: slot.Voter, Successor: successor}, true
		}
	}
	return GroupChange{}, false
}

// dueReduction removes an unresponsive voter from a group with an even number of voters,
// which tolerates as many losses without that voter. A group with an odd number keeps its
// unresponsive voters, which may come back with their disks.
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

// dueReplacement removes an unresponsive voter from a group with an odd number of voters in
// favour of a peer that has caught up. The peer is given the vote only after the removal: an
// additional vote would raise the majority, which could not be reached any more if the peer
// were lost immediately as well.
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

// dueDrop drops a reserved slot whose member has become unresponsive.
func (p *changePlanner) dueDrop() (change GroupChange, due bool) {
	for _, slot := range p.group.slots {
		if slot.Learner && p.isUnresponsive(slot.Voter) {
			return GroupChange{Kind: ChangeDropSlot, Voter: slot.Voter}, true
		}
	}
	return GroupChange{}, false
}

// caughtUpPeer returns the first peer without a slot that has caught up and has not announced
// that it stops.
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

// mayGrow reports whether another voter may be added. One more voter raises the majority of a
// group with an odd number of voters, which then tolerates fewer losses while a voter is
// down.
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

// isUnresponsive reports whether the leader has not heard from the member, in any
// incarnation, for RemoveAfter. A member that announced that it stops is unresponsive as soon
// as it is not live.
func (p *changePlanner) isUnresponsive(voter Voter) bool {
	follower := p.followers.get(voter.ID)
	if follower == nil || p.followers.isLive(follower, p.now) {
		return false
	}
	return p.peers.hasLeft(voter.ID) || p.now >= follower.lastContact+p.cfg.RemoveAfter
}
