package gossip

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// SnapshotExchange fetches a snapshot of the cached chunks from a peer when this node has
// started, and serves such snapshots to peers that have started. It may be used concurrently.
type SnapshotExchange struct {
	router *kvrouter.Router

	mutex  sync.Mutex
	client *SnapshotClient
	server *SnapshotServer
}

// NewSnapshotExchange returns the exchange of a node in a zone. It reads and updates the index
// of the router.
func NewSnapshotExchange(self member.ID, zone string, router *kvrouter.Router) *SnapshotExchange {
	return &SnapshotExchange{
		router: router,
		client: NewSnapshotClient(self, zone),
		server: NewSnapshotServer(self),
	}
}

// Done reports whether the transfer of a snapshot to this node has ended, with or without a
// snapshot.
func (e *SnapshotExchange) Done(now time.Duration) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.client.Done(now)
}

// Tick returns the request and the responses to send now, given the live nodes.
func (e *SnapshotExchange) Tick(now time.Duration, live []member.Info) []Outbound {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append(e.client.Tick(now, live), e.server.Tick(live, e.snapshot)...)
}

// Pending reports whether this node waits for the response to a snapshot request. It returns
// false at the latest maxTransferTime after the first call of Done, Tick or Pending.
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

// handleRequest starts a transfer to a peer. If this node is still fetching its own snapshot,
// it sends an empty one.
func (e *SnapshotExchange) handleRequest(now time.Duration, peer member.ID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.client.Done(now) {
		e.server.HandleRequest(peer, nil)
		return
	}
	e.server.HandleRequest(peer, e.router.Addresses())
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

// snapshot returns a report of the chunks that a back end caches according to this node's
// index.
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
