package proxybench

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// longestLatency is the upper bound of the histograms, in microseconds.
	longestLatency = int64(callTimeout / time.Microsecond)
	// latencyDigits is the precision of the histograms, in significant digits.
	latencyDigits = 3
)

// target is what callers send to.
type target struct {
	name        string
	address     string
	connections []*connection
}

// openTarget opens all connections to an address.
func openTarget(name, address string, settings Settings) (*target, error) {
	opened := &target{name: name, address: address}
	for number := range settings.Connections {
		connection, err := dial(address, fmt.Sprintf("%s-%d", name, number), settings.BodyBytes)
		if err != nil {
			opened.close()
			return nil, err
		}
		opened.connections = append(opened.connections, connection)
	}
	return opened, nil
}

// close ends all connections.
func (t *target) close() {
	for _, connection := range t.connections {
		connection.close()
	}
}

// throughput is what was measured at one saturation.
type throughput struct {
	requests uint64
	elapsed  time.Duration
	// processor is the processor time of the whole process.
	processor time.Duration
}

// perSecond returns the requests a second.
func (t throughput) perSecond() float64 {
	return float64(t.requests) / t.elapsed.Seconds()
}

// processorPerRequest returns the processor time of one request in
// microseconds.
func (t throughput) processorPerRequest() float64 {
	return float64(t.processor.Microseconds()) / float64(t.requests)
}

// saturate lets every connection send one request after the other.
func (t *target) saturate(ctx context.Context, duration time.Duration) (throughput, error) {
	processorBefore, err := processorTime()
	if err != nil {
		return throughput{}, err
	}
	start := time.Now()
	counts := make([]uint64, len(t.connections))
	err = t.forEachConnection(ctx, func(ctx context.Context, number int, connection *connection) error {
		for time.Since(start) < duration && ctx.Err() == nil {
			if err := connection.call(); err != nil {
				return err
			}
			counts[number]++
		}
		return ctx.Err()
	})
	if err != nil {
		return throughput{}, err
	}
	processorAfter, err := processorTime()
	measured := throughput{elapsed: time.Since(start), processor: processorAfter - processorBefore}
	for _, count := range counts {
		measured.requests += count
	}
	return measured, err
}

// paced sends at a fixed rate, in turn over the connections, and returns the latencies
// in microseconds. A latency counts from the time at which the request was due, so
// that waiting behind a slow one counts.
func (t *target) paced(ctx context.Context, perSecond float64, duration time.Duration) (*hdrhistogram.Histogram, error) {
	histograms := make([]*hdrhistogram.Histogram, len(t.connections))
	interval := time.Duration(float64(len(t.connections)) / perSecond * float64(time.Second))
	start := time.Now()
	err := t.forEachConnection(ctx, func(ctx context.Context, number int, connection *connection) error {
		histogram := hdrhistogram.New(1, longestLatency, latencyDigits)
		histograms[number] = histogram
		due := start.Add(interval * time.Duration(number) / time.Duration(len(t.connections)))
		for ; due.Sub(start) < duration && ctx.Err() == nil; due = due.Add(interval) {
			time.Sleep(time.Until(due))
			if err := connection.call(); err != nil {
				return err
			}
			if err := histogram.RecordValue(max(time.Since(due).Microseconds(), 1)); err != nil {
				return errors.WithStack(err)
			}
		}
		return ctx.Err()
	})
	if err != nil {
		return nil, err
	}
	merged := hdrhistogram.New(1, longestLatency, latencyDigits)
	for _, histogram := range histograms {
		merged.Merge(histogram)
	}
	return merged, nil
}

// forEachConnection calls a function for every connection at once, and returns when all
// calls have. The first error ends the context of the others.
func (t *target) forEachConnection(ctx context.Context, run func(ctx context.Context, number int, connection *connection) error) error {
	group, ctx := errgroup.WithContext(ctx)
	for number, connection := range t.connections {
		group.Go(func() error { return run(ctx, number, connection) })
	}
	return errors.Wrapf(group.Wait(), "the requests to the target %q failed", t.name)
}

// processorTime returns the processor time that this process has taken.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.WithStack(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
