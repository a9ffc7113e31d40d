package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds, and their precision in significant digits.
const (
	shortestUS        = 1
	longestUS         = int64(24 * time.Hour / time.Microsecond)
	significantDigits = 3
)

// firstBucketMS is the upper bound of the first bucket of a report; each
// further one is twice as wide.
const firstBucketMS = 1.0

// Bucket is one bucket of a histogram.
type Bucket struct {
	// UpToMS is the upper bound; the one before it is the lower.
	UpToMS float64 `json:"up_to_ms"`
	Count  int64   `json:"count"`
}

// Latencies are the figures of a distribution, in milliseconds. Quantiles are
// right to three digits.
type Latencies struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P99MS  float64 `json:"p99_ms"`
	MaxMS  float64 `json:"max_ms"`
	// Histogram ends with the last bucket that is not empty.
	Histogram []Bucket `json:"histogram"`
}

// distribution collects times.
type distribution struct {
	histogram *hdrhistogram.Histogram
}

func newDistribution() distribution {
	return distribution{histogram: hdrhistogram.New(shortestUS, longestUS, significantDigits)}
}

// add adds a time; one above the bound counts as the bound.
func (d distribution) add(span time.Duration) {
	_ = d.histogram.RecordValue(min(max(span.Microseconds(), 0), longestUS))
}

// quantileMS returns a quantile, given from 0 to 1, in milliseconds.
func (d distribution) quantileMS(quantile float64) float64 {
	return milliseconds(d.histogram.ValueAtQuantile(100 * quantile))
}

func (d distribution) latencies() Latencies {
	if d.histogram.TotalCount() == 0 {
		return Latencies{}
	}
	return Latencies{
		Count:     d.histogram.TotalCount(),
		MeanMS:    d.histogram.Mean() / 1000,
		P50MS:     d.quantileMS(0.50),
		P90MS:     d.quantileMS(0.90),
		P99MS:     d.quantileMS(0.99),
		MaxMS:     milliseconds(d.histogram.Max()),
		Histogram: d.buckets(),
	}
}

// buckets returns the histogram in buckets, each twice as wide as the one before.
func (d distribution) buckets() []Bucket {
	buckets := []Bucket{{UpToMS: firstBucketMS}}
	for _, bar := range d.histogram.Distribution() {
		if bar.Count == 0 {
			continue
		}
		for milliseconds(bar.From) > buckets[len(buckets)-1].UpToMS {
			buckets = append(buckets, Bucket{UpToMS: 2 * buckets[len(buckets)-1].UpToMS})
		}
		buckets[len(buckets)-1].Count += bar.Count
	}
	return buckets
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / 1000
}
