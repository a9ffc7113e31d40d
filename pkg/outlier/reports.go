package outlier

import "time"

const (
	// reportInterval is the time between two reports of successes at a replica that has
	// failed lately. Failures are reported at once.
	reportInterval = 500 * time.Millisecond
	// minReportWeight is the weight of successes below which none are reported.
	minReportWeight = 0.1
	// maxReportWeight bounds the weight of one report.
	maxReportWeight = 256
	// requiredReporters is how many other nodes must have reported failures of a replica
	// at which this node has observed none: a single node may be partitioned.
	requiredReporters = 2
)

// Report contains outcomes at a replica, for other nodes.
type Report struct {
	Address string
	// Failures is the weight of the failures, and Total that of all outcomes.
	Failures, Total float64
}

// reporterLog records which nodes reported failures most recently.
type reporterLog [requiredReporters]reporter

type reporter struct {
	node       string
	reportedAt time.Duration
}

// record records that a node has reported a failure.
func (l *reporterLog) record(now time.Duration, node string) {
	oldest := 0
	for i := range l {
		if l[i].node == node {
			l[i].reportedAt = now
			return
		}
		if l[i].reportedAt < l[oldest].reportedAt || l[i].node == "" {
			oldest = i
		}
	}
	l[oldest] = reporter{node: node, reportedAt: now}
}

// confirmed reports whether the failures of a replica were observed by this node, or by
// enough others.
func (r *replica) confirmed(now time.Duration, options *Options) bool {
	recent := now - 2*options.HalfLife
	if r.failed && r.failedAt >= recent {
		return true
	}
	for _, other := range r.reporters {
		if other.node == "" || other.reportedAt < recent {
			return false
		}
	}
	return true
}

// TakeReports returns the reports that are due, and marks them as sent.
func (d *Detector) TakeReports(now time.Duration) []Report {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var reports []Report
	for _, target := range d.replicas {
		if target.shouldReport(now) {
			target.unreported.decay(now, d.options.HalfLife)
			reports = append(reports, Report{
				Address: target.member.Address, Failures: target.unreported.failures, Total: target.unreported.total,
			})
			target.unreported = tally{updatedAt: now}
			target.reportedAt = now
		}
	}
	return reports
}

// shouldReport reports whether this node's outcomes are due to be reported: at once after a
// failure or while the replica is ejected, and at intervals for some time after a failure,
// so that other nodes receive the successes too.
func (r *replica) shouldReport(now time.Duration) bool {
	if r.unreported.failures > 0 {
		return true
	}
	if r.ejection.ejected {
		return r.unreported.total > minReportWeight
	}
	return r.unreported.total > minReportWeight && now < r.reportingUntil && now-r.reportedAt >= reportInterval
}

// ApplyReport counts the outcomes that another node reports; sameZone is set if that node is
// in this node's zone. An invalid report, or one of an unknown replica, is ignored.
func (d *Detector) ApplyReport(now time.Duration, node string, sameZone bool, report Report) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	target := d.replicas[report.Address]
	valid := report.Failures >= 0 && report.Failures <= report.Total && report.Total <= maxReportWeight
	if target == nil || !valid {
		return
	}
	if report.Failures > 0 {
		target.reporters.record(now, node)
	}
	d.count(now, target, sameZone, report.Failures, report.Total)
}
