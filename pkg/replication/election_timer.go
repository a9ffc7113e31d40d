package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// electionTimer determines when a voter campaigns. The safety of elections does not depend on
// it.
type electionTimer struct {
	// leaderContact is when this member last heard from the leader.
	leaderContact time.Duration
	// waitFrom is when the wait for a leader began.
	waitFrom time.Duration
	// lostLeader is the leader that this member last heard from, or empty if this member has
	// campaigned or led since. It is skipped in the ranks of the voters.
	lostLeader member.ID
	// suspected are the members that are assumed to be down. They are skipped in the ranks of
	// the voters.
	suspected []member.ID
	// candidateBehind is true if a member campaigns whose log lacks entries of this member's
	// log, so that it can't get this member's vote. This is known since candidateBehindSince.
	candidateBehind      bool
	candidateBehindSince time.Duration
}

// restart restarts the wait for a leader.
func (t *electionTimer) restart(now time.Duration) {
	t.waitFrom = now
}

// heardLeader records a message of the leader and restarts the wait for a leader.
func (t *electionTimer) heardLeader(leader member.ID, now time.Duration) {
	t.leaderContact = now
	t.restart(now)
	t.lostLeader = leader
}

// observeCandidateBehind records that a candidate campaigns that can't win.
func (t *electionTimer) observeCandidateBehind(now time.Duration) {
	if !t.candidateBehind {
		t.candidateBehind = true
		t.candidateBehindSince = now
	}
}

// rankOf returns how many voters precede the member in slot order, without the lost leader
// and the suspected members.
func (t *electionTimer) rankOf(id member.ID, voters []member.ID) int {
	rank := 0
	for _, earlier := range voters {
		if earlier == id {
			break
		}
		if earlier == t.lostLeader || slices.Contains(t.suspected, earlier) {
			continue
		}
		rank++
	}
	return rank
}
