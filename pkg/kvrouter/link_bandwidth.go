package kvrouter

import "time"

const (
	// linkWeight is the weight of a new measurement in the moving average.
	linkWeight = 0.3
	// linkMemory is how long a measurement counts. After it the default is
	// assumed again, so that a link that was slow is tried again.
	linkMemory = 30 * time.Second
	// maxSpeedup bounds how much faster than expected one pull may make
	// a link look, since its time is inferred from the first token.
	maxSpeedup = 2
)

// zonePair identifies a direction between two zones.
type zonePair struct {
	from, to string
}

// measuredBandwidth is the measured bandwidth of a direction.
type measuredBandwidth struct {
	bytesPerSecond float64
	measuredAt     time.Duration
}

// linkBandwidths has the measured bandwidths between zones, for the block cost model.
type linkBandwidths struct {
	byZones map[zonePair]measuredBandwidth
}

func newLinkBandwidths() linkBandwidths {
	return linkBandwidths{byZones: make(map[zonePair]measuredBandwidth)}
}

// observe records a bandwidth.
func (l *linkBandwidths) observe(now time.Duration, zones zonePair, bytesPerSecond float64) {
	if bytesPerSecond <= 0 {
		return
	}
	previous, present := l.byZones[zones]
	if present && now-previous.measuredAt < linkMemory {
		bytesPerSecond = previous.bytesPerSecond + linkWeight*(bytesPerSecond-previous.bytesPerSecond)
	}
	l.byZones[zones] = measuredBandwidth{bytesPerSecond: bytesPerSecond, measuredAt: now}
}

func (l *linkBandwidths) bytesPerSecond(now time.Duration, zones zonePair, options *Options) float64 {
	measured, present := l.byZones[zones]
	if !present || now-measured.measuredAt >= linkMemory {
		return options.LinkBytesPerSecond
	}
	return measured.bytesPerSecond
}

// transferTime estimates how long tokens take over a link that other pulls
// from the same source share.
func (l *linkBandwidths) transferTime(now time.Duration, zones zonePair, tokens float64, sharedWith int, options *Options) time.Duration {
	bytes := tokens * options.BytesPerToken * float64(1+sharedWith)
	return options.LinkLatency + seconds(bytes/l.bytesPerSecond(now, zones, options))
}

// observePull infers a bandwidth from the estimated time of a pull.
func (l *linkBandwidths) observePull(now time.Duration, zones zonePair, tokens float64, sharedWith int, took time.Duration, options *Options) {
	expected := l.transferTime(now, zones, tokens, sharedWith, options) - options.LinkLatency
	transfer := max(took-options.LinkLatency, expected/maxSpeedup)
	if transfer <= 0 {
		return
	}
	bytes := tokens * options.BytesPerToken * float64(1+sharedWith)
	l.observe(now, zones, bytes/transfer.Seconds())
}
