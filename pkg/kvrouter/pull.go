package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// pullSource is an owner that a replica may pull chunks of the prompt from.
type pullSource struct {
	state *replicaState
	zone  string
	// region is set by the time cost model.
	region string
	// extent is what the owner caches of the prompt from its beginning.
	extent  prefixindex.Extent
	isStore bool
	// certain says that the owner has reported all of the extent. The time cost model
	// sets it; the block cost model plans no pulls of other chunks.
	certain bool
}

// plannedPull is a pull with what its planning was based on.
type plannedPull struct {
	source pullSource
	// zones and sharedWith, the number of pulls that were in progress from the source,
	// are set by the block cost model.
	zones      speed.Zones
	sharedWith int
	// firstChunk is the first chunk that the replica lacks; the last one is that of
	// the source's extent.
	firstChunk int
	tokens     uint32
	// transferTime is the estimated time of the transfer, waits for the link included.
	transferTime time.Duration
	// saved is how much sooner the chunks are there than by prefill, less the margin and
	// the price that the cost model demands. A pull is planned only if it is above 0.
	saved time.Duration
	// savedFraction is saved as a fraction of the time of prefill, from 0 to 1. The
	// block cost model sets it.
	savedFraction float64
	// price is what the moved bytes cost, in milliseconds. The time cost model sets it.
	price float64
}

// pull returns the instruction for the replica.
func (p *plannedPull) pull() *Pull {
	return &Pull{
		Source:        p.source.state.address,
		FirstChunk:    p.firstChunk,
		LastChunk:     p.source.extent.Chunks - 1,
		Tokens:        p.tokens,
		EstimatedTime: p.transferTime,
	}
}
