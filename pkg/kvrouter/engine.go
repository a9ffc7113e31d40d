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

// EngineProfile says how the replicas of a pool run requests. With one, the
// router estimates costs in the replicas' own time and learns how long they take;
// without one it counts blocks only. Zero values of the times and rates mean the
// defaults, which are used until better values are learned.
type EngineProfile struct {
	// Slots is how many requests a replica runs at once; 0 means no bound.
	Slots int
	// MemoryTokens is how many tokens fit into a replica's memory; 0 means no
	// bound.
	MemoryTokens float64
	// BytesPerToken is the size of the cached state of one token.
	BytesPerToken float64
	// LinkBitsPerSecond is the rate of a replica's link for transfers of cached chunks.
	LinkBitsPerSecond float64
	// StoreLinkBitsPerSecond is that of the store.
	StoreLinkBitsPerSecond float64
	// StoreTokens is how many tokens fit into the store.
	StoreTokens float64
	// PrefillTokensPerMillisecond is assumed until the pool's speed is learned.
	PrefillTokensPerMillisecond float64
	// FirstEvent is the time from the end of prefill to the first event, assumed until
	// it is learned.
	FirstEvent time.Duration
	// PullSetup is added to the time of each transfer.
	PullSetup time.Duration
	// StepPerRequest is how much longer each step takes for each running request.
	StepPerRequest time.Duration
	// PrefillChunk is how many tokens of prompts are computed in one step.
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
