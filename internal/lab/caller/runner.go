package caller

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
)

// Bounds of the load.
const (
	// maxInFlight bounds the requests that run at once.
	maxInFlight = 1024
	// maxDials bounds the nodes that one request tries to connect to.
	maxDials = 3
	// maxRetries bounds the retries of a refused request.
	maxRetries = 2
	// maxRetryWait bounds the wait before each.
	maxRetryWait = 5 * time.Second
)

// Runner sends the jobs of a load and records them. Records and Skipped may be called
// while Do runs; Do runs once.
type Runner struct {
	// Run names the run in the identities of its requests.
	Run      string
	Balancer *Balancer
	// Now is the clock of the records.
	Now Elapsed

	client *http.Client
	// lock guards records and skipped.
	lock    sync.Mutex
	records []checker.Request
	skipped int
}

// Do sends every job at its time and returns when all have ended. Jobs due
// after the context's end are left out.
func (runner *Runner) Do(ctx context.Context, load Load) {
	runner.client = newClient()
	started := time.Now()
	slots := make(chan struct{}, maxInFlight)
	var running sync.WaitGroup
	for number := 0; ; number++ {
		job, more := load.Next()
		if !more || !pause.For(ctx, time.Until(started.Add(job.At))) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			runner.skip()
			continue
		}
		running.Go(func() {
			defer func() { <-slots }()
			runner.sendWithRetries(ctx, fmt.Sprintf("%s-%d", runner.Run, number), job)
		})
	}
	running.Wait()
}

// sendWithRetries sends one job, and again under new identities while it is refused and
// its caller comes back.
func (runner *Runner) sendWithRetries(ctx context.Context, id string, job Job) {
	record := runner.send(ctx, id, "", job)
	for number := 1; number <= maxRetries && shouldRetry(job, record); number++ {
		wait := min(max(record.RetryAfter, time.Millisecond), maxRetryWait)
		if !pause.For(ctx, wait) {
			return
		}
		record = runner.send(ctx, fmt.Sprintf("%s-again-%d", id, number), record.ID, job)
	}
}

// shouldRetry reports whether a caller repeats a request: only one that has not run,
// and only when the response named a time to retry.
func shouldRetry(job Job, record checker.Request) bool {
	refused := record.Result == checker.ResultRefused && record.Claim == checker.ClaimNotRun
	return job.RetriesAfterRefusal && refused && record.RetryAfter > 0
}

// send makes one request of a job.
func (runner *Runner) send(ctx context.Context, id, follows string, job Job) checker.Request {
	if job.LeaveAfter > 0 {
		left, cancel := context.WithTimeout(ctx, job.LeaveAfter)
		defer cancel()
		ctx = left
	}
	record := checker.Request{
		ID: id, Tenant: job.Tenant, Key: job.Key, Service: job.Service,
		Repeatable: job.Repeatable, Streamed: job.Streamed, Sent: runner.Now(), Follows: follows,
	}
	call := &exchange{client: runner.client, now: runner.Now, job: job, record: &record}
	runner.dispatch(ctx, call)
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.records = append(runner.records, record)
	return record
}

// dispatch takes nodes from the balancer until one accepts the connection.
func (runner *Runner) dispatch(ctx context.Context, call *exchange) {
	for range maxDials {
		target, ready := runner.Balancer.Next()
		if !ready {
			call.record.Ended = runner.Now()
			call.record.Result = checker.ResultLost
			call.record.ErrorKind = "no_ready_node"
			return
		}
		call.record.ErrorKind = ""
		if call.do(ctx, target) {
			return
		}
	}
}

func (runner *Runner) skip() {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.skipped++
}

// Records returns what has been recorded so far.
func (runner *Runner) Records() []checker.Request {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	return append([]checker.Request(nil), runner.records...)
}

// Skipped counts the jobs that were left out because too many requests ran.
func (runner *Runner) Skipped() int {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	return runner.skipped
}
