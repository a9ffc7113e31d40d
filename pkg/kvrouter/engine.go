package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
)

// Defaults of EngineProfile.
const (
	DefaultPrefillTokensPerMillisecond = 45.0
	DefaultFirstEvent                  = 40 * time.Millisecond
	DefaultPullSetup                   = 5 * time.Millisecond
	DefaultStepPerRequest              = 150 * time.Microsecond
	DefaultPrefillChunk                = 2048
)

// EngineProfile describes the inference engine of a pool's replicas. With a profile, the
// router estimates costs as time at the replica and learns the replicas' speed from
// observed requests; without one it counts blocks only. Zero fields stand for the defaults,
// except Slots, MemoryTokens and StoreTokens, where 0 means no limit.
type EngineProfile struct {
	// Slots is the number of requests that a replica runs at once.
	Slots int
	// MemoryTokens is the number of tokens that fit into a replica's memory.
	MemoryTokens float64
	// BytesPerToken is the size of the KV state of one token.
	BytesPerToken float64
	// LinkBitsPerSecond is the rate of a replica's link for transfers of cached chunks.
	LinkBitsPerSecond float64
	// StoreLinkBitsPerSecond is the rate of the store's link.
	StoreLinkBitsPerSecond float64
	// StoreTokens is the capacity of the store, in tokens.
	StoreTokens float64
	// PrefillTokensPerMillisecond is the assumed prefill speed until the pool's speed is
	// learned.
	PrefillTokensPerMillisecond float64
	// FirstEvent is the assumed time from the end of prefill to the first event, until it
	// is learned.
	FirstEvent time.Duration
	// PullSetup is a fixed time that is added to each transfer.
	PullSetup time.Duration
	// StepPerRequest is the time that each running request adds to an engine step.
	StepPerRequest time.Duration
	// PrefillChunk is the number of prompt tokens that are computed in one engine step.
	PrefillChunk float64
}

func (p EngineProfile) withDefaults(options *Options) EngineProfile {
	setDefault(&p.BytesPerToken, options.BytesPerToken)
	setDefault(&p.LinkBitsPerSecond, options.LinkBytesPerSecond*units.BitsPerByte)
	setDefault(&p.StoreLinkBitsPerSecond, p.LinkBitsPerSecond)
	setDefault(&p.PrefillTokensPerMillisecond, DefaultPrefillTokensPerMillisecond)
	setDefault(&p.FirstEvent, DefaultFirstEvent)
	setDefault(&p.PullSetup, DefaultPullSetup)
	setDefault(&p.StepPerRequest, DefaultStepPerRequest)
	setDefault(&p.PrefillChunk, DefaultPrefillChunk)
	return p
}
