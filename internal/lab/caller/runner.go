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
	// maxInFlight bounds the number of jobs in progress.
	maxInFlight = 1024
	// maxDials bounds the number of connection attempts of one request.
	maxDials = 3
	// maxRetries bounds the retries of a refused request.
	maxRetries = 2
	// maxRetryWait bounds the wait before each retry.
	maxRetryWait = 5 * time.Second
)

// Runner sends the jobs of a load and records their requests. Do may be called only once;
// Records and Skipped may be called while it runs.
type Runner struct {
	// Run identifies the run; it is the prefix of the IDs of its requests.
	Run      string
	Balancer *Balancer
	// Now is the clock that the times of the records are taken from.
	Now Elapsed

	client *http.Client
	// lock guards records and skipped.
	lock    sync.Mutex
	records []checker.Request
	skipped int
}

// Do sends every job at its time and returns when all have ended. It skips a job that is
// due while maxInFlight jobs are in progress, and sends no more jobs once the context has
// ended.
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

// sendWithRetries sends one job, and retries it with a new request ID while shouldRetry
// holds, up to maxRetries times.
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

// shouldRetry reports whether the caller retries a request: only if it was refused as not
// run, and the response had a Retry-After header.
func shouldRetry(job Job, record checker.Request) bool {
	refused := record.Result == checker.ResultRefused && record.Claim == checker.ClaimNotRun
	return job.RetriesAfterRefusal && refused && record.RetryAfter > 0
}

// send sends one request of a job and records it.
func (runner *Runner) send(ctx context.Context, id, follows string, job Job) checker.Request {
	if job.DisconnectAfter > 0 {
		left, cancel := context.WithTimeout(ctx, job.DisconnectAfter)
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

// dispatch sends the request to the first node from the balancer that accepts a connection,
// with up to maxDials attempts.
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

// Records returns the records of all requests that have ended so far.
func (runner *Runner) Records() []checker.Request {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	return append([]checker.Request(nil), runner.records...)
}

// Skipped returns the number of jobs that were not sent because maxInFlight jobs were in
// progress.
func (runner *Runner) Skipped() int {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	return runner.skipped
}
