package gossip

import (
	"slices"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// changesPerTick is the number of changes, over all peers, after which no further report
	// is sent in a tick, so that transfers use only a fraction of a slow link. A change takes
	// 24 bytes.
	changesPerTick = 1024
	// maxTransfers is the maximum number of peers that are served at the same time. Requests
	// of further peers are ignored.
	maxTransfers = 16
)

// SnapshotServer sends snapshots to the peers that have requested one, in parts: each Tick
// returns about changesPerTick changes.
type SnapshotServer struct {
	self      member.ID
	transfers []transfer
}

// transfer is the transfer of a snapshot to a peer, with the addresses of the back ends whose
// reports remain to be sent.
type transfer struct {
	id        member.ID
	remaining []string
}

// NewSnapshotServer returns the server of a node.
func NewSnapshotServer(self member.ID) *SnapshotServer { return &SnapshotServer{self: self} }

// HandleRequest starts the transfer of reports about the back ends at the addresses. If the peer
// already has a transfer, the transfer is restarted.
func (s *SnapshotServer) HandleRequest(peer member.ID, addresses []string) {
	s.transfers = slices.DeleteFunc(s.transfers, func(existing transfer) bool { return existing.id == peer })
	if len(s.transfers) < maxTransfers {
		s.transfers = append(s.transfers, transfer{id: peer, remaining: addresses})
	}
}

// Tick returns the batches to send now, given the live nodes and a function that returns the
// current report about a back end. Transfers to peers that are no longer live are dropped.
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

// nextReports returns the reports about the next back ends until the budget of changes is
// spent. Each report costs one change more than it contains. The last report is not split, so
// it may exceed the budget.
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
