package dataplane

import (
	"context"
	"fmt"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/kvevents"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

var _ = Describe("What a node knows of cached chunks when it has started", func() {
	const backend = "127.0.0.1:9000"
	var now time.Duration
	var live []member.Info

	// newNode returns a server that runs nothing by itself.
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
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Stop)
		return server
	}
	// deliver hands over what each server has for another one, and returns how
	// many batches that were.
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
	// report tells a server of changes of the back end, from a number on.
	report := func(server *Server, from, next uint64) {
		page := ReportPage{Incarnation: 7, Next: next}
		for sequence := from + 1; sequence <= next; sequence++ {
			page.Changes = append(page.Changes, ChunkChange{Sequence: sequence, ID: fmt.Sprint("part ", sequence), Tokens: 100})
		}
		server.applyReport(now, gossipReport(backend, from, page))
	}
	complete := func(server *Server) (int, kvevents.Position) {
		at, parts, _ := server.router.ChunksSnapshot(backend)
		return len(parts), at
	}

	BeforeEach(func() { now, live = 0, nil })

	It("is what the others know, with the changes since", func() {
		old := newNode("old")
		Expect(old.snapshots.done(now)).To(BeFalse())
		now = 10 * time.Second
		report(old, 0, 5000)
		started := newNode("started")
		report(started, 5000, 5001)
		report(old, 5000, 5001)
		for range 20 {
			deliver(started, old)
		}
		Expect(started.snapshots.done(now)).To(BeTrue())
		parts, at := complete(started)
		Expect(parts).To(Equal(5001))
		Expect(at).To(Equal(kvevents.Position{Incarnation: 7, Next: 5001}))
	})

	It("goes on from where it was read before, instead of from the beginning", func() {
		old := newNode("old")
		Expect(old.snapshots.done(now)).To(BeFalse())
		now = 10 * time.Second
		Expect(old.snapshots.done(now)).To(BeTrue())
		report(old, 0, 50)
		started := newNode("started")
		for range 5 {
			deliver(started, old)
		}
		_, since, _ := started.router.ChunksPosition(backend)
		Expect(since).To(Equal(uint64(50)))
	})

	It("is nothing when all have started at once, which all find out without waiting for each other", func() {
		servers := []*Server{newNode("one"), newNode("two"), newNode("three")}
		for range 5 {
			deliver(servers...)
			now += 50 * time.Millisecond
		}
		now = 1500 * time.Millisecond
		Expect(deliver(servers...)).To(BeZero())
		for _, server := range servers {
			Expect(server.snapshots.done(now)).To(BeTrue())
		}
	})

	It("is waited for before this node reads any report itself", func() {
		newNode("silent")
		started := newNode("started")
		started.readers.reader = unreadable{}
		view := &routing.View{Pools: map[string]*routing.Pool{"pool": {Replicas: []routing.Replica{{Address: backend, Zone: "a"}}}}}
		live = []member.Info{live[1], {ID: live[0].ID, Zone: "b", TrafficAddress: "served"}}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		started.readers.follow(ctx, view)
		now = stableFor
		Expect(started.SnapshotMessages(live)).To(HaveLen(1))
		Expect(started.AwaitingSnapshot()).To(BeTrue())
		started.readers.follow(ctx, view)
		Expect(started.readers.running).To(BeEmpty())
		now += time.Second
		started.readers.follow(ctx, view)
		Expect(started.readers.running).To(HaveKey(backend))
	})
})

// unreadable is a reader of reports that gets none.
type unreadable struct{}

func (unreadable) Read(ctx context.Context, _ string, _ uint64, _ time.Duration) (ReportPage, error) {
	<-ctx.Done()
	return ReportPage{}, ctx.Err()
}

func (unreadable) List(ctx context.Context, _ string) (ReportPage, error) {
	<-ctx.Done()
	return ReportPage{}, ctx.Err()
}

// noSource is control state without a view.
type noSource struct{}

func (noSource) View() *routing.View { return nil }
func (noSource) Serving() error      { return nil }
