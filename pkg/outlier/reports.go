package outlier

import "time"

const (
	// reportInterval is how often the others are told of good outcomes at a replica
	// that has failed lately. Failures are told at once.
	reportInterval = 500 * time.Millisecond
	// minReportWeight is the weight of good outcomes from which on they are told.
	minReportWeight = 0.1
	// maxReportWeight bounds what one report counts.
	maxReportWeight = 256
	// requiredReporters is how many other nodes must have told of failures of a replica
	// where this one has seen none: one node alone may be cut off.
	requiredReporters = 2
)

// Report tells other nodes of outcomes at a replica that they do not know.
type Report struct {
	Address string
	// Failures is the weight of the failures, and Total that of all outcomes.
	Failures, Total float64
}

// reporterLog remembers which nodes told of failures last.
type reporterLog [requiredReporters]reporter

type reporter struct {
	node       string
	reportedAt time.Duration
}

// record enters that a node told of a failure.
func (t *reporterLog) record(now time.Duration, node string) {
	oldest := 0
	for i := range t {
		if t[i].node == node {
			t[i].reportedAt = now
			return
		}
		if t[i].reportedAt < t[oldest].reportedAt || t[i].node == "" {
			oldest = i
		}
	}
	t[oldest] = reporter{node: node, reportedAt: now}
}

// confirmed tells whether the failures of a replica were seen by this node, or by
// enough others.
func (r *replica) confirmed(now time.Duration, options *Options) bool {
	recent := now - 2*options.HalfLife
	if r.failed && r.failedAt >= recent {
		return true
	}
	for _, report := range r.reporters {
		if report.node == "" || report.reportedAt < recent {
			return false
		}
	}
	return true
}

// TakeReports returns what the other nodes are to be told now.
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

// shouldReport tells whether others have a use for this node's outcomes: after a
// failure at once, and for some time more so that they know the good ones too.
func (r *replica) shouldReport(now time.Duration) bool {
	if r.unreported.failures > 0 {
		return true
	}
	if r.ejection.ejected {
		return r.unreported.total > minReportWeight
	}
	return r.unreported.total > minReportWeight && now < r.watchedUntil && now-r.reportedAt >= reportInterval
}

// ApplyReport takes in what another node reports, which stands in the same zone if it is
// near.
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
