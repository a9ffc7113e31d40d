package rollout

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// firstRow returns the first row of a replica whose version the platform's list does not
// show, from the replica's report. The row admits the replica with the version that it runs,
// even if that is not the named one, so that a version that is named before the first
// admission does not keep the whole pool out of service. The replica is updated like any
// other later. A replica whose version the list shows needs no row before its update.
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

// checkServing requests reports of a serving replica whose version the platform's list does
// not show. It returns a DRAINING row if the replica reports another version than that of
// its row.
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

// needsUpdate reports whether a serving replica is to load the named version: it has not
// reached that version, and it has responded. Its report also shows beginUpdate whether the
// replica already has the version, so that a command would be useless.
func (p *poolRollout) needsUpdate(replica poolReplica) bool {
	running := RunningVersion(replica.row, replica.Replica)
	if replica.outOfService() || replica.Draining || running == "" || VersionReached(running, p.target()) {
		return false
	}
	if replica.WeightVersion == "" {
		// firstRow and checkServing request reports of the replica continuously.
		_, fresh := p.reports.fresh(p.now, replica.Address)
		return fresh
	}
	if _, known := p.reports.since(replica.Replica, p.pace.targetSince); !known {
		p.reports.request(p.now, replica.Replica)
		return false
	}
	return true
}

// beginUpdate returns the row that takes a replica out of service for its update. If the
// replica already runs the named version, which the list does not show yet, the row admits
// the replica with that version instead.
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

// advanceDraining returns the row in which a draining replica loads the named version, once no
// node can send requests to the replica or has a request left on it, and a report measured
// after that shows no requests. If the replica already runs the named version, the row admits
// it instead.
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

// advanceLoading returns the row that admits a loading replica once it has confirmed the
// version, and commands the replica until then. A newly named version replaces an unfinished
// one. If replicas need not be drained, it does so only until the command is sent: the
// replica is then admitted with the version that it has loaded, so that versions which are
// named in quick succession do not keep it out of service.
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
		// The command needs a greater token, which the revision of a new row provides.
		return withPhase(replica.row, controlpb.ReplicaPhase_LOADING, replica.row.GetWeightVersion())
	}
	p.commandReplica(replica, progress)
	return nil
}

// admittedFrom returns the version that a loading replica must reach to be admitted.
func (p *poolRollout) admittedFrom(replica poolReplica) string {
	if p.config.ReplicasFinishFirst {
		return replica.row.GetWeightVersion()
	}
	return p.target()
}

// loadInProgress reports whether a replica that need not be drained may be executing the command
// of its row.
func (p *poolRollout) loadInProgress(replica poolReplica, progress *replicaProgress) bool {
	commanded := progress.inFlight || progress.accepted
	return p.config.ReplicasFinishFirst && commanded && !p.readyForCommand(replica, progress)
}

// withPhase returns a copy of a row with another phase and version.
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

// rowOf returns a row of a replica with the incarnation that the replica has reported.
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
