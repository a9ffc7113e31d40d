package reports

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// stableFor is how long the membership must stay the same before a node that has just
	// started uses it.
	stableFor = 200 * time.Millisecond
	// maxStabilizationWait is the longest time that a node waits for a stable membership.
	maxStabilizationWait = 5 * time.Second
)

// stabilizationWait determines when a node that has just started knows the live nodes.
// Until then the node knows only itself or a few others, and would also read the back ends
// that are assigned to the nodes that it does not know.
type stabilizationWait struct {
	started   bool
	startedAt time.Duration
	changedAt time.Duration
	peers     []member.ID
	done      bool
}

// stable reports whether the membership is stable: it includes another node and has stayed
// the same for stableFor, or maxStabilizationWait has passed. peers are the live nodes at the
// time of the call. Once stable has returned true, it always does.
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
