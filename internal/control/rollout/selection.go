package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

// candidate is a replica that is to be updated.
type candidate struct {
	poolReplica
	// deadline is that of the oldest named version that the replica has not reached.
	deadline time.Duration
}

// selectForUpdate returns the replicas to take out of service now: all overdue replicas, and
// as many of the others as the pace allows.
func (p *poolRollout) selectForUpdate(moved map[string]struct{}) []poolReplica {
	candidates := p.candidates(moved)
	zones := p.countZones()
	var selected []poolReplica
	pending := slices.DeleteFunc(candidates, func(next candidate) bool {
		if !p.pace.overdue(p.now, next.deadline) {
			return false
		}
		selected = append(selected, next.poolReplica)
		zones[next.Zone].takeOut()
		return true
	})
	return append(selected, p.selectPending(pending, zones, len(selected))...)
}

// candidates returns the replicas that are to be updated, except those in moved, whose rows
// change already.
func (p *poolRollout) candidates(moved map[string]struct{}) []candidate {
	var candidates []candidate
	for _, replica := range p.replicas {
		if _, done := moved[replica.Address]; !done && p.commandableSoon(replica) && p.needsUpdate(replica) {
			candidates = append(candidates, candidate{poolReplica: replica, deadline: p.deadlineOf(replica)})
		}
	}
	return candidates
}

// commandableSoon reports whether this node is entitled to command a replica by the time that
// the replica is out of service. A replica that is taken out earlier would only be idle. The
// check applies only to replicas that need not be drained.
func (p *poolRollout) commandableSoon(replica poolReplica) bool {
	waits := p.config.ReplicasFinishFirst && p.state.commandedBefore(replica.Address, p.config)
	return !waits || p.now+confirmationTimeout >= p.state.commandGapEnd(p.config)
}

// deadlineOf returns the deadline of the oldest named version that a replica has not reached.
// A version that is named later does not extend that deadline.
func (p *poolRollout) deadlineOf(replica poolReplica) time.Duration {
	running := RunningVersion(replica.row, replica.Replica)
	since, found := p.state.ages.firstUnreached(p.pool.GetName(), running, p.named)
	if !found {
		since = p.pace.targetSince
	}
	return since + p.pace.duration
}

// selectPending returns as many replicas as the pace allows in addition to the taken ones that
// are already selected. It prefers replicas of evacuated zones, then those with the earliest
// deadline, then those in zones with the fewest replicas out of service, then those with the
// fewest requests. The last serving replica of a zone that is not evacuated stays in service
// while other replicas of the zone are out of service.
func (p *poolRollout) selectPending(pending []candidate, zones map[string]*zoneCount, taken int) []poolReplica {
	free := p.rolloutCapacity(pending, taken)
	var selected []poolReplica
	for free > 0 && len(pending) > 0 {
		slices.SortStableFunc(pending, func(a, b candidate) int {
			return cmp.Or(
				compareEvacuated(p.evacuated, a.Zone, b.Zone),
				cmp.Compare(a.deadline, b.deadline),
				cmp.Compare(zones[a.Zone].out, zones[b.Zone].out),
				cmp.Compare(p.reports.newest[a.Address].ActiveRequests, p.reports.newest[b.Address].ActiveRequests),
			)
		})
		next := pending[0]
		pending = pending[1:]
		zone := zones[next.Zone]
		if !p.evacuated.Has(next.Zone) && zone.serving <= 1 && zone.serving+zone.out > 1 {
			continue
		}
		zone.takeOut()
		free--
		selected = append(selected, next.poolReplica)
	}
	return selected
}

// compareEvacuated orders evacuated zones first, since their replicas get no requests.
func compareEvacuated(evacuated shardstate.ZoneSet, a, b string) int {
	switch {
	case evacuated.Has(a) == evacuated.Has(b):
		return 0
	case evacuated.Has(a):
		return -1
	default:
		return 1
	}
}

// zoneCount counts the replicas of a pool in a zone that serve and that are out of service.
type zoneCount struct {
	serving, out int
}

// takeOut counts a serving replica as out of service.
func (z *zoneCount) takeOut() {
	z.serving--
	z.out++
}

func (p *poolRollout) countZones() map[string]*zoneCount {
	zones := map[string]*zoneCount{}
	for _, replica := range p.replicas {
		zone := zones[replica.Zone]
		if zone == nil {
			zone = &zoneCount{}
			zones[replica.Zone] = zone
		}
		switch {
		case replica.outOfService():
			zone.out++
		case !replica.Draining:
			zone.serving++
		}
	}
	return zones
}

// rolloutCapacity returns how many replicas may be taken out of service in addition to the
// taken ones that are already selected, so that all are updated by their deadlines. Replicas
// that are out of service and do not respond do not count, since they would serve no requests
// anyway.
func (p *poolRollout) rolloutCapacity(pending []candidate, taken int) int {
	out := taken
	for _, replica := range p.replicas {
		if replica.outOfService() && !p.seemsUnavailable(replica) {
			out++
		}
	}
	// Replicas that are out of service have done half of their update on average.
	left := (out + 1) / 2
	allowed := 0
	byDeadline := slices.SortedFunc(slices.Values(pending), func(a, b candidate) int { return cmp.Compare(a.deadline, b.deadline) })
	for position, next := range byDeadline {
		left++
		isLast := position == len(byDeadline)-1 || byDeadline[position+1].deadline > next.deadline
		if isLast {
			allowed = max(allowed, p.pace.allowed(p.now, next.deadline, left, len(p.replicas)))
		}
	}
	return allowed - out
}

// seemsUnavailable reports whether a replica has not responded for so long that it counts as
// unavailable, so that taking it out of service costs no capacity. A leader that has just
// begun to request reports does not know that of any replica.
func (p *poolRollout) seemsUnavailable(replica poolReplica) bool {
	if replica.WeightVersion != "" {
		return p.reports.unresponsive(replica.Address)
	}
	leading := p.now - p.state.since
	_, fresh := p.reports.fresh(p.now, replica.Address)
	return leading >= reportFreshness && !fresh
}
