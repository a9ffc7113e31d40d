package report

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

// intervals is the number of intervals into which the replayed part of the day is
// divided.
const intervals = 48

// Interval is the figures of one part of the day.
type Interval struct {
	// StartMS counts from the beginning of the day.
	StartMS  int64 `json:"start_ms"`
	Requests int   `json:"requests"`
	Refused  int   `json:"refused"`
	Retries  int   `json:"retries"`
	// Completed counts the complete responses. The figures below are over these alone,
	// and 0 without any.
	Completed     int     `json:"answered"`
	ReuseRatio    float64 `json:"reuse_ratio"`
	TotalP50MS    float64 `json:"total_p50_ms"`
	TotalP99MS    float64 `json:"total_p99_ms"`
	Streamed      int     `json:"streamed"`
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
}

// intervalLength returns the length of an interval.
func intervalLength(run Run) time.Duration {
	span := time.Duration(run.UntilMS-run.FromMS) * time.Millisecond
	return max(span/intervals, time.Millisecond)
}

// newSeries divides the samples by arrival into equal intervals of the replayed part of
// the day.
func newSeries(run Run, samples []Sample) []Interval {
	length := intervalLength(run)
	from := time.Duration(run.FromMS) * time.Millisecond
	byInterval := make([][]Sample, intervals)
	for _, sample := range samples {
		position := int((sample.At - from) / length)
		position = min(max(position, 0), intervals-1)
		byInterval[position] = append(byInterval[position], sample)
	}
	series := make([]Interval, 0, intervals)
	for position, arrived := range byInterval {
		start := from + time.Duration(position)*length
		series = append(series, newInterval(start, arrived))
	}
	return series
}

func newInterval(start time.Duration, samples []Sample) Interval {
	interval := Interval{StartMS: start.Milliseconds(), Requests: len(samples)}
	firstToken, total := newDistribution(), newDistribution()
	var prompt, reused uint64
	for _, sample := range samples {
		interval.Retries += sample.Retries
		if sample.Outcome == recording.Refused {
			interval.Refused++
		}
		if sample.Outcome != recording.Completed {
			continue
		}
		interval.Completed++
		prompt += sample.PromptTokens
		reused += sample.ReusedTokens
		total.add(sample.Total)
		if sample.Streamed {
			interval.Streamed++
			firstToken.add(sample.FirstToken)
		}
	}
	interval.ReuseRatio = ratio(reused, prompt)
	interval.TotalP50MS, interval.TotalP99MS = total.quantileMS(0.50), total.quantileMS(0.99)
	interval.FirstTokenP50, interval.FirstTokenP99 = firstToken.quantileMS(0.50), firstToken.quantileMS(0.99)
	return interval
}
