package kvrouter

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/internal/speed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// pullSource is an owner that a replica may pull chunks of the prompt from. Region
// and certain are set by the time cost model.
type pullSource struct {
	state   *replicaState
	zone    string
	region  string
	extent  prefixindex.Extent
	isStore bool
	// certain says that the owner has reported all of the extent.
	certain bool
}

// plannedPull is a pull with what its planning was based on.
type plannedPull struct {
	source     pullSource
	zones      speed.Zones
	firstChunk int
	tokens     uint32
	// sharedWith counts the pulls that were in progress from the source.
	sharedWith int
	// transferTime is the estimated time of the transfer, waits for the link included.
	transferTime time.Duration
	// saved is how much sooner the chunks are there than by prefill.
	saved time.Duration
	// savedFraction is saved as a fraction of the time of prefill, from 0 to 1.
	savedFraction float64
	// price is what the moved bytes cost, in milliseconds.
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
