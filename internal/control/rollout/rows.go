package rollout

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// firstRow makes the row of a replica whose version the list does not show, from
// its own report: it is admitted with what it runs, and moved on like all others,
// so that a version named before the first admission does not keep the whole pool
// out of service. Others need no row until they are moved.
func (p *poolRollout) firstRow(replica poolReplica) *controlpb.ReplicaState {
	if replica.WeightVersion != "" {
		return nil
	}
	p.reports.request(p.now, replica.Replica)
	report, fresh := p.reports.fresh(p.now, replica.Address)
	if !fresh || report.WeightVersion == "" {
		return nil
	}
	return p.rowOf(replica, controlpb.ReplicaPhase_SERVING, report.WeightVersion, report)
}

// checkServing watches a serving replica whose version the list does not show. One
// that reports another version than it confirmed is drained at once.
func (p *poolRollout) checkServing(replica poolReplica) *controlpb.ReplicaState {
	if replica.WeightVersion != "" {
		return nil
	}
	p.reports.request(p.now, replica.Replica)
	report, fresh := p.reports.fresh(p.now, replica.Address)
	if !fresh || report.WeightVersion == replica.row.GetWeightVersion() {
		return nil
	}
	return withPhase(replica.row, controlpb.ReplicaPhase_DRAINING, replica.row.GetWeightVersion())
}

// needsUpdate reports whether a serving replica is to load the named version: it runs an
// older one and answers. Its report also keeps it from a command in vain.
func (p *poolRollout) needsUpdate(replica poolReplica) bool {
	running := RunningVersion(replica.row, replica.Replica)
	if replica.outOfService() || replica.Draining || running == "" || VersionReached(running, p.target()) {
		return false
	}
	if replica.WeightVersion == "" {
		// It is asked all the time.
		_, fresh := p.reports.fresh(p.now, replica.Address)
		return fresh
	}
	if _, known := p.reports.since(replica.Replica, p.pace.targetSince); !known {
		p.reports.request(p.now, replica.Replica)
		return false
	}
	return true
}

// beginUpdate begins to move a replica. One that has the version already, which the
// list does not show yet, is admitted with it instead.
func (p *poolRollout) beginUpdate(replica poolReplica) *controlpb.ReplicaState {
	report := p.reports.newest[replica.Address]
	switch {
	case VersionReached(report.WeightVersion, p.target()):
		return p.rowOf(replica, controlpb.ReplicaPhase_SERVING, report.WeightVersion, report)
	case p.config.ReplicasFinishFirst:
		return p.rowOf(replica, controlpb.ReplicaPhase_LOADING, p.target(), report)
	default:
		return p.rowOf(replica, controlpb.ReplicaPhase_DRAINING, RunningVersion(replica.row, replica.Replica), report)
	}
}

// advanceDraining moves the replica on to load the new version once no node can send it a
// request or has one left on it, and a report measured after that shows none.
func (p *poolRollout) advanceDraining(replica poolReplica) *controlpb.ReplicaState {
	p.reports.request(p.now, replica.Replica)
	progress := p.state.progressOf(replica.row, p.now)
	if !p.shard.DrainedEverywhere(replica.row.GetPhaseRevision()) {
		progress.drained = false
		return nil
	}
	if !progress.drained {
		progress.drained = true
		progress.drainedSince = p.now
		p.reports.requestNow(p.now, replica.Replica)
		return nil
	}
	report, known := p.reports.newest[replica.Address]
	if !known || report.MeasuredAt < progress.drainedSince || report.ActiveRequests > 0 {
		return nil
	}
	if VersionReached(report.WeightVersion, p.target()) {
		return p.rowOf(replica, controlpb.ReplicaPhase_SERVING, report.WeightVersion, report)
	}
	return withPhase(replica.row, controlpb.ReplicaPhase_LOADING, p.target())
}

// advanceLoading admits the replica once it confirms the version, and otherwise
// orders it to load. A newer named version replaces an unfinished one; where replicas need
// not be drained, it does so only until the command is sent. Such a replica is admitted with
// what it has loaded, so that versions that are named in a row do not keep it out of service.
func (p *poolRollout) advanceLoading(replica poolReplica) *controlpb.ReplicaState {
	progress := p.state.progressOf(replica.row, p.now)
	if !p.config.ReplicasFinishFirst {
		p.reports.request(p.now, replica.Replica)
	}
	report, known := p.reports.since(replica.Replica, p.state.since)
	_, fresh := p.reports.fresh(p.now, replica.Address)
	if known && fresh && VersionReached(report.WeightVersion, p.admittedFrom(replica)) {
		p.pace.measure(progress.outOfService, p.now-progress.since, p.now-max(progress.since, progress.sentAt))
		return p.rowOf(replica, controlpb.ReplicaPhase_SERVING, report.WeightVersion, report)
	}
	if p.target() != "" && VersionReached(replica.WeightVersion, p.target()) {
		return p.rowOf(replica, controlpb.ReplicaPhase_SERVING, replica.WeightVersion, report)
	}
	if replica.row.GetWeightVersion() != p.target() && p.target() != "" {
		if p.loadInProgress(replica, progress) {
			return nil
		}
		return withPhase(replica.row, controlpb.ReplicaPhase_LOADING, p.target())
	}
	if progress.fenced {
		// A greater number is needed, which the revision of a new row gives.
		return withPhase(replica.row, controlpb.ReplicaPhase_LOADING, replica.row.GetWeightVersion())
	}
	p.commandReplica(replica, progress)
	return nil
}

// admittedFrom is the version from which on a loading replica is admitted.
func (p *poolRollout) admittedFrom(replica poolReplica) string {
	if p.config.ReplicasFinishFirst {
		return replica.row.GetWeightVersion()
	}
	return p.target()
}

// loadInProgress reports whether a replica that need not be drained has got the command of its
// row, and may still carry it out.
func (p *poolRollout) loadInProgress(replica poolReplica, progress *replicaProgress) bool {
	commanded := progress.inFlight || progress.accepted
	return p.config.ReplicasFinishFirst && commanded && !p.readyForCommand(replica, progress)
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
func (p *poolRollout) rowOf(replica poolReplica, phase controlpb.ReplicaPhase, version string, report ReplicaReport) *controlpb.ReplicaState {
	return &controlpb.ReplicaState{
		Address:       replica.Address,
		Service:       p.pool.GetService(),
		Zone:          replica.Zone,
		Phase:         phase,
		WeightVersion: version,
		Incarnation:   report.Incarnation,
		Instance:      replica.Instance,
	}
}
