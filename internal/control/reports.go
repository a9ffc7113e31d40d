package control

import "time"

// ReportRequest asks for a replica's report.
type ReportRequest struct {
	Address string
	// Instance is the incarnation that is meant; empty if the list names none.
	Instance string
}

const (
	// reportEvery is the time between two reports of a replica that is waited for.
	reportEvery = 300 * time.Millisecond
	// mostReportPause bounds the pause after reports that did not come.
	mostReportPause = 5 * time.Second
	// reportLost is when a report that was asked for is given up.
	reportLost = 4 * time.Second
	// reportFreshness is how old a report may be to tell that a replica runs
	// now.
	reportFreshness = 3 * time.Second
	// mostDoublings bounds how often a pause doubles.
	mostDoublings = 8
)

// reportAsk is where this node stands with asking one replica.
type reportAsk struct {
	asking   bool
	askedAt  time.Duration
	next     time.Duration
	failures int
}

// growingPause doubles with each failure.
func growingPause(first time.Duration, failures int, most time.Duration) time.Duration {
	return min(first<<min(failures, mostDoublings), most)
}

// askReport asks a replica for its report, unless that is under way or was done
// just now. One that does not answer is asked less and less often.
func (m *Machine) askReport(address, instance string) {
	ask := m.backends.asks[address]
	if ask == nil {
		ask = &reportAsk{}
		m.backends.asks[address] = ask
	}
	if ask.asking && m.now-ask.askedAt < reportLost || m.now < ask.next {
		return
	}
	ask.asking = true
	ask.askedAt = m.now
	m.output.Reports = append(m.output.Reports, ReportRequest{Address: address, Instance: instance})
}

// askReportNow asks a replica that answered last time without the usual pause, since
// only a report from now on tells what is waited for.
func (m *Machine) askReportNow(address, instance string) {
	if ask := m.backends.asks[address]; ask != nil && ask.failures == 0 {
		ask.asking = false
		ask.next = m.now
	}
	m.askReport(address, instance)
}

// SetReplicaReport takes what a replica said of itself.
func (m *Machine) SetReplicaReport(now time.Duration, report ReplicaReport) Output {
	m.now = now
	m.takeReport(report)
	if ask := m.backends.asks[report.Address]; ask != nil {
		ask.asking = false
		ask.failures = 0
		ask.next = ask.askedAt + reportEvery
	}
	m.rollOutSoon()
	return m.take()
}

// takeReport keeps the newest report of a replica.
func (m *Machine) takeReport(report ReplicaReport) {
	if known, found := m.backends.reports[report.Address]; found && known.MeasuredAt > report.MeasuredAt {
		return
	}
	m.backends.reports[report.Address] = report
}

// ReplicaReportFailed tells that a replica gave no report.
func (m *Machine) ReplicaReportFailed(now time.Duration, address string) Output {
	m.now = now
	if ask := m.backends.asks[address]; ask != nil {
		ask.asking = false
		ask.next = now + growingPause(reportEvery, ask.failures, mostReportPause)
		ask.failures++
	}
	return m.take()
}

// reportIsFresh tells whether a replica answered lately.
func (m *Machine) reportIsFresh(address string) bool {
	report, known := m.backends.reports[address]
	return known && m.now-report.MeasuredAt < reportFreshness
}

// reportSince returns a replica's report if it was measured after an instant, in
// the incarnation that the list names.
func (m *Machine) reportSince(address, instance string, since time.Duration) (ReplicaReport, bool) {
	report, known := m.backends.reports[address]
	if !known || report.MeasuredAt < since {
		return ReplicaReport{}, false
	}
	if instance != "" && report.Instance != "" && report.Instance != instance {
		return ReplicaReport{}, false
	}
	return report, true
}

// answersNot tells whether a replica has left reports unanswered lately.
func (m *Machine) answersNot(address string) bool {
	const fewFailures = 2
	ask := m.backends.asks[address]
	return ask != nil && ask.failures >= fewFailures
}
