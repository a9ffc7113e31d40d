package dataplane

import (
	"context"
	"fmt"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

var _ = Describe("The index of cached chunks of a node that has started", func() {
	const backend = "127.0.0.1:9000"
	var now time.Duration
	var live []member.Info
	// reader is the ReportReader of the next node that newNode makes.
	var reader ReportReader

	// newNode returns a server that is not started.
	newNode := func(id string) *Server {
		log := logrus.New()
		log.SetOutput(io.Discard)
		info := member.Info{ID: member.ID(id), Zone: "a", TrafficAddress: "served"}
		live = append(live, info)
		server, err := New(Options{
			Node: id, Member: info.ID, Zone: info.Zone, Source: noSource{}, Address: "127.0.0.1:0",
			Clock: func() time.Duration { return now },
			Peers: func() []member.Info { return live },
			Log:   logrus.NewEntry(log),
			Edges: Edges{Reports: reader},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Stop)
		return server
	}
	// deliver delivers the snapshot messages that are due between the servers, and returns
	// the number of delivered batches.
	deliver := func(servers ...*Server) int {
		delivered := 0
		for _, from := range servers {
			for _, send := range from.SnapshotMessages(live) {
				for _, to := range servers {
					if to.options.Member == send.To[0].ID {
						to.HandleSnapshotBatch(send.Batch)
						delivered++
					}
				}
			}
		}
		return delivered
	}
	// report applies a page of reports with the changes from+1 to next of the back end to a
	// server.
	report := func(server *Server, from, next uint64) {
		page := gossip.Report{Address: backend, Feed: cachefeed.Position{Incarnation: 7, From: from, Next: next}}
		for sequence := from + 1; sequence <= next; sequence++ {
			name := prefixindex.HashByID("", "", fmt.Sprint("part ", sequence))
			page.Changes = append(page.Changes, gossip.Change{Sequence: sequence, Name: name, Tokens: 100})
		}
		server.applyReport(now, page)
	}
	indexed := func(server *Server) (int, cachefeed.Position) {
		at, chunks, _ := server.router.ChunksSnapshot(backend)
		return len(chunks), at
	}

	BeforeEach(func() { now, live, reader = 0, nil, nil })

	It("contains the index of a peer, and later changes", func() {
		old := newNode("old")
		Expect(old.snapshots.Done(now)).To(BeFalse())
		now = 10 * time.Second
		report(old, 0, 5000)
		started := newNode("started")
		report(started, 5000, 5001)
		report(old, 5000, 5001)
		for range 20 {
			deliver(started, old)
		}
		Expect(started.snapshots.Done(now)).To(BeTrue())
		chunks, at := indexed(started)
		Expect(chunks).To(Equal(5001))
		Expect(at).To(Equal(cachefeed.Position{Incarnation: 7, Next: 5001}))
	})

	It("continues at the position up to which a peer has read, not from the beginning", func() {
		old := newNode("old")
		Expect(old.snapshots.Done(now)).To(BeFalse())
		now = 10 * time.Second
		Expect(old.snapshots.Done(now)).To(BeTrue())
		report(old, 0, 50)
		started := newNode("started")
		for range 5 {
			deliver(started, old)
		}
		_, since, _ := started.router.ChunksPosition(backend)
		Expect(since).To(Equal(uint64(50)))
	})

	It("stays empty when all nodes start at once, without waiting for each other", func() {
		servers := []*Server{newNode("one"), newNode("two"), newNode("three")}
		for range 5 {
			deliver(servers...)
			now += 50 * time.Millisecond
		}
		now = 1500 * time.Millisecond
		Expect(deliver(servers...)).To(BeZero())
		for _, server := range servers {
			Expect(server.snapshots.Done(now)).To(BeTrue())
		}
	})

	It("is filled from reports only after the node has waited for a snapshot", func() {
		readsSince := make(observedReads, 1)
		newNode("silent")
		reader = readsSince
		started := newNode("started")
		view := &routing.View{Pools: map[string]*routing.Pool{"pool": {Replicas: []routing.Replica{{Address: backend, Zone: "a"}}}}}
		live = []member.Info{live[1], {ID: live[0].ID, Zone: "b", TrafficAddress: "served"}}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		// follow reconciles the readers with the view and the live nodes. A read that it
		// starts sends the step to readsSince.
		follow := func(step string) {
			started.readers.Follow(context.WithValue(ctx, followStep{}, step), view)
		}
		follow("before the nodes are known")
		now = 500 * time.Millisecond
		Expect(started.SnapshotMessages(live)).To(HaveLen(1))
		Expect(started.AwaitingSnapshot()).To(BeTrue())
		follow("while the snapshot may arrive")
		now += time.Second
		follow("after the snapshot timed out")
		Expect(<-readsSince).To(Equal("after the snapshot timed out"))
	})

	It("is sent to the other nodes as far as this node has read it from reports", func() {
		server := newNode("node")
		page := gossip.Report{
			Address: backend, Feed: cachefeed.Position{Incarnation: 7, Next: 1},
			Changes: []gossip.Change{{Sequence: 1, Tokens: 100}},
		}
		server.publishReport(page)
		Expect(server.TakeUpdate().Reports).To(ConsistOf(page))
	})
})

// followStep is the context key of the name of the step that started a read.
type followStep struct{}

// observedReads is a ReportReader that gets no reports. It receives the step that started a
// read.
type observedReads chan any

func (o observedReads) Read(ctx context.Context, _ string, _ uint64, _ time.Duration) (ReportPage, error) {
	return o.List(ctx, "")
}

func (o observedReads) List(ctx context.Context, _ string) (ReportPage, error) {
	select {
	case o <- ctx.Value(followStep{}):
	default:
	}
	<-ctx.Done()
	return ReportPage{}, ctx.Err()
}

// noSource is a routing.Source without a view.
type noSource struct{}

func (noSource) View() *routing.View { return nil }
func (noSource) Serving() error      { return nil }
