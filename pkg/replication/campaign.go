package replication

import (
	"slices"
	"time"
)

// campaign is the attempt of a candidate to be elected, in one phase: the pre-vote or
// the vote.
type campaign struct {
	// term is the one that votes are requested for.
	term uint64
	// preVote tells that the campaign raises no term: it asks whether one that
	// does could be won.
	preVote bool
	// transfer tells that the leader asked for the campaign.
	transfer    bool
	granted     grants
	rejected    grants
	requestedAt time.Duration
}

// startRound begins another round of requests.
func (c *campaign) startRound(self Voter, now time.Duration) {
	c.requestedAt = now
	c.rejected = nil
	if c.preVote {
		// What was granted before may be untrue by now, as a voter may hear a
		// leader again. The vote of a term can't be taken back.
		c.granted = grants{self}
	}
}

// won tells whether a majority of the group has granted.
func (c *campaign) won(group slots) bool {
	return len(c.granted) >= group.quorum()
}

// reject records a rejection. It is true if the campaign is lost: too few voters are
// left that could grant. A pre-vote goes on, as its rejections pass when the voters
// miss the leader too.
func (c *campaign) reject(from Voter, group slots) (lost bool) {
	if c.preVote || slices.Contains(c.granted, from) {
		return false
	}
	c.rejected = c.rejected.with(from)
	return len(c.rejected) > len(group.voters())-group.quorum()
}
