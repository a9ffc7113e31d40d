package rollout

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// firstRow makes the row of a replica whose version the list does not show, from
// its own report: it is admitted with what it runs, and moved on like all others,
// so that a version named before the first admission does not keep the whole pool
// out of service. Others need no row until they are moved.
func (m *Machine) firstRow(rolling poolRollout, replica poolReplica) *controlpb.ReplicaState {
	if replica.WeightVersion != "" {
		return nil
	}
	m.requestReport(replica.Address, replica.Instance)
	report, known := m.reports[replica.Address]
	if !known || report.WeightVersion == "" || !m.reportIsFresh(replica.Address) {
		return nil
	}
	return rowOf(rolling, replica, controlpb.ReplicaPhase_SERVING, report.WeightVersion, report)
}

// checkServing watches a serving replica whose version the list does not show. One
// that reports another version than it confirmed is drained at once.
func (m *Machine) checkServing(replica poolReplica) *controlpb.ReplicaState {
	if replica.WeightVersion != "" {
		return nil
	}
	m.requestReport(replica.Address, replica.Instance)
	report, known := m.reports[replica.Address]
	versionChanged := known && m.reportIsFresh(replica.Address) && report.WeightVersion != replica.row.GetWeightVersion()
	if !versionChanged {
		return nil
	}
	return withPhase(replica.row, controlpb.ReplicaPhase_DRAINING, replica.row.GetWeightVersion())
}

// needsUpdate reports whether a serving replica is to load the named version: it runs an
// older one and answers. Its report also keeps it from a command in vain.
func (m *Machine) needsUpdate(rolling poolRollout, replica poolReplica) bool {
	running := RunningVersion(replica.row, replica.Replica)
	if replica.outOfService() || replica.Draining || running == "" || VersionReached(running, rolling.target()) {
		return false
	}
	if replica.WeightVersion == "" {
		// It is asked all the time.
		return m.reportIsFresh(replica.Address)
	}
	if _, known := m.reportSince(replica.Address, replica.Instance, rolling.pace.since); !known {
		m.requestReport(replica.Address, replica.Instance)
		return false
	}
	return true
}

// beginUpdate begins to move a replica. One that has the version already, which the
// list does not show yet, is admitted with it instead.
func (m *Machine) beginUpdate(rolling poolRollout, replica poolReplica) *controlpb.ReplicaState {
	report := m.reports[replica.Address]
	switch {
	case VersionReached(report.WeightVersion, rolling.target()):
		return rowOf(rolling, replica, controlpb.ReplicaPhase_SERVING, report.WeightVersion, report)
	case m.config.ReplicasFinishFirst:
		return rowOf(rolling, replica, controlpb.ReplicaPhase_LOADING, rolling.target(), report)
	default:
		return rowOf(rolling, replica, controlpb.ReplicaPhase_DRAINING, RunningVersion(replica.row, replica.Replica), report)
	}
}

// advanceDraining moves the replica on to load the new version once no node can send it a
// request or has one left on it, and a report measured after that shows none.
func (m *Machine) advanceDraining(rolling poolRollout, replica poolReplica) *controlpb.ReplicaState {
	m.requestReport(replica.Address, replica.Instance)
	progress := rolling.state.progressOf(replica.row, m.now)
	if !rolling.shard.DrainedEverywhere(replica.row.GetPhaseRevision()) {
		progress.drained = false
		return nil
	}
	if !progress.drained {
		progress.drained = true
		progress.drainedSince = m.now
		m.requestReportNow(replica.Address, replica.Instance)
		return nil
	}
	report, known := m.reports[replica.Address]
	if !known || report.MeasuredAt < progress.drainedSince || report.ActiveRequests > 0 {
		return nil
	}
	if VersionReached(report.WeightVersion, rolling.target()) {
		return rowOf(rolling, replica, controlpb.ReplicaPhase_SERVING, report.WeightVersion, report)
	}
	return withPhase(replica.row, controlpb.ReplicaPhase_LOADING, rolling.target())
}

// advanceLoading admits the replica once it confirms the version, and otherwise
// orders it to load. A newer named version replaces an unfinished one.
func (m *Machine) advanceLoading(rolling poolRollout, replica poolReplica) *controlpb.ReplicaState {
	progress := rolling.state.progressOf(replica.row, m.now)
	if !m.config.ReplicasFinishFirst {
		m.requestReport(replica.Address, replica.Instance)
	}
	report, known := m.reportSince(replica.Address, replica.Instance, rolling.state.since)
	if known && m.reportIsFresh(replica.Address) && VersionReached(report.WeightVersion, rolling.target()) {
		rolling.pace.measure(progress.outOfService, m.now-progress.since, m.now-max(progress.since, progress.sentAt))
		return rowOf(rolling, replica, controlpb.ReplicaPhase_SERVING, report.WeightVersion, report)
	}
	if rolling.target() != "" && VersionReached(replica.WeightVersion, rolling.target()) {
		return rowOf(rolling, replica, controlpb.ReplicaPhase_SERVING, replica.WeightVersion, report)
	}
	if replica.row.GetWeightVersion() != rolling.target() && rolling.target() != "" {
		return withPhase(replica.row, controlpb.ReplicaPhase_LOADING, rolling.target())
	}
	if progress.fenced {
		// A greater number is needed, which the revision of a new row gives.
		return withPhase(replica.row, controlpb.ReplicaPhase_LOADING, replica.row.GetWeightVersion())
	}
	m.commandReplica(rolling, replica, progress)
	return nil
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
		Instance:      row.GetInstance(),
	}
}

// rowOf makes the row of a replica from what it reported.
func rowOf(rolling poolRollout, replica poolReplica, phase controlpb.ReplicaPhase, version string, report ReplicaReport) *controlpb.ReplicaState {
	return &controlpb.ReplicaState{
		Address:       replica.Address,
		Service:       rolling.pool.GetService(),
		Zone:          replica.Zone,
		Phase:         phase,
		WeightVersion: version,
		Incarnation:   report.Incarnation,
		Instance:      replica.Instance,
	}
}
