package rollout

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
)

// ReplicaReport is what a replica reported of itself.
type ReplicaReport struct {
	Address string
	// Instance names the incarnation that answered, as the list does; empty if the
	// replica does not tell it.
	Instance string
	// Incarnation numbers it, where replicas do that; else 0.
	Incarnation uint64
	// WeightVersion is empty while other weights are being loaded.
	WeightVersion string
	// Busy means that a command is under way.
	Busy bool
	// Sequence counts the commands that the incarnation took; 0 if unknown.
	Sequence uint64
	// ActiveRequests counts requests that run or wait on the replica.
	ActiveRequests int
	// Age is how old the numbers may have been when the replica was asked. It is
	// part of MeasuredAt.
	Age time.Duration
	// MeasuredAt is when the replica took the numbers, which may be well
	// before they arrived.
	MeasuredAt time.Duration
}

// ReportRequest asks for a replica's report.
type ReportRequest struct {
	Address string
	// Instance is the incarnation that is meant; empty if the list names none.
	Instance string
}

const (
	// reportInterval is the time between two reports of a replica that is waited for.
	reportInterval = 300 * time.Millisecond
	// maxReportBackoff bounds the pause after reports that did not come.
	maxReportBackoff = 5 * time.Second
	// reportTimeout is how long a request for a report waits for its response.
	reportTimeout = 4 * time.Second
	// reportFreshness is how old a report may be to show that a replica runs now.
	reportFreshness = 3 * time.Second
)

// reportRequest is the state of this node's requests for the report of one replica.
type reportRequest struct {
	inFlight    bool
	sentAt      time.Duration
	nextAttempt time.Duration
	failures    int
}

// requestReport asks a replica for its report, unless a request is in flight or the last
// one was a moment ago. One that does not respond is asked less and less often.
func (m *Machine) requestReport(address, instance string) {
	request := m.requests[address]
	if request == nil {
		request = &reportRequest{}
		m.requests[address] = request
	}
	if request.inFlight && m.now-request.sentAt < reportTimeout || m.now < request.nextAttempt {
		return
	}
	request.inFlight = true
	request.sentAt = m.now
	m.output.Reports = append(m.output.Reports, ReportRequest{Address: address, Instance: instance})
}

// requestReportNow asks a replica without the usual pause if it responded last time, since
// only a report from now on shows what the leader waits for.
func (m *Machine) requestReportNow(address, instance string) {
	if request := m.requests[address]; request != nil && request.failures == 0 {
		request.inFlight = false
		request.nextAttempt = m.now
	}
	m.requestReport(address, instance)
}

// SetReport takes what a replica reported of itself.
func (m *Machine) SetReport(now time.Duration, report ReplicaReport) {
	m.now = now
	m.recordReport(report)
	if request := m.requests[report.Address]; request != nil {
		request.inFlight = false
		request.failures = 0
		request.nextAttempt = request.sentAt + reportInterval
	}
	m.wake()
}

// recordReport keeps the newest report of a replica.
func (m *Machine) recordReport(report ReplicaReport) {
	if known, found := m.reports[report.Address]; found && known.MeasuredAt > report.MeasuredAt {
		return
	}
	m.reports[report.Address] = report
}

// ReportFailed reports that a replica gave no report.
func (m *Machine) ReportFailed(now time.Duration, address string) {
	m.now = now
	if request := m.requests[address]; request != nil {
		request.inFlight = false
		request.nextAttempt = now + backoff(reportInterval, request.failures, maxReportBackoff)
		request.failures++
	}
}

// ForgetAbsent drops the reports of replicas that left the platform's list.
func (m *Machine) ForgetAbsent(replicas []listing.Replica) {
	present := map[string]struct{}{}
	for _, replica := range replicas {
		present[replica.Address] = struct{}{}
	}
	for address := range m.requests {
		if _, found := present[address]; !found {
			delete(m.requests, address)
			delete(m.reports, address)
		}
	}
}

// reportIsFresh reports whether a replica answered lately.
func (m *Machine) reportIsFresh(address string) bool {
	report, known := m.reports[address]
	return known && m.now-report.MeasuredAt < reportFreshness
}

// reportSince returns a replica's report if it was measured after an instant, in
// the incarnation that the list names.
func (m *Machine) reportSince(address, instance string, since time.Duration) (ReplicaReport, bool) {
	report, known := m.reports[address]
	if !known || report.MeasuredAt < since {
		return ReplicaReport{}, false
	}
	if instance != "" && report.Instance != "" && report.Instance != instance {
		return ReplicaReport{}, false
	}
	return report, true
}

// unresponsive reports whether a replica has left reports unanswered lately.
func (m *Machine) unresponsive(address string) bool {
	const fewFailures = 2
	request := m.requests[address]
	return request != nil && request.failures >= fewFailures
}
