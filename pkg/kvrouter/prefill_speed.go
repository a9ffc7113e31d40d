package kvrouter

import "time"

const (
	// speedWeight is the weight of a new observation in the moving average.
	speedWeight = 0.2
	// minTokensToLearn is the shortest prefill whose time depends more on the speed
	// than on the fixed cost of a request.
	minTokensToLearn = 256
)

// prefillSpeed is the moving average of a replica's prefill speed, for the block
// cost model.
type prefillSpeed struct {
	tokensPerSecond float64
}

// learn records that the replica computed tokens, those queued before included, in
// a time.
func (s *prefillSpeed) learn(tokens float64, took time.Duration) {
	if tokens < minTokensToLearn || took <= 0 {
		return
	}
	observed := tokens / took.Seconds()
	if s.tokensPerSecond == 0 {
		s.tokensPerSecond = observed
		return
	}
	s.tokensPerSecond += speedWeight * (observed - s.tokensPerSecond)
}

// timeFor estimates how long tokens take to compute.
func (s *prefillSpeed) timeFor(tokens float64, options *Options) time.Duration {
	speed := s.tokensPerSecond
	if speed == 0 {
		speed = options.PrefillTokensPerSecond
	}
	return seconds(tokens / speed)
}
