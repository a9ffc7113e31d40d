package gossip

import (
	"slices"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// changesPerTick bounds the changes that are sent to all peers in one tick, so that
	// transfers take only a fraction of a slow link. A change takes 24 bytes.
	changesPerTick = 1024
	// maxTransfers bounds the peers that are served at a time.
	maxTransfers = 16
)

// SnapshotServer serves snapshots to peers that have requested one, a part in each tick.
type SnapshotServer struct {
	self      member.ID
	transfers []transfer
}

// transfer is a peer that has requested a snapshot, with the addresses of back ends that
// remain to be sent.
type transfer struct {
	id        member.ID
	remaining []string
}

// NewSnapshotServer returns the server of a node.
func NewSnapshotServer(self member.ID) *SnapshotServer { return &SnapshotServer{self: self} }

// HandleRequest starts the transfer of what is cached at the addresses. A peer that
// requests again is served from the beginning.
func (s *SnapshotServer) HandleRequest(by member.ID, addresses []string) {
	s.transfers = slices.DeleteFunc(s.transfers, func(existing transfer) bool { return existing.id == by })
	if len(s.transfers) < maxTransfers {
		s.transfers = append(s.transfers, transfer{id: by, remaining: addresses})
	}
}

// Tick returns what is due, given the live nodes and the present snapshot of a back end.
// Peers that are no longer live are dropped.
func (s *SnapshotServer) Tick(live []member.Info, snapshot func(address string) (Report, bool)) []Outbound {
	var due []Outbound
	budget := changesPerTick
	s.transfers = lo.Filter(s.transfers, func(waiting transfer, _ int) bool {
		return lo.ContainsBy(live, func(node member.Info) bool { return node.ID == waiting.id })
	})
	for len(s.transfers) > 0 && budget > 0 {
		first := &s.transfers[0]
		var reports []Report
		reports, first.remaining, budget = nextReports(first.remaining, budget, snapshot)
		batch := Batch{Stage: SnapshotChunk, Updates: []Update{{Node: s.self, Reports: reports}}}
		if len(first.remaining) == 0 {
			batch.Stage = SnapshotEnd
		}
		to, _ := lo.Find(live, func(node member.Info) bool { return node.ID == first.id })
		due = append(due, Outbound{To: []member.Info{to}, Batch: batch})
		if batch.Stage == SnapshotEnd {
			s.transfers = s.transfers[1:]
		}
	}
	return due
}

// nextReports takes snapshots of back ends until the budget is spent.
func nextReports(addresses []string, budget int, snapshot func(address string) (Report, bool)) (reports []Report, remaining []string, budgetLeft int) {
	for budget > 0 && len(addresses) > 0 {
		report, found := snapshot(addresses[0])
		addresses = addresses[1:]
		if found {
			reports = append(reports, report)
			budget -= 1 + len(report.Changes)
		}
	}
	return reports, addresses, budget
}
