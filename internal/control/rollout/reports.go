package rollout

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/listing"
)

// ReplicaReport is a replica's report of its state.
type ReplicaReport struct {
	Address string
	// Instance identifies the incarnation that answered, by the name that the platform's
	// list uses; empty if the replica does not report it.
	Instance string
	// Incarnation is the number of the incarnation; 0 if the replica does not report it.
	Incarnation uint64
	// WeightVersion is the version that the replica runs; empty while it loads another
	// one.
	WeightVersion string
	// Busy means that the replica executes a command.
	Busy bool
	// Sequence counts the commands that the incarnation has accepted; 0 if unknown.
	Sequence uint64
	// ActiveRequests counts the running and queued requests on the replica.
	ActiveRequests int
	// Age is how old the values may have been when the request was sent. MeasuredAt
	// already accounts for it.
	Age time.Duration
	// MeasuredAt is when the replica measured the values, which may be well before the
	// report arrived.
	MeasuredAt time.Duration
}

// ReportRequest is a request for a replica's report.
type ReportRequest struct {
	Address string
	// Instance is the incarnation that the request is for; empty if the platform's list
	// names none.
	Instance string
}

const (
	// reportInterval is the least time between two requests for reports of a replica.
	reportInterval = 300 * time.Millisecond
	// maxReportBackoff bounds the pause after failed requests for reports.
	maxReportBackoff = 5 * time.Second
	// reportTimeout is the time limit for the response to a request for a report.
	reportTimeout = 4 * time.Second
	// reportFreshness is the age up to which a report shows that a replica is running.
	reportFreshness = 3 * time.Second
	// unresponsiveFailures is the number of consecutive failed requests for reports from
	// which on a replica counts as unresponsive.
	unresponsiveFailures = 2
)

// reportRequest is the state of this node's requests for reports of one replica.
type reportRequest struct {
	inFlight    bool
	sentAt      time.Duration
	nextAttempt time.Duration
	failures    int
}

// replicaReports owns the newest report of each replica and this node's requests for
// reports.
type replicaReports struct {
	newest   map[string]ReplicaReport
	requests map[string]*reportRequest
	// due contains the requests to send.
	due []ReportRequest
}

func newReplicaReports() *replicaReports {
	return &replicaReports{newest: map[string]ReplicaReport{}, requests: map[string]*reportRequest{}}
}

// request requests a replica's report, unless a request is in flight that has not timed out,
// or the pause after the last one has not ended. The pause doubles with each consecutive
// failure.
func (r *replicaReports) request(now time.Duration, replica listing.Replica) {
	request := r.requests[replica.Address]
	if request == nil {
		request = &reportRequest{}
		r.requests[replica.Address] = request
	}
	if request.inFlight && now-request.sentAt < reportTimeout || now < request.nextAttempt {
		return
	}
	request.inFlight = true
	request.sentAt = now
	r.due = append(r.due, ReportRequest{Address: replica.Address, Instance: replica.Instance})
}

// requestNow requests a replica's report without a pause, even if a request is in flight, if
// the last request did not fail: the leader waits for a report that is measured from now on.
func (r *replicaReports) requestNow(now time.Duration, replica listing.Replica) {
	if request := r.requests[replica.Address]; request != nil && request.failures == 0 {
		request.inFlight = false
		request.nextAttempt = now
	}
	r.request(now, replica)
}

// receive handles the response to a request for a report.
func (r *replicaReports) receive(report ReplicaReport) {
	r.record(report)
	if request := r.requests[report.Address]; request != nil {
		request.inFlight = false
		request.failures = 0
		request.nextAttempt = request.sentAt + reportInterval
	}
}

// record stores a report unless a later one is known.
func (r *replicaReports) record(report ReplicaReport) {
	if known, found := r.newest[report.Address]; found && known.MeasuredAt > report.MeasuredAt {
		return
	}
	r.newest[report.Address] = report
}

// fail records that a request for a replica's report failed.
func (r *replicaReports) fail(now time.Duration, address string) {
	if request := r.requests[address]; request != nil {
		request.inFlight = false
		request.nextAttempt = now + backoff(reportInterval, request.failures, maxReportBackoff)
		request.failures++
	}
}

// forgetAbsent drops the reports of replicas that left the platform's list.
func (r *replicaReports) forgetAbsent(replicas []listing.Replica) {
	present := map[string]struct{}{}
	for _, replica := range replicas {
		present[replica.Address] = struct{}{}
	}
	for address := range r.requests {
		if _, found := present[address]; !found {
			delete(r.requests, address)
			delete(r.newest, address)
		}
	}
}

// fresh returns a replica's newest report; false if there is none that is younger than
// reportFreshness.
func (r *replicaReports) fresh(now time.Duration, address string) (ReplicaReport, bool) {
	report, known := r.newest[address]
	return report, known && now-report.MeasuredAt < reportFreshness
}

// since returns a replica's newest report; false if there is none, or if it was measured
// before the given time or by another incarnation than the platform's list names.
func (r *replicaReports) since(replica listing.Replica, since time.Duration) (ReplicaReport, bool) {
	report, known := r.newest[replica.Address]
	if !known || report.MeasuredAt < since {
		return ReplicaReport{}, false
	}
	if replica.Instance != "" && report.Instance != "" && report.Instance != replica.Instance {
		return ReplicaReport{}, false
	}
	return report, true
}

// unresponsive reports whether the last unresponsiveFailures requests for a replica's reports
// have failed.
func (r *replicaReports) unresponsive(address string) bool {
	request := r.requests[address]
	return request != nil && request.failures >= unresponsiveFailures
}

// takeDue returns and removes the requests to send.
func (r *replicaReports) takeDue() []ReportRequest {
	due := r.due
	r.due = nil
	return due
}
