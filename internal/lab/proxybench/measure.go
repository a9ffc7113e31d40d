package proxybench

import (
	"context"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
)

const (
	// warmUp is how long each target is saturated before anything counts.
	warmUp = 100 * time.Millisecond
	// halfLoad is the fraction of the saturation under which latencies are measured.
	halfLoad = 0.5
	// microsecondsPerMillisecond turns the histograms' unit into the reports'.
	microsecondsPerMillisecond = 1000
)

// series is what was measured of one target, with one value for each round.
type series struct {
	target *target
	// rates are the requests a second at saturation, and processor the microseconds of
	// processor time of one request then.
	rates     []float64
	processor []float64
	// halfRates are the requests a second at half load, and latencies those of all
	// rounds then, in microseconds.
	halfRates []float64
	latencies *hdrhistogram.Histogram
}

// bench has everything that runs during a measurement.
type bench struct {
	settings Settings
	replicas []*endpoint
	// forwarderEndpoint and node are the two proxies.
	forwarderEndpoint *endpoint
	node              *dataplane.Server
	// direct is what was measured without a proxy, the others with one of them.
	direct    *series
	forwarder *series
	proxied   *series
	// addedP50 and addedP99 are the node's latencies beyond the forwarder's, in
	// milliseconds, with one value for each round.
	addedP50 []float64
	addedP99 []float64
}

// Measure runs all rounds, and stops all that it started before it returns.
func Measure(ctx context.Context, settings Settings) (Report, error) {
	if err := settings.check(); err != nil {
		return Report{}, err
	}
	running := &bench{settings: settings}
	defer running.close()
	if err := running.start(); err != nil { //nolint:contextcheck // the data plane takes no context: Stop ends it
		return Report{}, err
	}
	for _, measured := range running.all() {
		if _, err := measured.target.saturate(ctx, warmUp); err != nil {
			return Report{}, err
		}
	}
	for repetition := range settings.Rounds {
		if err := running.measureAll(ctx, repetition); err != nil {
			return Report{}, err
		}
	}
	return running.report(), nil
}

// start starts replicas and proxies, and connects callers to them.
func (b *bench) start() error {
	var addresses []string
	for range b.settings.Replicas {
		started, err := newReplica(b.settings.BodyBytes)
		if err != nil {
			return err
		}
		b.replicas = append(b.replicas, started)
		addresses = append(addresses, started.address)
	}
	var err error
	if b.forwarderEndpoint, err = serve(newForwarder(addresses, b.settings.Connections)); err != nil {
		return err
	}
	if b.node, err = startNode(addresses, b.settings.Connections); err != nil {
		return err
	}
	if b.direct, err = b.connect(TargetDirect, addresses[0]); err != nil {
		return err
	}
	if b.forwarder, err = b.connect(TargetForwarder, b.forwarderEndpoint.address); err != nil {
		return err
	}
	b.proxied, err = b.connect(TargetNode, b.node.Address())
	return err
}

// connect opens the connections to a target.
func (b *bench) connect(name TargetName, address string) (*series, error) {
	opened, err := openTarget(string(name), address, b.settings)
	if err != nil {
		return nil, err
	}
	return &series{target: opened, latencies: hdrhistogram.New(1, longestLatency, latencyDigits)}, nil
}

// all returns the series that have been connected.
func (b *bench) all() []*series {
	connected := []*series{b.direct, b.forwarder, b.proxied}
	return slices.DeleteFunc(connected, func(one *series) bool { return one == nil })
}

// measureAll measures every target once. The order of the targets turns with the
// rounds, so that none always follows the same other.
func (b *bench) measureAll(ctx context.Context, repetition int) error {
	order := b.all()
	turn := repetition % len(order)
	order = append(order[turn:len(order):len(order)], order[:turn]...)
	for _, measured := range order {
		if err := b.saturate(ctx, measured); err != nil {
			return err
		}
	}
	for _, measured := range order {
		rate := halfLoad * measured.rates[repetition]
		histogram, err := measured.target.paced(ctx, rate, b.settings.HalfLoadTime)
		if err != nil {
			return err
		}
		measured.halfRates = append(measured.halfRates, rate)
		measured.latencies.Merge(histogram)
	}
	return b.compareLatencies(ctx, halfLoad*b.proxied.rates[repetition], repetition)
}

// saturate adds one saturation to a series.
func (b *bench) saturate(ctx context.Context, measured *series) error {
	measurement, err := measured.target.saturate(ctx, b.settings.SaturationTime)
	if err != nil {
		return err
	}
	measured.rates = append(measured.rates, measurement.perSecond())
	measured.processor = append(measured.processor, measurement.processorPerRequest())
	return nil
}

// compareLatencies measures the latencies of forwarder and node at the same rate, one
// after the other, and records the difference.
func (b *bench) compareLatencies(ctx context.Context, rate float64, repetition int) error {
	order := []*series{b.forwarder, b.proxied}
	if repetition%2 == 1 {
		slices.Reverse(order)
	}
	histograms := make(map[*series]*hdrhistogram.Histogram, len(order))
	for _, measured := range order {
		histogram, err := measured.target.paced(ctx, rate, b.settings.HalfLoadTime)
		if err != nil {
			return err
		}
		histograms[measured] = histogram
	}
	added := func(percentile float64) float64 {
		return milliseconds(histograms[b.proxied], percentile) - milliseconds(histograms[b.forwarder], percentile)
	}
	b.addedP50 = append(b.addedP50, added(50))
	b.addedP99 = append(b.addedP99, added(99))
	return nil
}

// report sums the rounds up.
func (b *bench) report() Report {
	return Report{
		Targets: []TargetResult{
			b.direct.result(TargetDirect),
			b.forwarder.result(TargetForwarder),
			b.proxied.result(TargetNode),
		},
		Summary: b.summary(),
	}
}

// summary compares node and forwarder round by round.
func (b *bench) summary() Summary {
	var throughputs, processors []float64
	for repetition := range b.settings.Rounds {
		direct := b.direct.processor[repetition]
		throughputs = append(throughputs, b.proxied.rates[repetition]/b.forwarder.rates[repetition])
		processors = append(processors, (b.forwarder.processor[repetition]-direct)/(b.proxied.processor[repetition]-direct))
	}
	return Summary{
		Rounds:          b.settings.Rounds,
		ThroughputRatio: median(throughputs),
		ProcessorRatio:  median(processors),
		AddedP50MS:      median(b.addedP50),
		AddedP99MS:      median(b.addedP99),
	}
}

// result sums a series up.
func (s *series) result(name TargetName) TargetResult {
	return TargetResult{
		Target:                name,
		RequestsPerSecond:     median(s.rates),
		ProcessorMicroseconds: median(s.processor),
		HalfLoadPerSecond:     median(s.halfRates),
		HalfLoadP50MS:         milliseconds(s.latencies, 50),
		HalfLoadP99MS:         milliseconds(s.latencies, 99),
	}
}

// close ends everything that was started.
func (b *bench) close() {
	for _, connected := range b.all() {
		connected.target.close()
	}
	if b.node != nil {
		b.node.Stop()
	}
	if b.forwarderEndpoint != nil {
		b.forwarderEndpoint.close()
	}
	for _, started := range b.replicas {
		started.close()
	}
}

// median returns the median of at least one value.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// milliseconds returns a percentile of a histogram, in milliseconds.
func milliseconds(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / microsecondsPerMillisecond
}
