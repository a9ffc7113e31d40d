package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Defaults of Options.
const (
	DefaultMaxPending             = 1 << 16
	DefaultBlockTokens            = 16
	DefaultUncertainCredit        = 0.75
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

// Options configure a Router. Zero values stand for the defaults.
type Options struct {
	// Index configures the prefix index.
	Index prefixindex.Options
	// MaxPending bounds the chunks of requests that were sent lately and may not be cached yet.
	MaxPending int
	// BlockTokens is the size of a block, the unit of load and cost.
	BlockTokens uint32
	// UncertainCredit multiplies the credit of chunks that are only probably cached: those that
	// are predicted, or that a replica reported before some of its reports were lost.
	UncertainCredit float64
	// ReportLag is the longest delay of a replica's reports. An event whose number a load
	// report stated is lost if it has not arrived within ReportLag, and an incarnation from
	// which no report has come for ReportLag may be replaced by one with a lower number.
	ReportLag time.Duration
	// PredictionLag is how long a chunk counts as predicted on a replica that reports what
	// it caches, from the first token until the replica's report should have arrived. The
	// default is ReportLag; a negative value disables these predictions.
	PredictionLag time.Duration
	// ByIDPredictionLag is PredictionLag for replicas that report chunks by ID. It may
	// exceed the delay of their reports, since a report that the chunk was evicted ends the
	// prediction.
	ByIDPredictionLag time.Duration
	// Disabled selects the mechanisms that are disabled.
	Disabled Mechanisms
	// Name distinguishes this router from others that send to the same replicas. It enters
	// the pseudo-random part of the cost, see Settings.SpreadTime.
	Name string
	// UncertainTTL is how long chunks by ID count as predicted after a loss of reports, if
	// they were reported before the loss.
	UncertainTTL time.Duration
	// BytesPerToken is the size of the KV state of one token. The default is that of a model
	// with 80 layers of 8 key-value heads of dimension 128 in 16 bits.
	BytesPerToken float64
	// LinkBytesPerSecond is the assumed bandwidth of links without a measurement.
	LinkBytesPerSecond float64
	// LinkLatency is a fixed time that is added to each pull.
	LinkLatency time.Duration
	// CrossZoneFactor multiplies the estimated time of pulls between zones, so that such
	// pulls are planned only if they save much. It is at least 1.
	CrossZoneFactor float64
	// PullAdvantage is how many times faster than prefill a pull must be to be planned.
	PullAdvantage float64
	// MaxPullsPerSource limits the pulls in progress from one source that this router
	// planned. The block cost model uses it.
	MaxPullsPerSource int
	// PrefillTokensPerSecond is the assumed prefill speed of replicas until it is learned.
	PrefillTokensPerSecond float64
	// ReorderWindow is how many events or batches of a replica are buffered while an earlier
	// one is missing.
	ReorderWindow int
	// ReorderWait is how long events or batches are buffered while an earlier one is missing.
	ReorderWait time.Duration

	// The slow start fields below configure the block cost model. With the time cost model,
	// the caller limits slow start by Candidate.SlowStartUntil and Request.SlowStartAllowed.

	// SlowStartDuration is how long slow start lasts.
	SlowStartDuration time.Duration
	// SlowStartInitial is the limit of reservations of a replica when slow start begins.
	SlowStartInitial int
	// SlowStartPerSecond is how much the limit rises per second.
	SlowStartPerSecond float64

	// ReportFresh is the age up to which a load report has full weight.
	ReportFresh time.Duration
	// ReportUseless is the age from which a load report has no weight. Between ReportFresh
	// and ReportUseless the weight falls linearly.
	ReportUseless time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxPending, DefaultMaxPending)
	setDefault(&o.BlockTokens, DefaultBlockTokens)
	setDefault(&o.UncertainCredit, DefaultUncertainCredit)
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

// setDefault sets an option to value if it is zero.
func setDefault[T comparable](option *T, value T) {
	var zero T
	if *option == zero {
		*option = value
	}
}
