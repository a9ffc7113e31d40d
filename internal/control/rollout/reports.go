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
	// Age is how old the numbers may have been when the replica was asked. MeasuredAt
	// allows for it already.
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
	// unresponsiveFailures is how many requests in a row without a report show that a replica
	// does not respond.
	unresponsiveFailures = 2
)

// reportRequest is the state of this node's requests for the report of one replica.
type reportRequest struct {
	inFlight    bool
	sentAt      time.Duration
	nextAttempt time.Duration
	failures    int
}

// replicaReports owns the newest report of each replica and this node's requests for the
// next.
type replicaReports struct {
	newest   map[string]ReplicaReport
	requests map[string]*reportRequest
	// due are the requests to send.
	due []ReportRequest
}

func newReplicaReports() *replicaReports {
	return &replicaReports{newest: map[string]ReplicaReport{}, requests: map[string]*reportRequest{}}
}

// request asks a replica for its report, unless a request is in flight or the last one was
// a moment ago. One that does not respond is asked less and less often.
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

// requestNow asks a replica without the usual pause if it responded last time, since only a
// report from now on shows what the leader waits for.
func (r *replicaReports) requestNow(now time.Duration, replica listing.Replica) {
	if request := r.requests[replica.Address]; request != nil && request.failures == 0 {
		request.inFlight = false
		request.nextAttempt = now
	}
	r.request(now, replica)
}

// receive takes what a replica reported of itself.
func (r *replicaReports) receive(report ReplicaReport) {
	r.record(report)
	if request := r.requests[report.Address]; request != nil {
		request.inFlight = false
		request.failures = 0
		request.nextAttempt = request.sentAt + reportInterval
	}
}

// record keeps the newest report of a replica.
func (r *replicaReports) record(report ReplicaReport) {
	if known, found := r.newest[report.Address]; found && known.MeasuredAt > report.MeasuredAt {
		return
	}
	r.newest[report.Address] = report
}

// fail records that a replica gave no report.
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

// fresh returns a replica's report if the replica answered lately.
func (r *replicaReports) fresh(now time.Duration, address string) (ReplicaReport, bool) {
	report, known := r.newest[address]
	return report, known && now-report.MeasuredAt < reportFreshness
}

// since returns a replica's report if it was measured after an instant, in the incarnation
// that the list names.
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

// unresponsive reports whether a replica has left reports unanswered lately.
func (r *replicaReports) unresponsive(address string) bool {
	request := r.requests[address]
	return request != nil && request.failures >= unresponsiveFailures
}

// takeDue returns the requests to send and starts anew.
func (r *replicaReports) takeDue() []ReportRequest {
	due := r.due
	r.due = nil
	return due
}
