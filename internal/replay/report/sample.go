package report

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

// Sample is one request with what became of it.
type Sample struct {
	// At is the arrival in the recorded day.
	At     time.Duration
	Tenant string
	// Destination names the pool or the web service; Web tells them apart.
	Destination string
	Web         bool
	Streamed    bool

	Outcome recording.Outcome
	// Problem is the kind of the error of a refused request.
	Problem string
	// Retries counts the attempts after the first one.
	Retries      int
	PromptTokens uint64
	ReusedTokens uint64
	// FirstToken and Total count from the arrival, for the caller.
	FirstToken time.Duration
	Total      time.Duration
	// Deadline is the caller's bound; 0 for none.
	Deadline time.Duration
}

// late reports whether the answer was complete only after the deadline.
func (s Sample) late() bool {
	return s.Outcome == recording.Completed && s.Deadline > 0 && s.Total > s.Deadline
}

// Recorded returns the samples of what the records themselves tell.
func Recorded(records []recording.Record) []Sample {
	samples := make([]Sample, 0, len(records))
	for _, record := range records {
		sample := FromRecord(record)
		sample.Outcome = record.Outcome
		sample.Problem = record.Problem
		sample.Retries = max(record.Attempts-1, 0)
		sample.ReusedTokens = record.ReusedTokens
		sample.FirstToken = time.Duration(record.FirstUS) * time.Microsecond
		sample.Total = time.Duration(record.TotalUS) * time.Microsecond
		samples = append(samples, sample)
	}
	return samples
}

// FromRecord returns a sample of what a caller asked for, before anything has
// become of it.
func FromRecord(record recording.Record) Sample {
	return Sample{
		At:           time.Duration(record.AtUS) * time.Microsecond,
		Tenant:       record.Tenant,
		Destination:  record.Destination(),
		Web:          record.Pool == "",
		Streamed:     record.Streamed,
		PromptTokens: record.PromptTokens(),
		Deadline:     time.Duration(record.DeadlineMS) * time.Millisecond,
	}
}
