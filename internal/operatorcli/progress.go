package operatorcli

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// checkRevisions reports whether all nodes that responded serve the same revision. The result
// is unknown unless all live members were queried.
func (s *statusSummary) checkRevisions() check {
	if !s.allNodes {
		return check{"revisions", resultUnknown, fmt.Sprintf("%d on %s; --all asks every node", s.status.GetServedRevision(), s.status.GetNode())}
	}
	byRevision := make(map[uint64][]string)
	for _, response := range s.responses {
		if response.err == nil {
			revision := response.status.GetServedRevision()
			byRevision[revision] = append(byRevision[revision], response.member.GetNode())
		}
	}
	revisions := lo.Keys(byRevision)
	slices.Sort(revisions)
	slices.Reverse(revisions)
	switch len(revisions) {
	case 0:
		return check{"revisions", resultUnknown, "no node answered"}
	case 1:
		nodes := byRevision[revisions[0]]
		return check{"revisions", resultOK, fmt.Sprintf("%d on all %d that answered", revisions[0], len(nodes))}
	}
	var groups []string
	for _, revision := range revisions {
		groups = append(groups, fmt.Sprintf("%d on %s", revision, joinNames(byRevision[revision])))
	}
	return check{"revisions", resultAttention, strings.Join(shortened(groups), "; ")}
}

// checkRollOuts reports the pools in which some replicas do not serve the pool's weight
// version.
func (s *statusSummary) checkRollOuts() check {
	const name = "roll-outs"
	if s.weightsError != nil {
		return check{name, resultUnknown, s.weightsError.Error()}
	}
	var underWay []string
	for _, pool := range s.weights {
		if progress := rollOutProgress(pool); progress != "" {
			underWay = append(underWay, progress)
		}
	}
	if len(underWay) == 0 {
		return check{name, resultOK, fmt.Sprintf("none under way in %d pools", len(s.weights))}
	}
	return check{name, resultUnderWay, strings.Join(shortened(underWay), "; ")}
}

// rollOutProgress returns the progress of a pool's roll-out, or "" if every replica serves the
// pool's weight version. Replicas that the platform is about to stop are not counted.
func rollOutProgress(pool *ridgeswitchv1.WeightsStatus) string {
	staying := lo.Reject(pool.GetReplicas(), func(replica *ridgeswitchv1.ReplicaStatus, _ int) bool {
		return replica.GetPlatformDraining()
	})
	updated := lo.CountBy(staying, func(replica *ridgeswitchv1.ReplicaStatus) bool {
		return replica.GetPhase() == phaseServing && replica.GetWeightVersion() == pool.GetWeightVersion()
	})
	if updated == len(staying) {
		return ""
	}
	progress := fmt.Sprintf("%s: %d of %d serve %s", pool.GetPool(), updated, len(staying), pool.GetWeightVersion())
	for _, phase := range []string{phaseDraining, phaseLoading, phaseUnknown} {
		count := lo.CountBy(staying, func(replica *ridgeswitchv1.ReplicaStatus) bool { return replica.GetPhase() == phase })
		if count > 0 {
			progress += fmt.Sprintf(", %d %s", count, phase)
		}
	}
	return progress
}
