package outlier

import "time"

const (
	// tellEvery is how often the others are told of good outcomes at a replica
	// that has failed lately. Failures are told at once.
	tellEvery = 500 * time.Millisecond
	// leastTold is the weight of good outcomes from which on they are told.
	leastTold = 0.1
	// mostTold bounds what one report counts.
	mostTold = 256
	// vouchers is how many other nodes must have told of failures of a replica
	// where this one has seen none: one node alone may be cut off.
	vouchers = 2
)

// Report tells other nodes of outcomes at a replica that they do not know.
type Report struct {
	Address string
	// Failures is the weight of the failures, and Total that of all outcomes.
	Failures, Total float64
}

// tellers remembers which nodes told of failures last.
type tellers [vouchers]teller

type teller struct {
	node string
	at   time.Duration
}

// note enters that a node told of a failure.
func (t *tellers) note(now time.Duration, node string) {
	oldest := 0
	for at := range t {
		if t[at].node == node {
			t[at].at = now
			return
		}
		if t[at].at < t[oldest].at || t[at].node == "" {
			oldest = at
		}
	}
	t[oldest] = teller{node: node, at: now}
}

// vouched tells whether the failures of a replica were seen by this node, or by
// enough others.
func (r *replica) vouched(now time.Duration, options *Options) bool {
	recent := now - 2*options.HalfLife
	if r.failed && r.failedAt >= recent {
		return true
	}
	for _, told := range r.tellers {
		if told.node == "" || told.at < recent {
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
	for _, known := range d.replicas {
		if known.worthTelling(now) {
			known.untold.fade(now, d.options.HalfLife)
			reports = append(reports, Report{
				Address: known.member.Address, Failures: known.untold.failures, Total: known.untold.total,
			})
			known.untold = tally{updatedAt: now}
			known.toldAt = now
		}
	}
	return reports
}

// worthTelling tells whether others have a use for this node's outcomes: after a
// failure at once, and for some time more so that they know the good ones too.
func (r *replica) worthTelling(now time.Duration) bool {
	if r.untold.failures > 0 {
		return true
	}
	if r.ejection.ejected {
		return r.untold.total > leastTold
	}
	return r.untold.total > leastTold && now < r.watchedUntil && now-r.toldAt >= tellEvery
}

// Told takes in what another node reports, which stands in the same zone if it is
// near.
func (d *Detector) Told(now time.Duration, node string, near bool, report Report) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.replicas[report.Address]
	sound := report.Failures >= 0 && report.Failures <= report.Total && report.Total <= mostTold
	if known == nil || !sound {
		return
	}
	if report.Failures > 0 {
		known.tellers.note(now, node)
	}
	d.count(now, known, near, report.Failures, report.Total)
}
