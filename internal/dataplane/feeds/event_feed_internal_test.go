package feeds

import (
	"context"
	"io"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

func TestFeeds(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Feeds Suite")
}

const (
	feedAddress = "127.2.1.1:7400"
	feedModel   = "large"
)

// scriptedSource passes fixed events to handle, and records the positions of its calls and the
// last result of handle.
type scriptedSource struct {
	events    []replica.Event
	positions []replica.Position
	err       error
}

// Follow implements Source.
func (s *scriptedSource) Follow(_ context.Context, _ string, after replica.Position, handle func(replica.Event) error) error {
	s.positions = append(s.positions, after)
	for _, event := range s.events {
		if s.err = handle(event); s.err != nil {
			return s.err
		}
	}
	return io.ErrUnexpectedEOF
}

// promptChunks returns the prompt of these tests.
func promptChunks() []prefixindex.Chunk {
	return []prefixindex.Chunk{{ID: "case", Tokens: 320}, {ID: "question", Tokens: 160}}
}

// cacheEvent returns an event which reports that the prompt is cached under a weight version.
func cacheEvent(kind replica.EventKind, sequence uint64, weightVersion string) replica.Event {
	event := replica.Event{Kind: kind, Incarnation: 1, Sequence: sequence}
	for _, link := range prefixindex.Chain(feedModel, saltOf(weightVersion), promptChunks()) {
		event.Chunks = append(event.Chunks, replica.Chunk{Hash: strconv.FormatUint(uint64(link.Hash), 16), Tokens: link.Tokens})
	}
	return event
}

// reportEvent returns a load report with a weight version.
func reportEvent(weightVersion string) replica.Event {
	return replica.Event{Kind: replica.EventReport, Incarnation: 1, Report: &replica.Report{Incarnation: 1, WeightVersion: weightVersion}}
}

func saltOf(weightVersion string) string {
	return replica.CacheSalt(feedModel, weightVersion, "shared")
}

// overlap returns how many tokens of the prompt the replica caches according to the router.
func overlap(router *kvrouter.Router, weightVersion string) uint32 {
	decision, err := router.Select(kvrouter.Request{
		Model: feedModel, Chunks: promptChunks(), SaltFor: saltOf, Settings: kvrouter.DefaultSettings(),
		Random: rand.New(rand.NewPCG(1, 1)),
	}, []kvrouter.Candidate{{Address: feedAddress, WeightVersion: weightVersion}})
	Expect(err).NotTo(HaveOccurred())
	decision.Reservation.Finish(0, false)
	return decision.OverlapTokens
}

var _ = Describe("eventFeed", func() {
	var source *scriptedSource
	var subject *eventFeed
	var now time.Duration

	BeforeEach(func() {
		now = 0
		source = &scriptedSource{}
		subject = &eventFeed{
			address: feedAddress, source: source, router: kvrouter.New(kvrouter.Options{}),
			quarantine: health.NewQuarantine(), health: outlier.New(outlier.Options{}),
			clock: func() time.Duration { return now },
		}
		subject.setExpectedVersion("w1")
	})

	It("passes cached chunks to the router, and resumes the stream after the last event", func() {
		source.events = []replica.Event{cacheEvent(replica.EventReset, 4, "w1")}
		subject.follow(context.Background())
		Expect(overlap(subject.router, "w1")).To(Equal(uint32(480)))
		subject.follow(context.Background())
		Expect(source.positions).To(Equal([]replica.Position{{}, {Incarnation: 1, Sequence: 4}}))
	})

	It("reopens the stream from a reset after resync, but gives a new stream time for its reset", func() {
		source.events = []replica.Event{cacheEvent(replica.EventReset, 4, "w1")}
		subject.follow(context.Background())
		subject.resync()
		subject.follow(context.Background())
		subject.follow(context.Background())
		Expect(source.positions).To(Equal([]replica.Position{{}, {Incarnation: 1, Sequence: 4}, {Incarnation: 1, Sequence: 4}}), "resync after the end of a stream does not change the position")

		source.events = nil
		resyncing := &resyncingSource{}
		subject.source = resyncing
		resyncing.during = subject.resync
		subject.follow(context.Background())
		subject.follow(context.Background())
		Expect(resyncing.positions).To(Equal([]replica.Position{{Incarnation: 1, Sequence: 4}, {}}))
		Expect(resyncing.ended).To(Equal([]bool{true, false}))
	})

	It("reopens the stream from a reset when events are missing for longer than the reorder wait", func() {
		source.events = []replica.Event{cacheEvent(replica.EventReset, 4, "w1"), cacheEvent(replica.EventStored, 6, "w1")}
		subject.follow(context.Background())
		Expect(source.err).NotTo(HaveOccurred(), "the missing event may still arrive")
		now = kvrouter.DefaultReorderWait
		source.events = []replica.Event{cacheEvent(replica.EventStored, 7, "w1")}
		subject.follow(context.Background())
		Expect(source.err).To(MatchError(errResync))
		Expect(subject.position).To(Equal(replica.Position{}))
	})

	It("puts a replica that reports another weight version in quarantine, and forgets its chunks", func() {
		source.events = []replica.Event{cacheEvent(replica.EventReset, 4, "w1"), reportEvent("w2"), cacheEvent(replica.EventStored, 5, "w1")}
		subject.follow(context.Background())
		Expect(subject.quarantine.Contains(feedAddress, "w1")).To(BeTrue())
		Expect(overlap(subject.router, "w1")).To(BeZero())

		By("reopening the stream from a reset once the weight versions agree")
		subject.setExpectedVersion("w2")
		source.events = []replica.Event{reportEvent("w2")}
		subject.follow(context.Background())
		Expect(source.err).To(MatchError(errResync))
		Expect(subject.quarantine.Contains(feedAddress, "w2")).To(BeFalse())
		source.events = []replica.Event{cacheEvent(replica.EventReset, 6, "w2")}
		subject.follow(context.Background())
		Expect(source.positions[len(source.positions)-1]).To(Equal(replica.Position{}))
		Expect(overlap(subject.router, "w2")).To(Equal(uint32(480)))
	})

	It("no longer suspects a back end once it sends an event", func() {
		subject.health.SetPools(map[string][]outlier.Member{"pool": {{Address: feedAddress}}})
		subject.health.Observe(0, feedAddress, outlier.Unreached)
		Expect(subject.health.Verdict(0, feedAddress, false)).To(Equal(outlier.Suspected))
		source.events = []replica.Event{reportEvent("w1")}
		subject.follow(context.Background())
		Expect(subject.health.Verdict(0, feedAddress, false)).To(Equal(outlier.Healthy))
	})

	DescribeTable("ends a stream with an invalid event", func(event replica.Event) {
		source.events = []replica.Event{event}
		subject.follow(context.Background())
		Expect(source.err).To(HaveOccurred())
		Expect(errors.Is(source.err, errResync)).To(BeFalse())
	},
		Entry("unknown kind", replica.Event{Kind: "other", Incarnation: 1, Sequence: 1}),
		Entry("malformed hash", replica.Event{Kind: replica.EventStored, Incarnation: 1, Sequence: 1, Chunks: []replica.Chunk{{Hash: "zz"}}}),
		Entry("report event without a report", replica.Event{Kind: replica.EventReport}),
	)
})

// resyncingSource calls during while each of its streams is open. It records the positions of
// its calls, and whether each stream's context had ended after the call.
type resyncingSource struct {
	during    func()
	positions []replica.Position
	ended     []bool
}

// Follow implements Source.
func (s *resyncingSource) Follow(ctx context.Context, _ string, after replica.Position, _ func(replica.Event) error) error {
	s.positions = append(s.positions, after)
	s.during()
	s.ended = append(s.ended, ctx.Err() != nil)
	return io.ErrUnexpectedEOF
}

// blockingSource keeps its streams open until their context ends, and reports the addresses of
// the streams that are opened and closed.
type blockingSource struct {
	opened, closed chan string
}

// Follow implements Source.
func (s *blockingSource) Follow(ctx context.Context, address string, _ replica.Position, _ func(replica.Event) error) error {
	s.opened <- address
	<-ctx.Done()
	s.closed <- address
	return ctx.Err()
}

// viewOf returns a view with one pool that has a store and replicas.
func viewOf(store string, addresses ...string) *routing.View {
	pool := &routing.Pool{Config: &ridgeswitchv1.Pool{Name: "pool"}, Store: &ridgeswitchv1.Store{Address: store}}
	for _, address := range addresses {
		pool.Replicas = append(pool.Replicas, routing.Replica{Address: address, WeightVersion: "w1"})
	}
	return &routing.View{Pools: map[string]*routing.Pool{"pool": pool}}
}

var _ = Describe("Manager", func() {
	It("runs feeds for the back ends that the newest view lists, and stops the feeds of others", func() {
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		source := &blockingSource{opened: make(chan string, 8), closed: make(chan string, 8)}
		quarantine := health.NewQuarantine()
		manager := New(Options{
			Replicas: source, Stores: source, Router: kvrouter.New(kvrouter.Options{}), Quarantine: quarantine,
			Health: outlier.New(outlier.Options{}), Clock: func() time.Duration { return 0 }, Log: logrus.NewEntry(log),
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := manager.Supervisor().ServeBackground(ctx)

		manager.Reconcile(viewOf("store", "one", "two"))
		Expect([]string{<-source.opened, <-source.opened, <-source.opened}).To(ConsistOf("store", "one", "two"))
		quarantine.Report("one", "w0")
		manager.Reconcile(viewOf("store", "two", "three"))
		Expect(<-source.opened).To(Equal("three"))
		Expect(<-source.closed).To(Equal("one"))
		Expect(quarantine.Contains("one", "w1")).To(BeFalse())
		cancel()
		Expect(<-ended).To(MatchError(context.Canceled))
	})
})
