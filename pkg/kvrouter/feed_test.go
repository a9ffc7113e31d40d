package kvrouter_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

var _ = Describe("Feed", func() {
	var f *fleet
	allLinks := links(prompt(10))

	BeforeEach(func() { f = newFleet(slowLinks, "a") })

	cachedBlocks := func(now time.Duration) int {
		return int(f.overlap(now, "a", prompt(10)) / blockTokens)
	}
	stored := func(now time.Duration, sequence uint64, first, last int) cachefeed.Status {
		return f.router.Stored(now, "a", firstIncarnation, sequence, allLinks[first:last+1])
	}
	removed := func(now time.Duration, sequence uint64, first, last int) cachefeed.Status {
		return f.router.Removed(now, "a", firstIncarnation, sequence, hashes(allLinks[first:last+1]))
	}

	It("applies each event once and in order, in whatever order the events arrive", func() {
		Expect(stored(baseTime, 1, 0, 9)).To(Equal(cachefeed.Accepted))
		Expect(stored(baseTime, 3, 5, 5)).To(Equal(cachefeed.Accepted))
		Expect(stored(baseTime, 3, 5, 5)).To(Equal(cachefeed.Duplicate))
		Expect(removed(baseTime, 2, 5, 5)).To(Equal(cachefeed.Accepted))
		Expect(cachedBlocks(baseTime)).To(Equal(10))
		Expect(removed(baseTime, 2, 5, 5)).To(Equal(cachefeed.Duplicate))
		Expect(stored(baseTime, 0, 0, 0)).To(Equal(cachefeed.Stale))
		Expect(cachedBlocks(baseTime)).To(Equal(10))
		Expect(f.router.ResyncNeeded(baseTime + time.Minute)).To(BeEmpty())
	})

	It("requests a resync when a missing event does not arrive in time", func() {
		stored(baseTime, 1, 0, 3)
		Expect(stored(baseTime, 3, 6, 9)).To(Equal(cachefeed.Accepted))
		Expect(f.router.ResyncNeeded(baseTime + 499*time.Millisecond)).To(BeEmpty())
		Expect(f.router.ResyncNeeded(baseTime + 500*time.Millisecond)).To(Equal([]string{"a"}))
		Expect(stored(baseTime+time.Second, 4, 4, 4)).To(Equal(cachefeed.Gap))
		Expect(cachedBlocks(baseTime + time.Second)).To(Equal(5))
		Expect(f.router.Reset(baseTime+time.Second, "a", firstIncarnation, 4, allLinks)).To(Equal(cachefeed.Accepted))
		Expect(f.router.ResyncNeeded(baseTime + time.Minute)).To(BeEmpty())
		Expect(cachedBlocks(baseTime + time.Second)).To(Equal(10))
	})

	It("reports a gap when too many events are buffered for a missing one", func() {
		for sequence := range uint64(kvrouter.DefaultReorderWindow) {
			Expect(stored(baseTime, sequence+2, 0, 0)).To(Equal(cachefeed.Accepted))
		}
		Expect(stored(baseTime, kvrouter.DefaultReorderWindow+2, 0, 0)).To(Equal(cachefeed.Gap))
	})

	It("detects from a load report that the newest events were lost", func() {
		stored(baseTime, 1, 0, 3)
		report := kvrouter.Report{WeightVersion: version, Incarnation: firstIncarnation, LastSequence: 3}
		f.router.Report(baseTime, "a", report)
		Expect(f.router.ResyncNeeded(baseTime + 4*time.Second)).To(BeEmpty())
		Expect(f.router.ResyncNeeded(baseTime + 5*time.Second)).To(Equal([]string{"a"}))
		f.router.Reset(baseTime+5*time.Second, "a", firstIncarnation, 3, nil)
		f.router.Report(baseTime+5*time.Second, "a", report)
		Expect(f.router.ResyncNeeded(baseTime + time.Hour)).To(BeEmpty())
	})

	It("gives uncertain chunks less credit until a reset", func() {
		f.settings.LocalCredit = 1
		stored(baseTime, 1, 0, 9)
		certain := f.choose(baseTime, prompt(10))
		certain.Reservation.Finish(baseTime, false)
		stored(baseTime, 3, 0, 0)
		uncertain := f.choose(baseTime, prompt(10))
		uncertain.Reservation.Finish(baseTime, false)
		Expect(uncertain.Cost - certain.Cost).To(BeNumerically("~", 10*(1-kvrouter.DefaultGuessCredit)))
		Expect(uncertain.OverlapTokens).To(Equal(certain.OverlapTokens))
	})

	It("drops all state on a new incarnation, and ignores delayed events of the old one", func() {
		stored(baseTime, 1, 0, 9)
		stored(baseTime, 3, 0, 9)
		Expect(f.router.Stored(baseTime, "a", firstIncarnation+1, 1, allLinks[:2])).To(Equal(cachefeed.Accepted))
		Expect(cachedBlocks(baseTime)).To(Equal(2))
		Expect(stored(baseTime, 2, 0, 9)).To(Equal(cachefeed.Stale))
		Expect(f.router.Reset(baseTime, "a", firstIncarnation, 9, allLinks)).To(Equal(cachefeed.Stale))
		f.router.Report(baseTime, "a", kvrouter.Report{WeightVersion: version, Incarnation: firstIncarnation, ActiveRequests: 5})
		Expect(f.router.Load(baseTime, "a").ActiveRequests).To(BeZero())
		Expect(cachedBlocks(baseTime)).To(Equal(2))
	})

	It("treats an event of a lower incarnation as stale, unless the present one has not reported for ReportLag", func() {
		stored(baseTime, 1, 0, 9)
		lower := func(now time.Duration) cachefeed.Status {
			return f.router.Reset(now, "a", firstIncarnation-1, 1, allLinks[:2])
		}
		Expect(lower(baseTime + 4*time.Second)).To(Equal(cachefeed.Stale))
		f.isBusyWith(baseTime+4*time.Second, "a", 0, 0, 0)
		Expect(lower(baseTime + 8*time.Second)).To(Equal(cachefeed.Stale))
		Expect(cachedBlocks(baseTime)).To(Equal(10))
		Expect(lower(baseTime + 9*time.Second)).To(Equal(cachefeed.Accepted))
		Expect(cachedBlocks(baseTime)).To(Equal(2))
	})

	It("drops all chunks when a report or a response shows another weight version", func() {
		stored(baseTime, 1, 0, 9)
		f.router.Report(baseTime, "a", kvrouter.Report{WeightVersion: "v2", Incarnation: firstIncarnation})
		Expect(cachedBlocks(baseTime)).To(BeZero())
		Expect(f.router.ResyncNeeded(baseTime)).To(Equal([]string{"a"}))
		f.router.Reset(baseTime, "a", firstIncarnation, 2, allLinks)
		Expect(cachedBlocks(baseTime)).To(Equal(10))
		f.router.ObserveWeightVersion(baseTime, "a", "v3")
		Expect(cachedBlocks(baseTime)).To(BeZero())
	})

	It("ignores a reset that is older than the recorded state", func() {
		stored(baseTime, 1, 0, 9)
		removed(baseTime, 2, 3, 3)
		Expect(f.router.Reset(baseTime, "a", firstIncarnation, 1, allLinks)).To(Equal(cachefeed.Stale))
		Expect(cachedBlocks(baseTime)).To(Equal(3))
	})

	DescribeTable("records the replica's cache contents from random event streams", func(loss float64) {
		for seed := range uint64(60) {
			random := rand.New(rand.NewPCG(seed, 1))
			f = newFleet(slowLinks, "a")
			stream := newReplicaStream(random, f.router, loss)
			for range 300 {
				stream.step()
			}
			stream.deliverAll()
			Expect(f.router.ResyncNeeded(stream.now)).To(BeEmpty(), "seed %d", seed)
			Expect(cachedBlocks(stream.now)).To(Equal(stream.leadingChunks()), "seed %d", seed)
			Expect(f.router.IndexStats().Reported).To(Equal(len(stream.cached)), "seed %d", seed)
		}
	},
		Entry("with duplicated and reordered events", 0.0),
		Entry("with duplicated, reordered and lost events", 0.1),
	)
})

