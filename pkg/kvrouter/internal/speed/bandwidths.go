package speed

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
)

const (
	// bandwidthWeight is the weight of a new measurement in the moving average.
	bandwidthWeight = 0.3
	// bandwidthTTL is how long a measurement is used. Afterwards the assumed bandwidth is
	// used again, so that a link that was slow is tried again.
	bandwidthTTL = 30 * time.Second
	// maxSpeedup bounds how many times faster than expected one pull counts as, since the
	// time of a pull is only inferred from the time to the first token.
	maxSpeedup = 2
)

// Zones identifies the direction of transfers between two zones.
type Zones struct {
	From, To string
}

// Bandwidths holds the measured bandwidths between zones.
type Bandwidths struct {
	// assumed is the bandwidth of links without a measurement, in bytes per second.
	assumed float64
	// latency is added to the time of each pull.
	latency time.Duration
	byZones map[Zones]measuredBandwidth
}

// measuredBandwidth is the moving average of a direction's bandwidth.
type measuredBandwidth struct {
	bytesPerSecond float64
	measuredAt     time.Duration
}

// NewBandwidths returns Bandwidths without measurements.
func NewBandwidths(assumedBytesPerSecond float64, latency time.Duration) *Bandwidths {
	return &Bandwidths{assumed: assumedBytesPerSecond, latency: latency, byZones: make(map[Zones]measuredBandwidth)}
}

// Observe records a bandwidth, in bytes per second.
func (b *Bandwidths) Observe(now time.Duration, zones Zones, bytesPerSecond float64) {
	if bytesPerSecond <= 0 {
		return
	}
	previous, present := b.byZones[zones]
	if present && now-previous.measuredAt < bandwidthTTL {
		bytesPerSecond = previous.bytesPerSecond + bandwidthWeight*(bytesPerSecond-previous.bytesPerSecond)
	}
	b.byZones[zones] = measuredBandwidth{bytesPerSecond: bytesPerSecond, measuredAt: now}
}

// ObserveTransfer records the bandwidth that follows from the estimated time of a transfer,
// which shared its link with sharedWith other pulls from the same source.
func (b *Bandwidths) ObserveTransfer(now time.Duration, zones Zones, bytes float64, sharedWith int, took time.Duration) {
	expected := b.TransferTime(now, zones, bytes, sharedWith) - b.latency
	inferred := max(took-b.latency, expected/maxSpeedup)
	if inferred <= 0 {
		return
	}
	b.Observe(now, zones, linkBytes(bytes, sharedWith)/inferred.Seconds())
}

// TransferTime estimates how long a transfer of bytes takes over a link that it shares with
// sharedWith other pulls from the same source.
func (b *Bandwidths) TransferTime(now time.Duration, zones Zones, bytes float64, sharedWith int) time.Duration {
	return b.latency + units.FromSeconds(linkBytes(bytes, sharedWith)/b.bytesPerSecond(now, zones))
}

// linkBytes returns the bytes that pass a link until a transfer has ended: each pull that
// shares the link is assumed to transfer as much meanwhile.
func linkBytes(bytes float64, sharedWith int) float64 { return bytes * float64(1+sharedWith) }

func (b *Bandwidths) bytesPerSecond(now time.Duration, zones Zones) float64 {
	measured, present := b.byZones[zones]
	if !present || now-measured.measuredAt >= bandwidthTTL {
		return b.assumed
	}
	return measured.bytesPerSecond
}
