package control

import (
	"cmp"
	"slices"
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
)

const (
	// rolloutInterval is how often the leader of a shard looks for its next moves.
	rolloutInterval = 100 * time.Millisecond
	// rowRetention is for how long a row tells the version of a replica whose
	// version the list shows. The list has caught up by then.
	rowRetention = 10 * time.Second
)

// rolloutState is what the leader of a service shard remembers of its roll-outs.
// It may be lost: a new leader repeats a command under its own term.
type rolloutState struct {
	// term is the term of leadership that the rest belongs to, and since is
	// when this node first acted in it.
	term  uint64
	since time.Duration
	// progress is what goes on at each replica that a row keeps requests from.
	progress map[string]*replicaProgress
	// confirmedSince is when the row of each serving replica was first seen.
	confirmedSince map[string]time.Duration
	// paces belong to the pools.
	paces     map[string]*rolloutPace
	nextPrune time.Duration
}

func newRolloutState(term uint64, since time.Duration) rolloutState {
	return rolloutState{
		term:           term,
		since:          since,
		progress:       map[string]*replicaProgress{},
		confirmedSince: map[string]time.Duration{},
		paces:          map[string]*rolloutPace{},
	}
}

// scheduleRollout has the next moves looked for at the next tick, if any replica is being
// moved: something that one may wait for has come.
func (m *Machine) scheduleRollout() {
	for _, hosted := range m.shards {
		if len(hosted.rollout.progress) > 0 {
			m.nextRollout = m.now
			return
		}
	}
}

// tickRollouts lets each shard that this node leads make its next moves.
func (m *Machine) tickRollouts() {
	if m.now < m.nextRollout {
		return
	}
	m.nextRollout = m.now + rolloutInterval
	for _, id := range m.shardIDs {
		hosted := m.shards[id]
		if hosted == nil || !hosted.isLeader() {
			continue
		}
		if term := hosted.group.Status().Term; term != hosted.rollout.term {
			hosted.rollout = newRolloutState(term, m.now)
		}
		if m.now >= hosted.rollout.nextPrune {
			hosted.rollout.nextPrune = m.now + m.config.Times.RetryEvery
			m.forgetEndedIncarnations(hosted)
		}
		if service, ok := hosted.state.(*shardstate.Service); ok {
			m.rollOutShard(hosted, service)
		}
	}
}

// rollOutShard moves the replicas of the pools whose service hashes to a shard
// towards the version that the configuration names. It decides only from a state
// in which everything in the log has been applied, so that no change is made from
// rows that another change is about to replace.
func (m *Machine) rollOutShard(hosted *shard, service *shardstate.Service) {
	if !m.backends.endpointsKnown || !hosted.allApplied() {
		return
	}
	change := &controlpb.SetReplicas{}
	endpoints := map[string]listing.Replica{}
	for _, pool := range m.received.Configuration().GetPools() {
		if shardstate.ShardOfService(pool.GetService(), m.config.ServiceShards) != hosted.id {
			continue
		}
		for _, replica := range m.backends.services[pool.GetService()] {
			endpoints[replica.Address] = replica
		}
		m.rollOutPool(hosted, service, pool, change)
	}
	hosted.rollout.pruneProgress(service.Replicas())
	change.Removed = m.obsoleteRows(hosted, service, endpoints)
	if len(change.Replicas) == 0 && len(change.Removed) == 0 {
		return
	}
	command := &controlpb.Command{Command: &controlpb.Command_SetReplicas{SetReplicas: change}}
	m.proposeCommand(hosted, command)
}

// obsoleteRows lists the rows that say nothing any more: of replicas that left the
// list or came back as another incarnation, and those that the list has caught up
// with.
func (m *Machine) obsoleteRows(hosted *shard, service *shardstate.Service, endpoints map[string]listing.Replica) []string {
	var obsolete []string
	for _, row := range service.Replicas() {
		replica, found := endpoints[row.GetAddress()]
		if !found || !sameInstance(row, replica) || m.caughtUp(hosted, row, replica) {
			obsolete = append(obsolete, row.GetAddress())
		}
	}
	return obsolete
}

// caughtUp tells whether the list knows as much as a row by now.
func (m *Machine) caughtUp(hosted *shard, row *controlpb.ReplicaState, endpoint listing.Replica) bool {
	address := row.GetAddress()
	if endpoint.WeightVersion == "" || row.GetPhase() != controlpb.ReplicaPhase_SERVING {
		delete(hosted.rollout.confirmedSince, address)
		return false
	}
	since, seen := hosted.rollout.confirmedSince[address]
	if !seen {
		hosted.rollout.confirmedSince[address] = m.now
		return false
	}
	if m.now-since < rowRetention {
		return false
	}
	delete(hosted.rollout.confirmedSince, address)
	return true
}

// poolRollout is one look at the replicas of a pool.
type poolRollout struct {
	hosted *shard
	pool   *ridgeswitchv1.Pool
	pace   *rolloutPace
	// replicas are those that the list does not show draining, with their rows.
	replicas []poolReplica
}

