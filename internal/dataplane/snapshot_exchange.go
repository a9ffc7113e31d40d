package dataplane

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/kvevents"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// snapshotExchange copies what a peer knows of cached chunks when this node has started,
// and serves such snapshots to peers that have started. It may be used concurrently.
type snapshotExchange struct {
	router *kvrouter.Router

	mutex  sync.Mutex
	client *gossip.SnapshotClient
	server *gossip.SnapshotServer
}

func newSnapshotExchange(options Options, router *kvrouter.Router) *snapshotExchange {
	return &snapshotExchange{
		router: router,
		client: gossip.NewSnapshotClient(options.Member, options.Zone),
		server: gossip.NewSnapshotServer(options.Member),
	}
}

// done reports whether the node no longer waits for a snapshot.
func (a *snapshotExchange) done(now time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.client.Done(now)
}

// tick returns the request and the responses that are due.
func (a *snapshotExchange) tick(now time.Duration, live []member.Info) []gossip.Outbound {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return append(a.client.Tick(now, live), a.server.Tick(live, a.snapshot)...)
}

// handleRequest starts a transfer to a peer. A node that still waits for its own snapshot
// sends an empty one.
func (a *snapshotExchange) handleRequest(now time.Duration, by member.ID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.client.Done(now) {
		a.server.HandleRequest(by, nil)
		return
	}
	a.server.HandleRequest(by, a.router.Addresses())
}

// handleResponse applies a part of a peer's snapshot.
func (a *snapshotExchange) handleResponse(now time.Duration, stage gossip.Stage, update gossip.Update) {
	a.mutex.Lock()
	current := a.client.HandleResponse(now, stage, update)
	a.mutex.Unlock()
	if !current {
		return
	}
	for _, report := range update.Reports {
		a.router.AdoptChunks(now, report.Address, report.Feed, chunkChanges(report.Changes))
	}
}

// snapshot returns what this node knows of the chunks that a back end caches.
func (a *snapshotExchange) snapshot(address string) (gossip.Report, bool) {
	feed, chunks, found := a.router.ChunksSnapshot(address)
	if !found {
		return gossip.Report{}, false
	}
	changes := lo.Map(chunks, func(chunk kvevents.ChunkChange, _ int) gossip.Change {
		return gossip.Change{Name: chunk.Hash, Tokens: chunk.Tokens}
	})
	return gossip.Report{Address: address, Feed: feed, Complete: true, Changes: changes}, true
}

// SnapshotMessages returns the snapshot requests and responses that are due. It is called
// periodically, with the live nodes.
func (s *Server) SnapshotMessages(live []member.Info) []gossip.Outbound {
	return s.snapshots.tick(s.options.Clock(), live)
}

// AwaitingSnapshot reports whether a snapshot has been requested and may still arrive. It
// is false a few seconds after the start in any case.
func (s *Server) AwaitingSnapshot() bool {
	s.snapshots.mutex.Lock()
	defer s.snapshots.mutex.Unlock()
	return s.snapshots.client.Pending(s.options.Clock())
}

// HandleSnapshotBatch handles a snapshot request or response of another node.
func (s *Server) HandleSnapshotBatch(batch gossip.Batch) {
	now := s.options.Clock()
	for _, update := range batch.Updates {
		if batch.Stage == gossip.SnapshotRequest {
			s.snapshots.handleRequest(now, update.Node)
			continue
		}
		s.snapshots.handleResponse(now, batch.Stage, update)
	}
	s.updateStartupGate()
}
