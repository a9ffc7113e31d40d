package dataplane

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/kvevents"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
)

const (
	// loadRefresh is how long an unchanged load is not sent again. It is half the time
	// after which other nodes discard it.
	loadRefresh = 500 * time.Millisecond
	// maxPendingUpdates bounds the pending dispatches, reports and denials, each. What
	// comes beyond it is dropped.
	maxPendingUpdates = 1024
)

// sentLoad is the load of a replica as it was sent last.
type sentLoad struct {
	load   replicaload.SharedLoad
	sentAt time.Duration
}

// outgoingUpdates collects what the other nodes are to learn of this node's traffic. It
// may be used concurrently.
type outgoingUpdates struct {
	mutex      sync.Mutex
	sentLoads  map[string]sentLoad
	dispatches []gossip.Dispatch
	reports    []gossip.Report
	denials    []gossip.Denial
}

// newOutgoingUpdates returns an empty collection.
func newOutgoingUpdates() *outgoingUpdates {
	return &outgoingUpdates{sentLoads: make(map[string]sentLoad)}
}

// addDispatch adds a request that was sent to a replica.
func (s *outgoingUpdates) addDispatch(dispatch gossip.Dispatch) { enqueue(s, &s.dispatches, dispatch) }

// addReport adds a page of reports that this node has read.
func (s *outgoingUpdates) addReport(report gossip.Report) { enqueue(s, &s.reports, report) }

// addDenial adds an incarnation that is gone from its address.
func (s *outgoingUpdates) addDenial(denial gossip.Denial) { enqueue(s, &s.denials, denial) }

// enqueue appends an entry unless the queue is full.
func enqueue[T any](s *outgoingUpdates, queue *[]T, entry T) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(*queue) < maxPendingUpdates {
		*queue = append(*queue, entry)
	}
}

// drain returns and removes what is to be sent now, given the present loads.
func (s *outgoingUpdates) drain(now time.Duration, loads []kvrouter.AddressLoad) gossip.Update {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	update := gossip.Update{Dispatches: s.dispatches, Reports: s.reports, Denials: s.denials}
	s.dispatches, s.reports, s.denials = nil, nil, nil
	for _, load := range loads {
		if s.shouldSend(now, load) {
			update.Loads = append(update.Loads, load)
		}
	}
	return update
}

// shouldSend reports whether the other nodes assume another load, or would discard this
// one. They expect by themselves that a prefill progresses and a response grows. The lock
// is held.
func (s *outgoingUpdates) shouldSend(now time.Duration, load kvrouter.AddressLoad) bool {
	sent, found := s.sentLoads[load.Address]
	idle := load.Requests == 0
	if found && sameRequests(sent.load, load.SharedLoad) && (idle || now-sent.sentAt < loadRefresh) {
		return false
	}
	if idle {
		delete(s.sentLoads, load.Address)
		return found
	}
	s.sentLoads[load.Address] = sentLoad{load: load.SharedLoad, sentAt: now}
	return true
}

// sameRequests reports whether two loads of one replica are those of the same requests,
// none of which has arrived, ended, or begun to respond in between.
func sameRequests(sent, present replicaload.SharedLoad) bool {
	prefilling := func(load replicaload.SharedLoad) bool {
		return lo.SomeBy(load.PrefillTokens[:], func(tokens float64) bool { return tokens > 0 })
	}
	return sent.Requests == present.Requests && prefilling(sent) == prefilling(present)
}

// PendingUpdate returns what other nodes are to learn of this node's traffic since the
// last call. It also counts overdue attempts, and is called periodically.
func (s *Server) PendingUpdate() gossip.Update {
	now := s.options.Clock()
	s.health.CountOverdue(now)
	update := s.updates.drain(now, s.router.LocalLoads(now))
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
	for _, denial := range update.Denials {
		s.stale.RecordDenial(denial)
	}
	s.health.ApplyOutcomes(now, update)
}

// handleWrongTarget records that a back end has refused a request as meant for another
// one, and tells the other nodes if the incarnation is gone for good.
func (s *Server) handleWrongTarget(replica routing.Replica, refusal *outbound.RefusedError) {
	if s.stale.RecordRefusal(s.options.Clock(), replica, refusal.Instance) {
		s.updates.addDenial(gossip.Denial{Address: replica.Address, Instance: replica.Instance})
	}
}

// applyReport applies a page of reports to the prefix index.
func (s *Server) applyReport(now time.Duration, report gossip.Report) {
	defer s.updateStartupGate()
	changes := chunkChanges(report.Changes)
	if report.Complete {
		s.router.ChunksReplaced(now, report.Address, report.Feed.Incarnation, report.Feed.Next, changes)
		return
	}
	s.router.ChunksReported(now, report.Address, report.Feed, changes)
}

// chunkChanges converts changes to the router's type.
func chunkChanges(changes []gossip.Change) []kvevents.ChunkChange {
	return lo.Map(changes, func(change gossip.Change, _ int) kvevents.ChunkChange {
		return kvevents.ChunkChange{
			Sequence: change.Sequence,
			Hash:     change.Name,
			Tokens:   change.Tokens,
			Removed:  change.Removed,
		}
	})
}
