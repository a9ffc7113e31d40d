package replication

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// electionTimer is what decides when a voter campaigns. It has no bearing on
// safety.
type electionTimer struct {
	// leaderContact is when the leader was last heard.
	leaderContact time.Duration
	// waitFrom is when the wait for a leader began.
	waitFrom time.Duration
	// lostLeader is the leader that is missed; it gets no turn.
	lostLeader member.ID
	// suspected are the members that are thought to be down; they get no turn.
	suspected []member.ID
	// candidateBehind tells that a member campaigns whose log lacks entries of this one, so
	// that it gets no vote here. It is known since candidateBehindSince.
	candidateBehind      bool
	candidateBehindSince time.Duration
}

// restart begins the wait for a leader.
func (t *electionTimer) restart(now time.Duration) {
	t.waitFrom = now
}

// heardLeader begins the wait for the leader anew.
func (t *electionTimer) heardLeader(leader member.ID, now time.Duration) {
	t.leaderContact = now
	t.restart(now)
	t.lostLeader = leader
}

// observeCandidateBehind notes that a member campaigns that can't win.
func (t *electionTimer) observeCandidateBehind(now time.Duration) {
	if !t.candidateBehind {
		t.candidateBehind = true
		t.candidateBehindSince = now
	}
}

// rankOf returns how many live voters come before the member in the agreed order.
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
