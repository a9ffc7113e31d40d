package node

import (
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// predictionBytes is what one predicted or pending chunk takes in the prefix index.
	predictionBytes = 160
	// predictedDivisor and pendingDivisor are the parts of a machine's memory that predicted and
	// pending chunks may take.
	predictedDivisor = 8
	pendingDivisor   = 32
)

// routerOptions returns the options of the router of a machine, whose callers decide which chunks
// their prompts name. The memory is 0 if it is not known.
func routerOptions(memoryBytes int64) kvrouter.Options {
	if memoryBytes <= 0 {
		return kvrouter.Options{}
	}
	chunks := func(divisor int64, most int) int {
		return int(min(max(memoryBytes/divisor/predictionBytes, 1), int64(most)))
	}
	return kvrouter.Options{
		Index:      prefixindex.Options{MaxPredicted: chunks(predictedDivisor, prefixindex.DefaultMaxPredicted)},
		MaxPending: chunks(pendingDivisor, kvrouter.DefaultMaxPending),
	}
}