// poolReplica is a listed replica with its row, if it has one.
type poolReplica struct {
	listing.Replica
	row *controlpb.ReplicaState
}

// outOfService tells whether a row keeps requests from the replica.
func (r poolReplica) outOfService() bool { return outOfServiceByRollout(r.row, r.Replica) }

func (r poolRollout) target() string { return r.pool.GetWeightVersion() }

// rollOutPool gathers the changes of one pool's replicas.
func (m *Machine) rollOutPool(hosted *shard, service *shardstate.Service, pool *ridgeswitchv1.Pool, change *controlpb.SetReplicas) {
	rolling := poolRollout{hosted: hosted, pool: pool, pace: hosted.rollout.paceFor(pool, m.now, m.config)}
	for _, replica := range m.backends.services[pool.GetService()] {
		row := shardstate.FindReplica(service.Replicas(), replica.Address)
		if row != nil && !sameInstance(row, replica) {
			// The row goes first.
			continue
		}
		rolling.replicas = append(rolling.replicas, poolReplica{Replica: replica, row: row})
	}
	moved := map[string]struct{}{}
	for _, replica := range rolling.replicas {
		if next := m.nextRow(rolling, replica); next != nil {
			change.Replicas = append(change.Replicas, next)
			moved[replica.Address] = struct{}{}
		}
	}
	for _, replica := range m.selectForUpdate(rolling, moved) {
		change.Replicas = append(change.Replicas, m.beginUpdate(rolling, replica))
	}
}

// nextRow returns the row that a replica moves to without anybody's choice, or nil
// if it stays.
func (m *Machine) nextRow(rolling poolRollout, replica poolReplica) *controlpb.ReplicaState {
	switch {
	case replica.row == nil:
		return m.firstRow(rolling, replica)
	case replica.row.GetPhase() == controlpb.ReplicaPhase_DRAINING:
		return m.advanceDraining(rolling, replica)
	case replica.row.GetPhase() == controlpb.ReplicaPhase_LOADING:
		return m.advanceLoading(rolling, replica)
	default:
		return m.checkServing(rolling, replica)
	}
}

// selectForUpdate returns the replicas to take out of service now: as many as the pace
// allows, from the zones that miss the fewest, the least busy first.
func (m *Machine) selectForUpdate(rolling poolRollout, moved map[string]struct{}) []poolReplica {
	evacuated := evacuatedZones(m.received.Configuration())
	candidates := slices.DeleteFunc(slices.Clone(rolling.replicas), func(replica poolReplica) bool {
		_, done := moved[replica.Address]
		return done || !m.needsUpdate(rolling, replica)
	})
	zones := m.countZones(rolling)
	free := m.rolloutCapacity(rolling, len(candidates))
	var selected []poolReplica
	for free > 0 && len(candidates) > 0 {
		slices.SortStableFunc(candidates, func(a, b poolReplica) int {
			return cmp.Or(
				compareEvacuated(evacuated, a.Zone, b.Zone),
				cmp.Compare(zones[a.Zone].out, zones[b.Zone].out),
				cmp.Compare(m.backends.reports[a.Address].ActiveRequests, m.backends.reports[b.Address].ActiveRequests),
			)
		})
		next := candidates[0]
		candidates = candidates[1:]
		zone := zones[next.Zone]
		if !evacuated.has(next.Zone) && zone.serving <= 1 && zone.serving+zone.out > 1 && !rolling.pace.overdue(m.now) {
			continue
		}
		zone.serving--
		zone.out++
		free--
		selected = append(selected, next)
	}
	return selected
}

// compareEvacuated orders what serves nobody first.
func compareEvacuated(evacuated zoneSet, a, b string) int {
	switch {
	case evacuated.has(a) == evacuated.has(b):
		return 0
	case evacuated.has(a):
		return -1
	default:
		return 1
	}
}

// zoneCount is how many replicas of a pool serve in a zone, and how many are out.
type zoneCount struct {
	serving, out int
}

func (m *Machine) countZones(rolling poolRollout) map[string]*zoneCount {
	zones := map[string]*zoneCount{}
	for _, replica := range rolling.replicas {
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

// rolloutCapacity is how many more replicas may be taken out of service. Those that
// do not answer count for nothing: they serve nobody.
func (m *Machine) rolloutCapacity(rolling poolRollout, candidates int) int {
	out := 0
	for _, replica := range rolling.replicas {
		if replica.outOfService() && !m.seemsUnavailable(rolling, replica) {
			out++
		}
	}
	// Those that are out are half through on average.
	left := candidates + (out+1)/2
	return rolling.pace.allowed(m.now, left, len(rolling.replicas)) - out
}

// seemsUnavailable tells whether a replica has not answered for long enough that
// taking it out of service costs nothing. A leader that has only begun to ask
// knows of none.
func (m *Machine) seemsUnavailable(rolling poolRollout, replica poolReplica) bool {
	if replica.WeightVersion != "" {
		return m.unresponsive(replica.Address)
	}
	asked := m.now - rolling.hosted.rollout.since
	return asked >= reportFreshness && !m.reportIsFresh(replica.Address)
}
