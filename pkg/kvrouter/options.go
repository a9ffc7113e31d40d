package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Defaults of Options.
const (
	DefaultBlockTokens            = 16
	DefaultGuessCredit            = 0.75
	DefaultReportLag              = 5 * time.Second
	DefaultByIDPredictionLag      = 20 * time.Second
	DefaultUncertainTTL           = 60 * time.Second
	DefaultBytesPerToken          = 320 << 10
	DefaultLinkBytesPerSecond     = 2.5e9
	DefaultLinkLatency            = 2 * time.Millisecond
	DefaultCrossZoneFactor        = 1.5
	DefaultPullAdvantage          = 1.25
	DefaultMaxPullsPerSource      = 4
	DefaultPrefillTokensPerSecond = 8000.0
	DefaultReorderWindow          = 64
	DefaultReorderWait            = 500 * time.Millisecond
	DefaultSlowStartDuration      = 10 * time.Second
	DefaultSlowStartInitial       = 4
	DefaultSlowStartPerSecond     = 4.0
	DefaultReportFresh            = 2 * time.Second
	DefaultReportUseless          = 10 * time.Second
)

// Options configure a Router. Zero values mean the defaults.
type Options struct {
	// Index configures the prefix index.
	Index prefixindex.Options
	// BlockTokens is the size of a block, the unit of load and cost.
	BlockTokens uint32
	// GuessCredit multiplies the credit of chunks that are predicted, or that a
	// replica reported before some of its reports were lost.
	GuessCredit float64
	// ReportLag is how late reports of a replica may be: events that a load report
	// states are lost, and an incarnation has ended, when nothing came for so long.
	ReportLag time.Duration
	// PredictionLag is how long a chunk counts as predicted on a replica that does
	// report, from the first token until its report should have come. The default
	// is ReportLag; a negative one disables these predictions.
	PredictionLag time.Duration
	// ByIDPredictionLag is PredictionLag for replicas that report chunks by ID. It
	// may be longer than their reports take, since a report that the chunk was
	// evicted ends the prediction.
	ByIDPredictionLag time.Duration
	// Disabled are the mechanisms that are disabled.
	Disabled Mechanisms
	// Name distinguishes this router from others that send to the same replicas, so that
	// each has preferences of its own, see Settings.SpreadTime.
	Name string
	// UncertainTTL is how long chunks count as predicted that were reported before
	// some reports were lost.
	UncertainTTL time.Duration
	// BytesPerToken is the size of the cached state of one token. The default is
	// that of a model with 80 layers of 8 key-value heads of 128 in 16 bits.
	BytesPerToken float64
	// LinkBytesPerSecond is assumed of links without a measurement.
	LinkBytesPerSecond float64
	// LinkLatency is added to the time of each pull.
	LinkLatency time.Duration
	// CrossZoneFactor multiplies the time of pulls between zones, so that
	// they are planned only where they save much. At least 1.
	CrossZoneFactor float64
	// PullAdvantage is how many times faster than prefill a pull must be.
	PullAdvantage float64
	// MaxPullsPerSource bounds the pulls in progress from one source that this
	// router planned.
	MaxPullsPerSource int
	// PrefillTokensPerSecond is assumed of replicas until their speed is learned.
	PrefillTokensPerSecond float64
	// ReorderWindow is how many events or batches of a replica are buffered for a
	// missing one.
	ReorderWindow int
	// ReorderWait is how long they are buffered.
	ReorderWait time.Duration
	// The slow start below is that of the block cost model. For the time cost model the
	// caller bounds it, by Candidate.SlowStartUntil and Request.SlowStartAllowed.

	// SlowStartDuration is how long slow start lasts.
	SlowStartDuration time.Duration
	// SlowStartInitial is how many reservations a replica takes at the start of it.
	SlowStartInitial int
	// SlowStartPerSecond is how many more it takes with each second.
	SlowStartPerSecond float64

	// ReportFresh is the age up to which a load report counts in full.
	ReportFresh time.Duration
	// ReportUseless is the age from which on it does not count. In between its weight
	// falls in proportion.
	ReportUseless time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.BlockTokens, DefaultBlockTokens)
	setDefault(&o.GuessCredit, DefaultGuessCredit)
	setDefault(&o.ReportLag, DefaultReportLag)
	setDefault(&o.PredictionLag, o.ReportLag)
	setDefault(&o.ByIDPredictionLag, DefaultByIDPredictionLag)
	setDefault(&o.UncertainTTL, DefaultUncertainTTL)
	setDefault(&o.BytesPerToken, DefaultBytesPerToken)
	setDefault(&o.LinkBytesPerSecond, DefaultLinkBytesPerSecond)
	setDefault(&o.LinkLatency, DefaultLinkLatency)
	setDefault(&o.CrossZoneFactor, DefaultCrossZoneFactor)
	setDefault(&o.PullAdvantage, DefaultPullAdvantage)
	setDefault(&o.MaxPullsPerSource, DefaultMaxPullsPerSource)
	setDefault(&o.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setDefault(&o.ReorderWindow, DefaultReorderWindow)
	setDefault(&o.ReorderWait, DefaultReorderWait)
	setDefault(&o.SlowStartDuration, DefaultSlowStartDuration)
	setDefault(&o.SlowStartInitial, DefaultSlowStartInitial)
	setDefault(&o.SlowStartPerSecond, DefaultSlowStartPerSecond)
	setDefault(&o.ReportFresh, DefaultReportFresh)
	setDefault(&o.ReportUseless, DefaultReportUseless)
	return o
}

func (o *Options) feedOptions() cachefeed.Options {
	return cachefeed.Options{
		ReportLag:         o.ReportLag,
		PredictionLag:     o.PredictionLag,
		ByIDPredictionLag: o.ByIDPredictionLag,
		UncertainTTL:      o.UncertainTTL,
		ReorderWindow:     o.ReorderWindow,
		ReorderWait:       o.ReorderWait,
	}
}

// blocks converts a load in tokens to blocks.
func (o *Options) blocks(tokens replicaload.Load) Load {
	blockTokens := float64(o.BlockTokens)
	return Load{
		PrefillBlocks:  tokens.PrefillTokens / blockTokens,
		DecodeBlocks:   tokens.DecodeTokens / blockTokens,
		ActiveRequests: tokens.Requests,
	}
}

func (o *Options) tokensToBlocks(tokens uint32) float64 {
	return float64(tokens) / float64(o.BlockTokens)
}

// setDefault replaces the zero value of an option.
func setDefault[T comparable](option *T, value T) {
	var zero T
	if *option == zero {
		*option = value
	}
}
