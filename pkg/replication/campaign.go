package replication

import (
	"slices"
	"time"
)

// campaign is one phase of a candidate's attempt to be elected: the pre-vote or the vote.
type campaign struct {
	// term is the term that votes are requested for.
	term uint64
	// preVote marks a pre-vote, which raises no term: it asks whether a campaign that raises
	// the term could be won.
	preVote bool
	// transfer is true if the leader asked for the campaign.
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
		// Earlier grants of a pre-vote may be out of date, as a voter may have heard from a
		// leader again. The vote of a term can't be withdrawn.
		c.granted = grants{self}
	}
}

// won reports whether a majority of the group has granted.
func (c *campaign) won(group slots) bool {
	return len(c.granted) >= group.quorum()
}

// reject records a rejection. It returns true if the campaign is lost because too few voters
// are left that could grant. A pre-vote is never lost by rejections, as the voters may grant
// it once they miss the leader too.
func (c *campaign) reject(from Voter, group slots) (lost bool) {
	if c.preVote || slices.Contains(c.granted, from) {
		return false
	}
	c.rejected = c.rejected.with(from)
	return len(c.rejected) > len(group.voters())-group.quorum()
}
