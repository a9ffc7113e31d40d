package caller

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Job describes one request that a caller is to send.
type Job struct {
	// At is the time to send the request, counted from the start of the load.
	At time.Duration
	// Tenant and Key name the sender and its key; Secret is the key's secret. All are
	// empty for a public caller.
	Tenant string
	Key    string
	Secret string
	// Service is the back end service to which Host is routed.
	Service string
	// WebService is set if the service is a plain HTTP service.
	WebService   bool
	Method       string
	Host         string
	Path         string
	Model        string
	Chunks       []prefixindex.Chunk
	OutputTokens uint32
	Repeatable   bool
	Streamed     bool
	// Deadline is the longest wait for the response that the request states in its
	// header; zero states none.
	Deadline time.Duration
	// DisconnectAfter is the time after which the caller disconnects if the exchange has not
	// ended; zero means never.
	DisconnectAfter time.Duration
	// RetriesAfterRefusal is set if the caller retries a refused request with a new
	// request ID once Retry-After has passed.
	RetriesAfterRefusal bool
}

// Load is a source of jobs, ordered by Job.At.
type Load interface {
	// Next returns the next job, or false at the end.
	Next() (Job, bool)
}
