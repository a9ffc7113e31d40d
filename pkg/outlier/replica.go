package outlier

import "time"

// replica is what a Detector knows of one replica.
type replica struct {
	member Member
	// pools are those that the replica belongs to, usually one.
	pools []*pool
	// local counts the outcomes that this node has observed, zone those that its zone has,
	// and fleet those that all zones have. recentZone counts the same outcomes as zone, but
	// only since enableReporting began to report all outcomes at the replica.
	local, zone, fleet, recentZone tally
	// unreported counts this node's outcomes that were not reported to other nodes, and
	// reportedAt is when the last ones were.
	unreported tally
	reportedAt time.Duration
	// reportingUntil is until when, after a failure, successes are reported too.
	reportingUntil time.Duration
	// failed is set once this node itself has observed a failure, and failedAt is when it
	// observed the last one.
	failed   bool
	failedAt time.Duration
	// reporters are the other nodes that reported failures most recently.
	reporters reporterLog
	suspicion suspicion
	ejection  ejection
}

// enableReporting starts, or extends, the reporting of all outcomes at a replica. Earlier
// outcomes are not reported: they would outweigh the failures.
func (r *replica) enableReporting(now time.Duration, options *Options) {
	if now >= r.reportingUntil {
		r.unreported, r.recentZone = tally{updatedAt: now}, tally{updatedAt: now}
		r.reportedAt = now - reportInterval
	}
	r.reportingUntil = now + 2*options.HalfLife
}
