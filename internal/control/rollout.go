package control

import (
	"cmp"
	"slices"
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

const (
	// rolloutTarget is the time in which a roll-out is to reach every replica.
	rolloutTarget = 12 * time.Second
	// replicaRolloutTime is the time that one replica is taken to need: to
	// finish its requests, load the weights and report them.
	replicaRolloutTime = 5 * time.Second
	// commandWindow is how long after the decision a command may be sent.
	commandWindow = 200 * time.Millisecond
	// commandEvery is how often a replica that has not confirmed is ordered
	// again.
	commandEvery = time.Second
	// reportFreshness is how old a report may be to tell that a replica runs
	// now.
	reportFreshness = 3 * time.Second
	// rolloutEvery is how often the owner of a shard looks for its next moves.
	rolloutEvery = 100 * time.Millisecond
)

// rolloutState is what the owner of a service shard remembers of its commands.
// It may be lost: a new owner repeats a command under its own epoch.
type rolloutState struct {
	// epoch is the epoch of ownership that the rest belongs to, and since is
	// when this node first acted in it.
	epoch uint64
	since time.Duration
	// drainedSince is when each draining replica was first known to get no
	// more requests.
	drainedSince map[string]time.Duration
	// nextCommand is when each loading replica is ordered again.
	nextCommand map[string]time.Duration
	nextForget  time.Duration
}

func newRolloutState(epoch uint64, since time.Duration) rolloutState {
	return rolloutState{
		epoch:        epoch,
		since:        since,
		drainedSince: map[string]time.Duration{},
		nextCommand:  map[string]time.Duration{},
	}
}

// tickRollouts lets each shard that this node owns make its next moves.
func (m *Machine) tickRollouts() {
	if m.now < m.nextRollout {
		return
	}
	m.nextRollout = m.now + rolloutEvery
	m.backends.watched = m.replicasToWatch()
	for _, id := range m.shardIDs {
		hosted := m.shards[id]
		if hosted == nil || !hosted.owned() {
			continue
		}
		if epoch := hosted.group.Status().Epoch; epoch != hosted.rollout.epoch {
			hosted.rollout = newRolloutState(epoch, m.now)
		}
		if m.now >= hosted.rollout.nextForget {
			hosted.rollout.nextForget = m.now + m.config.Times.RetryEvery
			m.forgetEndedLives(hosted)
		}
		if service, ok := hosted.state.(*serviceShard); ok {
			m.rollOutShard(hosted, service)
		}
	}
}

// rollOutShard moves the replicas of the pools whose service hashes to a shard
// towards the version that the configuration names. It decides only from a state
// in which everything in the log has been applied, so that no change is made from
// rows that another change is about to replace.
func (m *Machine) rollOutShard(hosted *shard, service *serviceShard) {
	if !m.backends.listed || !hosted.settled() {
		return
	}
	change := &controlpb.SetReplicas{}
	listed := map[string]struct{}{}
	for _, pool := range m.held.configuration.GetPools() {
		if ShardOfService(pool.GetService(), m.config.ServiceShards) != hosted.id {
			continue
		}
		for _, replica := range m.backends.services[pool.GetService()] {
			listed[replica.Address] = struct{}{}
		}
		m.rollOutPool(hosted, service, pool, change)
	}
	for _, row := range service.replicas() {
		if _, found := listed[row.GetAddress()]; !found {
			change.Removed = append(change.Removed, row.GetAddress())
		}
	}
	if len(change.Replicas) == 0 && len(change.Removed) == 0 {
		return
	}
	command := &controlpb.Command{Command: &controlpb.Command_SetReplicas{SetReplicas: change}}
	m.proposeCommand(hosted, command)
}

// rollOutPool gathers the changes of one pool's replicas.
func (m *Machine) rollOutPool(hosted *shard, service *serviceShard, pool *ridgeswitchv1.Pool, change *controlpb.SetReplicas) {
	replicas := m.leastBusyFirst(m.backends.services[pool.GetService()])
	free := m.freeForRollout(hosted, service, replicas)
	for _, replica := range replicas {
		row := findReplica(service.replicas(), replica.Address)
		next := m.nextRow(hosted, pool, replica, row, &free)
		if next != nil {
			change.Replicas = append(change.Replicas, next)
		}
	}
}

// leastBusyFirst orders replicas by the requests that they reported, so that
// those which drain soonest go first.
func (m *Machine) leastBusyFirst(replicas []ListedReplica) []ListedReplica {
	ordered := slices.Clone(replicas)
	slices.SortStableFunc(ordered, func(a, b ListedReplica) int {
		return cmp.Compare(m.backends.reports[a.Address].ActiveRequests, m.backends.reports[b.Address].ActiveRequests)
	})
	return ordered
}

// freeForRollout is how many more replicas may be taken out of service: so many
// at once that the roll-out ends in time, and never more than half.
func (m *Machine) freeForRollout(hosted *shard, service *serviceShard, replicas []ListedReplica) int {
	wanted := (len(replicas)*int(replicaRolloutTime) + int(rolloutTarget) - 1) / int(rolloutTarget)
	allowed := max(1, min(wanted, len(replicas)/2))
	for _, replica := range replicas {
		row := findReplica(service.replicas(), replica.Address)
		if row == nil || row.GetPhase() == controlpb.ReplicaPhase_SERVING {
			continue
		}
		if !m.seemsDown(hosted, replica.Address) {
			allowed--
		}
	}
	return allowed
}

// seemsDown tells whether a replica has not answered for long enough that
// taking it out of service costs nothing. An owner that has only begun to ask
// knows of none.
func (m *Machine) seemsDown(hosted *shard, address string) bool {
	asked := m.now - hosted.rollout.since
	return asked >= reportFreshness && !m.reportIsFresh(address)
}

// nextRow returns the row that a replica moves to, or nil if it stays.
func (m *Machine) nextRow(hosted *shard, pool *ridgeswitchv1.Pool, replica ListedReplica, row *controlpb.ReplicaState, free *int) *controlpb.ReplicaState {
	target := pool.GetWeightVersion()
	report, known := m.backends.reports[replica.Address]
	if row == nil {
		return m.firstRow(pool, replica, report, known)
	}
	switch row.GetPhase() {
	case controlpb.ReplicaPhase_SERVING:
		return m.leaveServing(row, target, report, known, free)
	case controlpb.ReplicaPhase_DRAINING:
		return m.leaveDraining(hosted, row, target, report, known)
	default:
		return m.leaveLoading(hosted, row, target, report, known)
	}
}

// firstRow admits a replica with the version that it runs; the roll-out then
// moves it on like all others, so that a version named before the first
// admission does not keep the whole pool out of service.
func (m *Machine) firstRow(pool *ridgeswitchv1.Pool, replica ListedReplica, report ReplicaReport, known bool) *controlpb.ReplicaState {
	if !known || report.WeightVersion == "" || !m.reportIsFresh(replica.Address) {
		return nil
	}
	return &controlpb.ReplicaState{
		Address:       replica.Address,
		Service:       pool.GetService(),
		Zone:          replica.Zone,
		Phase:         controlpb.ReplicaPhase_SERVING,
		WeightVersion: report.WeightVersion,
		Incarnation:   report.Incarnation,
	}
}

// leaveServing starts the drain of a replica with an outdated version. A replica
// that reports another version than it confirmed is drained at once.
func (m *Machine) leaveServing(row *controlpb.ReplicaState, target string, report ReplicaReport, known bool, free *int) *controlpb.ReplicaState {
	changedBehind := known && report.WeightVersion != row.GetWeightVersion()
	if row.GetWeightVersion() == target && !changedBehind {
		return nil
	}
	if !m.reportIsFresh(row.GetAddress()) {
		// It is down, or this owner has not heard of it yet.
		return nil
	}
	if !changedBehind && *free <= 0 {
		return nil
	}
	*free--
	return withPhase(row, controlpb.ReplicaPhase_DRAINING, row.GetWeightVersion())
}

// leaveDraining orders the new version once no node can send, or has left, a
// request on the replica, and the replica itself says so after that.
func (m *Machine) leaveDraining(hosted *shard, row *controlpb.ReplicaState, target string, report ReplicaReport, known bool) *controlpb.ReplicaState {
	if !m.drainedEverywhere(hosted, row.GetPhaseRevision()) {
		delete(hosted.rollout.drainedSince, row.GetAddress())
		return nil
	}
	drainedSince, seen := hosted.rollout.drainedSince[row.GetAddress()]
	if !seen {
		hosted.rollout.drainedSince[row.GetAddress()] = m.now
		return nil
	}
	if !known || report.MeasuredAt <= drainedSince || report.ActiveRequests > 0 {
		return nil
	}
	delete(hosted.rollout.drainedSince, row.GetAddress())
	if report.WeightVersion == target {
		return servingRow(row, report)
	}
	return withPhase(row, controlpb.ReplicaPhase_LOADING, target)
}

// leaveLoading admits the replica once it confirms the version, and otherwise
// orders it again. A newer named version replaces an unfinished one.
func (m *Machine) leaveLoading(hosted *shard, row *controlpb.ReplicaState, target string, report ReplicaReport, known bool) *controlpb.ReplicaState {
	if row.GetWeightVersion() != target {
		delete(hosted.rollout.nextCommand, row.GetAddress())
		return withPhase(row, controlpb.ReplicaPhase_LOADING, target)
	}
	if known && m.reportIsFresh(row.GetAddress()) && report.WeightVersion == target {
		delete(hosted.rollout.nextCommand, row.GetAddress())
		return servingRow(row, report)
	}
	m.commandReplica(hosted, row)
	return nil
}

// commandReplica orders a replica to load its row's version, if this node's
// right to command is certain for the whole window in which the command is sent.
func (m *Machine) commandReplica(hosted *shard, row *controlpb.ReplicaState) {
	if m.now < hosted.rollout.nextCommand[row.GetAddress()] {
		return
	}
	if !hosted.group.MayCommand(m.now) || !hosted.group.MayCommand(m.now+commandWindow) {
		return
	}
	hosted.rollout.nextCommand[row.GetAddress()] = m.now + commandEvery
	m.output.Commands = append(m.output.Commands, Command{
		Address:       row.GetAddress(),
		WeightVersion: row.GetWeightVersion(),
		Epoch:         commandEpoch(hosted.group.Status().Epoch, row.GetPhaseRevision()),
		Deadline:      m.now + commandWindow,
	})
}

// commandEpoch orders all commands that a replica ever gets: first by the epoch
// of the ownership, then by the revision at which the ordered phase was entered.
// So a replica also refuses a late command of the same owner for a version that
// has been replaced since.
func commandEpoch(epoch, phaseRevision uint64) uint64 {
	const revisionBits = 32
	return epoch<<revisionBits | phaseRevision&(1<<revisionBits-1)
}

// reportIsFresh tells whether a replica answered lately.
func (m *Machine) reportIsFresh(address string) bool {
	report, known := m.backends.reports[address]
	return known && m.now-report.MeasuredAt < reportFreshness
}

// findReplica returns the row of a replica, or nil. Rows are sorted by address.
func findReplica(rows []*controlpb.ReplicaState, address string) *controlpb.ReplicaState {
	position, found := slices.BinarySearchFunc(rows, address, func(row *controlpb.ReplicaState, address string) int {
		return cmp.Compare(row.GetAddress(), address)
	})
	if !found {
		return nil
	}
	return rows[position]
}

// withPhase copies a row into another phase.
func withPhase(row *controlpb.ReplicaState, phase controlpb.ReplicaPhase, version string) *controlpb.ReplicaState {
	return &controlpb.ReplicaState{
		Address:       row.GetAddress(),
		Service:       row.GetService(),
		Zone:          row.GetZone(),
		Phase:         phase,
		WeightVersion: version,
		Incarnation:   row.GetIncarnation(),
	}
}

// servingRow copies a row into the serving phase with what the replica confirmed.
func servingRow(row *controlpb.ReplicaState, report ReplicaReport) *controlpb.ReplicaState {
	next := withPhase(row, controlpb.ReplicaPhase_SERVING, report.WeightVersion)
	next.Incarnation = report.Incarnation
	return next
}
