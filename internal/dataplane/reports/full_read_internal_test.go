package reports

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// scriptedReports simulates a back end that keeps only its newest change.
type scriptedReports struct {
	mutex sync.Mutex
	// reportGap makes the next page report a gap.
	reportGap bool
	// listError, if set, is returned by List.
	listError error
	// fullReads contains the addresses of the calls of List.
	fullReads []string
}

func (s *scriptedReports) Read(_ context.Context, _ string, since uint64, _ time.Duration) (edges.ReportPage, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page := edges.ReportPage{Incarnation: 7, Next: since + 1, Lost: s.reportGap || since == 0, Changes: []edges.ChunkChange{
		{Sequence: since + 1, CacheSalt: "salt", Model: "model", ID: "newest", Tokens: 100},
	}}
	s.reportGap = false
	return page, nil
}

func (s *scriptedReports) List(_ context.Context, address string) (edges.ReportPage, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fullReads = append(s.fullReads, address)
	if s.listError != nil {
		return edges.ReportPage{}, s.listError
	}
	return edges.ReportPage{Incarnation: 7, Next: 41, Changes: []edges.ChunkChange{
		{CacheSalt: "salt", Model: "model", ID: "oldest", Tokens: 4000},
		{CacheSalt: "salt", Model: "model", ID: "newest", Tokens: 100},
	}}, nil
}

// takeFullReads returns the addresses that were read in full since the last call.
func (s *scriptedReports) takeFullReads() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	addresses := s.fullReads
	s.fullReads = nil
	return addresses
}

// fixedView is a source of control state that does not change.
type fixedView struct{ view *routing.View }

func (f fixedView) View() *routing.View { return f.view }
func (f fixedView) Serving() error      { return nil }

// reportingNode is a node that reads the reports of one replica, without network
// connections.
type reportingNode struct {
	readers  *Readers
	router   *kvrouter.Router
	outgoing *gossip.OutgoingUpdates
	reports  *scriptedReports
	now      time.Duration
}

func newReportingNode() *reportingNode {
	n := &reportingNode{
		router:   kvrouter.New(kvrouter.Options{Name: "node"}),
		outgoing: gossip.NewOutgoingUpdates(),
		reports:  &scriptedReports{},
		now:      time.Hour,
	}
	pool := &routing.Pool{Replicas: []routing.Replica{{Address: "replica", Zone: "a"}}}
	n.readers = New(Options{
		Member:           "node",
		Source:           fixedView{&routing.View{Pools: map[string]*routing.Pool{"pool": pool}}},
		Clock:            func() time.Duration { return n.now },
		Peers:            func() []member.Info { return []member.Info{{ID: "node", Zone: "a"}} },
		Reader:           n.reports,
		Router:           n.router,
		Quarantine:       health.NewQuarantine(),
		AwaitingSnapshot: func() bool { return false },
		Publish:          n.outgoing.AddReport,
		AfterFollow:      func() {},
	})
	return n
}

// published returns the reports for the other nodes that were added since the last call.
func (n *reportingNode) published() []gossip.Report {
	return n.outgoing.Drain(n.now, nil).Reports
}

// read reads the back end's reports once, as its assigned reader does.
func (n *reportingNode) read() {
	Expect(n.readers.readOnce(context.Background(), "replica")).To(Succeed())
}

// cachedTokens returns how many tokens of a chunk the router assumes to be cached.
func (n *reportingNode) cachedTokens(id string) uint32 {
	chunks := []prefixindex.Chunk{{ID: id, Tokens: 4000}}
	decision, err := n.router.Select(kvrouter.Request{
		Now: n.now, Model: "model", Chunks: chunks, Naming: kvrouter.ByID,
		SaltFor: func(string) string { return "salt" }, Settings: kvrouter.DefaultSettings(),
	}, []kvrouter.Candidate{{Address: "replica", Zone: "a"}})
	Expect(err).NotTo(HaveOccurred())
	decision.Reservation.Cancelled(n.now)
	return decision.OverlapTokens
}

var _ = Describe("The cached chunks of a back end", func() {
	var n *reportingNode
	BeforeEach(func() { n = newReportingNode() })

	It("are first read in full by the assigned reader, and published completely to the other nodes", func() {
		n.read()
		Expect(n.cachedTokens("oldest")).To(Equal(uint32(4000)), "the back end's changes no longer include this chunk, so only a full read finds it")
		reports := n.published()
		Expect(reports).To(HaveLen(1))
		Expect(reports[0].Complete).To(BeTrue())
		Expect(reports[0].Feed.Next).To(Equal(uint64(41)))
		Expect(reports[0].Changes).To(HaveLen(2))
	})

	It("are updated after a full read by the changes that follow it", func() {
		n.read()
		n.read()
		Expect(n.reports.takeFullReads()).To(HaveLen(1))
		Expect(n.published()[1].Feed.From).To(Equal(uint64(41)))
	})

	It("are read in full again after a gap, but not twice within minFullReadInterval", func() {
		n.read()
		n.reports.reportGap = true
		n.read()
		n.now += minFullReadInterval
		n.read()
		Expect(n.reports.takeFullReads()).To(HaveLen(2))
		n.reports.reportGap = true
		n.read()
		n.now += minFullReadInterval - 1
		n.read()
		Expect(n.reports.takeFullReads()).To(BeEmpty())
	})

	It("are never read in full by a node that is not the assigned reader, even if it has missed changes", func() {
		n.readers.stabilization.done = true
		n.readers.options.Peers = func() []member.Info { return []member.Info{{ID: "reader", Zone: "a"}} }
		for range 20 {
			n.now += time.Second
			n.readers.Follow(context.Background(), n.readers.options.Source.View())
		}
		Expect(n.readers.running).To(BeEmpty())
		Expect(n.reports.takeFullReads()).To(BeEmpty(), "in a large fleet, full reads by every node would delay every back end")
	})

	It("are updated by the changes while full reads fail", func() {
		n.reports.listError = context.DeadlineExceeded
		n.read()
		Expect(n.cachedTokens("newest")).To(Equal(uint32(100)))
	})
})

var _ = Describe("fullReadLimiter", func() {
	It("removes back ends that are no longer listed", func() {
		l := newFullReadLimiter()
		Expect(l.tryAcquire(0, "a")).To(BeTrue())
		Expect(l.tryAcquire(1, "a")).To(BeFalse())
		l.retain(nil)
		Expect(l.tryAcquire(1, "a")).To(BeTrue())
	})
})
