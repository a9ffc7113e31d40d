package reports

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// stableFor is how long the membership must stay the same before a node that has
	// started acts on it.
	stableFor = 200 * time.Millisecond
	// maxStabilizationWait bounds the wait.
	maxStabilizationWait = 5 * time.Second
)

// stabilizationWait waits until a node that has started knows the live nodes. Before, it
// sees itself as the only node, or as one of a few, and would do the work of others too.
type stabilizationWait struct {
	started   bool
	startedAt time.Duration
	changedAt time.Duration
	peers     []member.ID
	done      bool
}

// stable reports, given the live nodes at each call, whether the membership is stable.
// Once it is, it stays so.
func (s *stabilizationWait) stable(now time.Duration, peers []member.Info) bool {
	if s.done {
		return true
	}
	ids := lo.Map(peers, func(peer member.Info, _ int) member.ID { return peer.ID })
	if !s.started {
		s.started = true
		s.startedAt, s.changedAt = now, now
	}
	if !slices.Equal(ids, s.peers) {
		s.changedAt = now
		s.peers = ids
	}
	alone := len(peers) <= 1
	s.done = now-s.startedAt >= maxStabilizationWait || (!alone && now-s.changedAt >= stableFor)
	return s.done
}
