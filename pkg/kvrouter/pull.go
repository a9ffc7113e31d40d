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
	// extent is the leading part of the prompt that the owner caches.
	extent  prefixindex.Extent
	isStore bool
	// certain reports whether the owner has reported the whole extent. The time cost model
	// sets it; the block cost model plans pulls of reported chunks only.
	certain bool
}

// plannedPull is a planned pull with the estimates that it is based on.
type plannedPull struct {
	source pullSource
	// zones and sharedWith, the number of pulls in progress from the source when the pull
	// was planned, are set by the block cost model.
	zones      speed.Zones
	sharedWith int
	// firstChunk is the position of the first chunk that the replica lacks or caches only in
	// part. The pull ends with the last whole chunk of the source's extent.
	firstChunk int
	// tokens is the number of tokens of the source's extent beyond the replica's.
	tokens uint32
	// transferTime is the estimated time of the transfer, including waits for the link.
	transferTime time.Duration
	// saved is the time that the pull saves over prefill, less the margin and the price that
	// the cost model demands. A pull is planned only if saved is above 0.
	saved time.Duration
	// savedFraction is saved as a fraction of the prefill time, from 0 to 1. The block cost
	// model sets it.
	savedFraction float64
	// price is the cost of the transferred bytes, in milliseconds. The time cost model sets
	// it.
	price float64
}

// pull returns the pull instruction for the replica.
func (p *plannedPull) pull() *Pull {
	return &Pull{
		Source:        p.source.state.address,
		FirstChunk:    p.firstChunk,
		LastChunk:     p.source.extent.Chunks - 1,
		Tokens:        p.tokens,
		EstimatedTime: p.transferTime,
	}
}
