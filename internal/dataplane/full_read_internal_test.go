package dataplane

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// scriptedReports plays a back end that remembers its newest change only.
type scriptedReports struct {
	mutex sync.Mutex
	// lose makes the next page report a gap.
	lose      bool
	refuse    error
	fullReads []string
}

func (s *scriptedReports) Read(_ context.Context, _ string, since uint64, _ time.Duration) (ReportPage, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page := ReportPage{Incarnation: 7, Next: since + 1, Lost: s.lose || since == 0, Changes: []ChunkChange{
		{Sequence: since + 1, CacheSalt: "salt", Model: "model", ID: "newest", Tokens: 100},
	}}
	s.lose = false
	return page, nil
}

func (s *scriptedReports) List(_ context.Context, address string) (ReportPage, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fullReads = append(s.fullReads, address)
	if s.refuse != nil {
		return ReportPage{}, s.refuse
	}
	return ReportPage{Incarnation: 7, Next: 41, Changes: []ChunkChange{
		{CacheSalt: "salt", Model: "model", ID: "oldest", Tokens: 4000},
		{CacheSalt: "salt", Model: "model", ID: "newest", Tokens: 100},
	}}, nil
}

// takeFullReads returns what was read in full since the last call.
func (s *scriptedReports) takeFullReads() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	addresses := s.fullReads
	s.fullReads = nil
	return addresses
}

// fixedView is control state that does not change.
type fixedView struct{ view *routing.View }

func (f fixedView) View() *routing.View { return f.view }
func (f fixedView) Serving() error      { return nil }

// reportingNode is a node before one replica, without sockets.
type reportingNode struct {
	server  *Server
	reports *scriptedReports
	now     time.Duration
}

func newReportingNode() *reportingNode {
	n := &reportingNode{reports: &scriptedReports{}, now: time.Hour}
	pool := &routing.Pool{Replicas: []routing.Replica{{Address: "replica", Zone: "a"}}}
	server, err := New(Options{
		Node: "node", Member: "node", Zone: "a", Address: "127.0.0.1:0",
		Source: fixedView{&routing.View{Pools: map[string]*routing.Pool{"pool": pool}}},
		Clock:  func() time.Duration { return n.now },
		Peers:  func() []member.Info { return []member.Info{{ID: "node", Zone: "a"}} },
		Edges:  Edges{Reports: n.reports},
	})
	Expect(err).NotTo(HaveOccurred())
	n.server = server
	DeferCleanup(server.Stop)
	return n
}

// read reads once as the back end's reader does.
func (n *reportingNode) read() {
	Expect(n.server.readers.readOnce(context.Background(), "replica")).To(Succeed())
}

// cachedTokens returns how many tokens of a chunk the router assumes to be cached.
func (n *reportingNode) cachedTokens(id string) uint32 {
	chunks := []prefixindex.Chunk{{ID: id, Tokens: 4000}}
	decision, err := n.server.router.Select(kvrouter.Request{
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

	It("are read in full by its reader at first, and sent to the others completely", func() {
		n.read()
		Expect(n.cachedTokens("oldest")).To(Equal(uint32(4000)), "its history does not go back so far")
		reports := n.server.PendingUpdate().Reports
		Expect(reports).To(HaveLen(1))
		Expect(reports[0].Complete).To(BeTrue())
		Expect(reports[0].Feed.Next).To(Equal(uint64(41)))
		Expect(reports[0].Changes).To(HaveLen(2))
	})

	It("are followed from the full read on", func() {
		n.read()
		n.read()
		Expect(n.reports.takeFullReads()).To(HaveLen(1))
		Expect(n.server.PendingUpdate().Reports[1].Feed.From).To(Equal(uint64(41)))
	})

	It("are read in full again after a gap, but not at once a second time", func() {
		n.read()
		n.reports.lose = true
		n.read()
		n.now += minFullReadInterval
		n.read()
		Expect(n.reports.takeFullReads()).To(HaveLen(2))
		n.reports.lose = true
		n.read()
		n.now += minFullReadInterval - 1
		n.read()
		Expect(n.reports.takeFullReads()).To(BeEmpty())
	})

	It("are never read in full by a node that is not the reader, whatever that node has missed", func() {
		n.server.readers.stabilization.done = true
		n.server.options.Peers = func() []member.Info { return []member.Info{{ID: "reader", Zone: "a"}} }
		for range 20 {
			n.now += time.Second
			n.server.readers.follow(context.Background(), n.server.options.Source.View())
		}
		Expect(n.server.readers.running).To(BeEmpty())
		Expect(n.reports.takeFullReads()).To(BeEmpty(), "of a large fleet, each node would hold up each back end")
	})

	It("are followed by their changes while a full read fails", func() {
		n.reports.refuse = context.DeadlineExceeded
		n.read()
		Expect(n.cachedTokens("newest")).To(Equal(uint32(100)))
	})
})

var _ = Describe("fullReadLimiter", func() {
	It("forgets back ends that are no longer listed", func() {
		l := newFullReadLimiter()
		Expect(l.tryAcquire(0, "a")).To(BeTrue())
		Expect(l.tryAcquire(1, "a")).To(BeFalse())
		l.retain(nil)
		Expect(l.tryAcquire(1, "a")).To(BeTrue())
	})
})
