package dataplane

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/reports"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// TakeUpdate returns the update about this node's traffic since the last call, and removes it
// from the queue. It also counts overdue attempts. The node calls it every 50 ms and sends the
// update to the other nodes.
func (s *Server) TakeUpdate() gossip.Update {
	now := s.options.Clock()
	s.health.CountOverdue(now)
	update := s.updates.Drain(now, s.router.LocalLoads(now))
	update.Outcomes = s.health.TakeReports(now)
	return update
}

// ApplyUpdate applies an update of another node.
func (s *Server) ApplyUpdate(update gossip.Update) {
	now := s.options.Clock()
	for _, load := range update.Loads {
		s.router.SetRemoteLoad(now, string(update.Node), load.Address, load.SharedLoad)
	}
	for _, dispatch := range update.Dispatches {
		s.router.ObserveDispatchLinks(now, dispatch.Address, dispatch.Links)
	}
	for _, report := range update.Reports {
		s.applyReport(now, report)
	}
	for _, denial := range update.GoneInstances {
		s.staleBackends.RecordGoneInstance(denial)
	}
	s.health.ApplyOutcomes(now, update)
}

// applyReport applies a page of reports of another node to the prefix index.
func (s *Server) applyReport(now time.Duration, report gossip.Report) {
	reports.Apply(s.router, now, report)
	s.updateStartupGate()
}

// publishReport queues a page of reports that this node has read for the other nodes.
func (s *Server) publishReport(report gossip.Report) {
	s.updateStartupGate()
	s.updates.AddReport(report)
}

// updateStartupGate opens the start-up gate if the cached chunks of enough replicas are known
// or its deadline has passed.
func (s *Server) updateStartupGate() {
	s.startupGate.Update(s.options.Clock(), s.options.Source.View(), s.router.ChunksComplete)
}

// SnapshotMessages returns the snapshot requests and responses that are due. It is called
// periodically with the live nodes.
func (s *Server) SnapshotMessages(live []member.Info) []gossip.Outbound {
	return s.snapshots.Tick(s.options.Clock(), live)
}

// AwaitingSnapshot reports whether a snapshot has been requested and may still arrive. It
// is false a few seconds after the start in any case.
func (s *Server) AwaitingSnapshot() bool {
	return s.snapshots.Pending(s.options.Clock())
}

// HandleSnapshotBatch handles a snapshot request or response of another node.
func (s *Server) HandleSnapshotBatch(batch gossip.Batch) {
	s.snapshots.HandleBatch(s.options.Clock(), batch)
	s.updateStartupGate()
}
