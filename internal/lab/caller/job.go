package caller

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Job is one request that a caller is to send.
type Job struct {
	// At is when to send it, since the load began.
	At time.Duration
	// Tenant and Key say who sends it; Secret proves it. All are empty for the
	// public.
	Tenant string
	Key    string
	Secret string
	// Service is the back end service that the host leads to.
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
	// Deadline is the longest time that the caller waits; zero for no bound.
	Deadline time.Duration
	// LeaveAfter is when the caller goes away without an answer; zero if it
	// stays.
	LeaveAfter time.Duration
	// RetriesAfterRefusal is set if the caller repeats a refused request under a new
	// identity once Retry-After has passed.
	RetriesAfterRefusal bool
}

// Load is a source of jobs in the order of their time.
type Load interface {
	// Next returns the next job, or false at the end.
	Next() (Job, bool)
}
