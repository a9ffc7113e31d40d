package gossip

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// SnapshotExchange copies what a peer knows of cached chunks when this node has started,
// and serves such snapshots to peers that have started. It may be used concurrently.
type SnapshotExchange struct {
	router *kvrouter.Router

	mutex  sync.Mutex
	client *SnapshotClient
	server *SnapshotServer
}

// NewSnapshotExchange returns the exchange of a node in a zone, over the index of its
// router.
func NewSnapshotExchange(self member.ID, zone string, router *kvrouter.Router) *SnapshotExchange {
	return &SnapshotExchange{
		router: router,
		client: NewSnapshotClient(self, zone),
		server: NewSnapshotServer(self),
	}
}

// Done reports whether the node no longer waits for a snapshot.
func (e *SnapshotExchange) Done(now time.Duration) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.client.Done(now)
}

// Tick returns the request and the responses that are due.
func (e *SnapshotExchange) Tick(now time.Duration, live []member.Info) []Outbound {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append(e.client.Tick(now, live), e.server.Tick(live, e.snapshot)...)
}

// Pending reports whether a snapshot has been requested and may still arrive. It is false
// a few seconds after the first call in any case.
func (e *SnapshotExchange) Pending(now time.Duration) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.client.Pending(now)
}

// HandleBatch handles a snapshot request or response of another node.
func (e *SnapshotExchange) HandleBatch(now time.Duration, batch Batch) {
	for _, update := range batch.Updates {
		if batch.Stage == SnapshotRequest {
			e.handleRequest(now, update.Node)
			continue
		}
		e.handleResponse(now, batch.Stage, update)
	}
}

// handleRequest starts a transfer to a peer. A node that still waits for its own snapshot
// sends an empty one.
func (e *SnapshotExchange) handleRequest(now time.Duration, by member.ID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.client.Done(now) {
		e.server.HandleRequest(by, nil)
		return
	}
	e.server.HandleRequest(by, e.router.Addresses())
}

// handleResponse applies a part of a peer's snapshot.
func (e *SnapshotExchange) handleResponse(now time.Duration, stage Stage, update Update) {
	e.mutex.Lock()
	current := e.client.HandleResponse(now, stage, update)
	e.mutex.Unlock()
	if !current {
		return
	}
	for _, report := range update.Reports {
		e.router.AdoptChunks(now, report.Address, report.Feed, report.ChunkChanges())
	}
}

// snapshot returns what this node knows of the chunks that a back end caches.
func (e *SnapshotExchange) snapshot(address string) (Report, bool) {
	feed, chunks, found := e.router.ChunksSnapshot(address)
	if !found {
		return Report{}, false
	}
	changes := lo.Map(chunks, func(chunk cachefeed.ChunkChange, _ int) Change {
		return Change{Name: chunk.Hash, Tokens: chunk.Tokens}
	})
	return Report{Address: address, Feed: feed, Complete: true, Changes: changes}, true
}
