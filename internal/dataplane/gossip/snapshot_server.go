package gossip

import (
	"slices"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// changesPerTick bounds the changes that are sent to those who ask in one tick,
	// so that an answer takes a share of a small link. A change takes 24 bytes.
	changesPerTick = 1024
	// maxTransfers bounds the nodes that are answered at a time.
	maxTransfers = 16
)

// SnapshotServer is the other side of Adoption: it hands what this node knows to nodes
// that have asked, a piece a tick. It does no I/O and is not safe for concurrent
// use.
type SnapshotServer struct {
	self      member.ID
	transfers []transfer
}

// transfer is a node that has asked, with the addresses of back ends that it is still
// to be told of.
type transfer struct {
	id        member.ID
	remaining []string
}

// NewSnapshotServer returns the answers of a node.
func NewSnapshotServer(self member.ID) *SnapshotServer { return &SnapshotServer{self: self} }

// HandleRequest notes that a node wants to know what is kept at the addresses. One that
// asks again is told from the beginning.
func (a *SnapshotServer) HandleRequest(by member.ID, addresses []string) {
	a.transfers = slices.DeleteFunc(a.transfers, func(existing transfer) bool { return existing.id == by })
	if len(a.transfers) < maxTransfers {
		a.transfers = append(a.transfers, transfer{id: by, remaining: addresses})
	}
}

// Tick returns what is due, given the live nodes and what is known of a back end
// now. Who is not live any more is told nothing.
func (a *SnapshotServer) Tick(live []member.Info, snapshot func(address string) (Report, bool)) []Outbound {
	var due []Outbound
	budget := changesPerTick
	a.transfers = lo.Filter(a.transfers, func(waiting transfer, _ int) bool {
		return lo.ContainsBy(live, func(node member.Info) bool { return node.ID == waiting.id })
	})
	for len(a.transfers) > 0 && budget > 0 {
		first := &a.transfers[0]
		var reports []Report
		reports, first.remaining, budget = nextReports(first.remaining, budget, snapshot)
		batch := Batch{Stage: SnapshotChunk, Updates: []Update{{Node: a.self, Reports: reports}}}
		if len(first.remaining) == 0 {
			batch.Stage = SnapshotEnd
		}
		to, _ := lo.Find(live, func(node member.Info) bool { return node.ID == first.id })
		due = append(due, Outbound{To: []member.Info{to}, Batch: batch})
		if batch.Stage == SnapshotEnd {
			a.transfers = a.transfers[1:]
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
