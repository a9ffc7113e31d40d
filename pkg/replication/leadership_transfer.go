package replication

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// leadershipTransfer transfers the leadership to another voter. While it is in progress the
// leader accepts neither proposals nor reads, so that the target can catch up with the whole
// log. A transfer that fails does no harm: the target campaigns like any other candidate.
type leadershipTransfer struct {
	*memberState
	followers *tracker
	// target is the member that must take over, or empty.
	target    member.ID
	startedAt time.Duration
	// requestSent is true if the target was asked to campaign, which happens once it has the
	// whole log.
	requestSent bool
}

func (t *leadershipTransfer) inProgress() bool {
	return t.target != ""
}

// start begins a transfer, unless one is in progress. It fails with ErrNoSuccessor.
func (t *leadershipTransfer) start() error {
	if t.inProgress() {
		return nil
	}
	target := t.nextLiveVoter()
	if target == "" {
		return ErrNoSuccessor
	}
	t.target = target
	t.startedAt = t.now
	t.requestSent = false
	t.proceed(target)
	return nil
}

// nextLiveVoter returns the first live voter after this member in slot order, continuing at
// the beginning after the last slot, or an empty ID. Voters that announced that they stop are
// skipped.
func (t *leadershipTransfer) nextLiveVoter() member.ID {
	var before, after []Voter
	passedSelf := false
	for _, voter := range t.log.groups.latest().voters {
		switch {
		case voter.ID == t.cfg.Self:
			passedSelf = true
		case passedSelf:
			after = append(after, voter)
		default:
			before = append(before, voter)
		}
	}
	for _, voter := range append(after, before...) {
		if t.followers.isLiveVoter(voter, t.now) && !t.peers.hasLeft(voter.ID) {
			return voter.ID
		}
	}
	return ""
}

// proceed asks the follower to campaign if it is the target and has the whole log.
func (t *leadershipTransfer) proceed(follower member.ID) {
	if t.target != follower || t.requestSent {
		return
	}
	if t.followers.get(follower).match < t.log.lastIndex() {
		return
	}
	t.requestSent = true
	t.send(follower, Message{
		Type:     MessageHeartbeat,
		Term:     t.hardState.Term,
		Index:    t.log.lastIndex(),
		Transfer: true,
	})
}

// repeat asks the target again when it replies to a heartbeat. The first request may have
// been lost, as the target would otherwise have left this term.
func (t *leadershipTransfer) repeat(follower member.ID) {
	t.requestSent = false
	t.proceed(follower)
}

// tick ends a transfer whose target did not take over within ElectionTimeout.
func (t *leadershipTransfer) tick() {
	if t.inProgress() && t.now >= t.startedAt+t.cfg.ElectionTimeout {
		t.target = ""
	}
}
