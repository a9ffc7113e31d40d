package speed

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/units"
)

const (
	// prefillWeight is the weight of a new observation in the moving average.
	prefillWeight = 0.2
	// minTokensToLearn is the shortest prefill whose time depends more on the speed
	// than on the fixed cost of a request.
	minTokensToLearn = 256
)

// Prefill is the moving average of a replica's prefill speed. The zero value has
// observed nothing.
type Prefill struct {
	tokensPerSecond float64
}

// Observe records the time that the replica took to compute tokens, which include those
// that were queued before the request.
func (p *Prefill) Observe(tokens float64, took time.Duration) {
	if tokens < minTokensToLearn || took <= 0 {
		return
	}
	observed := tokens / took.Seconds()
	if p.tokensPerSecond == 0 {
		p.tokensPerSecond = observed
		return
	}
	p.tokensPerSecond += prefillWeight * (observed - p.tokensPerSecond)
}

// TimeFor estimates how long tokens take to compute. Until a speed has been observed, it
// uses the assumed one, in tokens per second.
func (p *Prefill) TimeFor(tokens, assumed float64) time.Duration {
	speed := p.tokensPerSecond
	if speed == 0 {
		speed = assumed
	}
	return units.FromSeconds(tokens / speed)
}
