package dataplane

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// settleFor is how long the live nodes stay the same until a node that has
	// started believes that it knows them.
	settleFor = 200 * time.Millisecond
	// longestSettling ends that wait in any case.
	longestSettling = 5 * time.Second
)

// settling waits until a node that has started knows the live nodes. Before, it
// takes itself for the only one, or for one of a few, and would do the work of the
// others too.
type settling struct {
	begun     bool
	startedAt time.Duration
	changedAt time.Duration
	peers     []member.ID
	over      bool
}

// settled tells, given the live nodes of each look, whether the node knows them.
// Once it does that stays so.
func (s *settling) settled(now time.Duration, peers []member.Info) bool {
	if s.over {
		return true
	}
	ids := lo.Map(peers, func(peer member.Info, _ int) member.ID { return peer.ID })
	if !s.begun {
		s.begun = true
		s.startedAt, s.changedAt = now, now
	}
	if !slices.Equal(ids, s.peers) {
		s.changedAt = now
		s.peers = ids
	}
	alone := len(peers) <= 1
	s.over = now-s.startedAt >= longestSettling || (!alone && now-s.changedAt >= settleFor)
	return s.over
}