// streamEvent is an event in flight from a replica to the router.
type streamEvent struct {
	incarnation, sequence uint64
	reset                 bool
	stored                []prefixindex.Link
	removed               []prefixindex.ChainHash
}

// replicaStream simulates a replica that caches random chunks of one prompt, and a network
// that duplicates, reorders and loses the replica's events to a router.
type replicaStream struct {
	random                *rand.Rand
	router                *kvrouter.Router
	loss                  float64
	now                   time.Duration
	prompt                []prefixindex.Link
	cached                map[prefixindex.ChainHash]prefixindex.Link
	incarnation, sequence uint64
	inFlight              []streamEvent
}

func newReplicaStream(random *rand.Rand, router *kvrouter.Router, loss float64) *replicaStream {
	return &replicaStream{
		random:      random,
		router:      router,
		loss:        loss,
		now:         baseTime,
		prompt:      links(prompt(10)),
		cached:      map[prefixindex.ChainHash]prefixindex.Link{},
		incarnation: firstIncarnation,
	}
}

// step changes what the replica caches, and delivers some events.
func (s *replicaStream) step() {
	s.now += 20 * time.Millisecond
	link := s.prompt[s.random.IntN(len(s.prompt))]
	switch choice := s.random.IntN(100); {
	case choice < 60:
		s.cached[link.Hash] = link
		s.send(streamEvent{stored: []prefixindex.Link{link}})
	case choice < 98:
		delete(s.cached, link.Hash)
		s.send(streamEvent{removed: []prefixindex.ChainHash{link.Hash}})
	default:
		s.incarnation++
		s.sequence = 0
		clear(s.cached)
	}
	// Up to five events are in flight and arrive in random order.
	for len(s.inFlight) > 0 && s.random.IntN(6) < len(s.inFlight) {
		s.deliver(s.random.IntN(len(s.inFlight)))
	}
	if len(s.router.ResyncNeeded(s.now)) > 0 {
		s.sendReset()
	}
}

