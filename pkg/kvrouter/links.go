package kvrouter

import "time"

const (
	// linkWeight is the weight of a new measurement in the moving average.
	linkWeight = 0.3
	// linkMemory is how long a measurement counts. After it the default is
	// assumed again, so that a link that was slow is tried again.
	linkMemory = 30 * time.Second
	// steepestSpeedup bounds how much faster than expected one pull may make
	// a link look, since its time is inferred from the first token.
	steepestSpeedup = 2
)

// linkKey names a direction between two zones.
type linkKey struct {
	from, to string
}

// link is the measured bandwidth of a direction.
type link struct {
	bytesPerSecond float64
	measuredAt     time.Duration
}

// links knows how fast bytes go from zone to zone.
type links struct {
	byZones map[linkKey]link
}

func newLinks() links {
	return links{byZones: make(map[linkKey]link)}
}

// measured takes in a bandwidth.
func (l *links) measured(now time.Duration, key linkKey, bytesPerSecond float64) {
	if bytesPerSecond <= 0 {
		return
	}
	known, present := l.byZones[key]
	if present && now-known.measuredAt < linkMemory {
		bytesPerSecond = known.bytesPerSecond + linkWeight*(bytesPerSecond-known.bytesPerSecond)
	}
	l.byZones[key] = link{bytesPerSecond: bytesPerSecond, measuredAt: now}
}

func (l *links) bytesPerSecond(now time.Duration, key linkKey, options *Options) float64 {
	known, present := l.byZones[key]
	if !present || now-known.measuredAt >= linkMemory {
		return options.LinkBytesPerSecond
	}
	return known.bytesPerSecond
}

// transferTime estimates how long tokens take over a link that other pulls
// from the same source share.
func (l *links) transferTime(now time.Duration, key linkKey, tokens float64, sharedWith int, options *Options) time.Duration {
	bytes := tokens * options.BytesPerToken * float64(1+sharedWith)
	return options.LinkLatency + seconds(bytes/l.bytesPerSecond(now, key, options))
}

// pulled infers a bandwidth from a pull that took about so long.
func (l *links) pulled(now time.Duration, key linkKey, tokens float64, sharedWith int, took time.Duration, options *Options) {
	expected := l.transferTime(now, key, tokens, sharedWith, options) - options.LinkLatency
	transfer := max(took-options.LinkLatency, expected/steepestSpeedup)
	if transfer <= 0 {
		return
	}
	bytes := tokens * options.BytesPerToken * float64(1+sharedWith)
	l.measured(now, key, bytes/transfer.Seconds())
}