func (s *replicaStream) send(sent streamEvent) {
	s.sequence++
	sent.incarnation, sent.sequence = s.incarnation, s.sequence
	if s.random.Float64() >= s.loss {
		s.inFlight = append(s.inFlight, sent)
	}
	if s.random.IntN(10) == 0 {
		s.inFlight = append(s.inFlight, sent)
	}
}

// sendReset sends a reset with all chunks that the replica caches now. As in the protocol, the
// reset carries the sequence number of the newest event.
func (s *replicaStream) sendReset() {
	s.inFlight = append(s.inFlight, streamEvent{
		incarnation: s.incarnation,
		sequence:    s.sequence,
		reset:       true,
		stored:      lo.Values(s.cached),
	})
}

func (s *replicaStream) deliver(position int) {
	arrived := s.inFlight[position]
	s.inFlight = append(s.inFlight[:position], s.inFlight[position+1:]...)
	switch {
	case arrived.reset:
		s.router.Reset(s.now, "a", arrived.incarnation, arrived.sequence, arrived.stored)
	case arrived.removed != nil:
		s.router.Removed(s.now, "a", arrived.incarnation, arrived.sequence, arrived.removed)
	default:
		s.router.Stored(s.now, "a", arrived.incarnation, arrived.sequence, arrived.stored)
	}
}

// deliverAll delivers all events in flight, and sends resets until the router needs none.
func (s *replicaStream) deliverAll() {
	s.send(streamEvent{stored: s.prompt[:1]})
	s.cached[s.prompt[0].Hash] = s.prompt[0]
	s.router.Report(s.now, "a", kvrouter.Report{Incarnation: s.incarnation, LastSequence: s.sequence})
	for round := 0; round == 0 || len(s.inFlight) > 0; round++ {
		for len(s.inFlight) > 0 {
			s.deliver(0)
		}
		s.now += time.Minute
		if len(s.router.ResyncNeeded(s.now)) > 0 {
			s.sendReset()
		}
	}
}

// leadingChunks returns the number of leading chunks that the replica caches without a gap.
func (s *replicaStream) leadingChunks() int {
	for position, link := range s.prompt {
		if _, present := s.cached[link.Hash]; !present {
			return position
		}
	}
	return len(s.prompt)
}
