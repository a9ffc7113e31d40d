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
	whole := links(prompt(10))

	BeforeEach(func() { f = newFleet(slowLinks, "a") })

	keptBlocks := func(now time.Duration) int {
		return int(f.overlap(now, "a", prompt(10)) / blockTokens)
	}
	stored := func(now time.Duration, sequence uint64, first, last int) cachefeed.Status {
		return f.router.Stored(now, "a", firstIncarnation, sequence, whole[first:last+1])
	}
	removed := func(now time.Duration, sequence uint64, first, last int) cachefeed.Status {
		return f.router.Removed(now, "a", firstIncarnation, sequence, hashes(whole[first:last+1]))
	}

	It("takes events in once and in order, whatever order they come in", func() {
		Expect(stored(late, 1, 0, 9)).To(Equal(cachefeed.Accepted))
		Expect(stored(late, 3, 5, 5)).To(Equal(cachefeed.Accepted))
		Expect(stored(late, 3, 5, 5)).To(Equal(cachefeed.Duplicate))
		Expect(removed(late, 2, 5, 5)).To(Equal(cachefeed.Accepted))
		Expect(keptBlocks(late)).To(Equal(10))
		Expect(removed(late, 2, 5, 5)).To(Equal(cachefeed.Duplicate))
		Expect(stored(late, 0, 0, 0)).To(Equal(cachefeed.Stale))
		Expect(keptBlocks(late)).To(Equal(10))
		Expect(f.router.ResyncNeeded(late + time.Minute)).To(BeEmpty())
	})

	It("asks for a reset when a missing event does not come in time", func() {
		stored(late, 1, 0, 3)
		Expect(stored(late, 3, 6, 9)).To(Equal(cachefeed.Accepted))
		Expect(f.router.ResyncNeeded(late + 499*time.Millisecond)).To(BeEmpty())
		Expect(f.router.ResyncNeeded(late + 500*time.Millisecond)).To(Equal([]string{"a"}))
		Expect(stored(late+time.Second, 4, 4, 4)).To(Equal(cachefeed.Gap))
		Expect(keptBlocks(late + time.Second)).To(Equal(5))
		Expect(f.router.Reset(late+time.Second, "a", firstIncarnation, 4, whole)).To(Equal(cachefeed.Accepted))
		Expect(f.router.ResyncNeeded(late + time.Minute)).To(BeEmpty())
		Expect(keptBlocks(late + time.Second)).To(Equal(10))
	})

	It("asks for a reset when too many events wait for a missing one", func() {
		for sequence := range uint64(kvrouter.DefaultReorderWindow) {
			Expect(stored(late, sequence+2, 0, 0)).To(Equal(cachefeed.Accepted))
		}
		Expect(stored(late, kvrouter.DefaultReorderWindow+2, 0, 0)).To(Equal(cachefeed.Gap))
	})

	It("notices from a load report that the newest events were lost", func() {
		stored(late, 1, 0, 3)
		report := kvrouter.Report{WeightVersion: version, Incarnation: firstIncarnation, LastSequence: 3}
		f.router.Report(late, "a", report)
		Expect(f.router.ResyncNeeded(late + 4*time.Second)).To(BeEmpty())
		Expect(f.router.ResyncNeeded(late + 5*time.Second)).To(Equal([]string{"a"}))
		f.router.Reset(late+5*time.Second, "a", firstIncarnation, 3, nil)
		f.router.Report(late+5*time.Second, "a", report)
		Expect(f.router.ResyncNeeded(late + time.Hour)).To(BeEmpty())
	})

	It("gives uncertain chunks less credit until a reset", func() {
		f.settings.LocalCredit = 1
		stored(late, 1, 0, 9)
		certain := f.choose(late, prompt(10))
		certain.Reservation.Finish(late, false)
		stored(late, 3, 0, 0)
		doubtful := f.choose(late, prompt(10))
		doubtful.Reservation.Finish(late, false)
		Expect(doubtful.Cost - certain.Cost).To(BeNumerically("~", 10*(1-kvrouter.DefaultGuessCredit)))
		Expect(doubtful.OverlapTokens).To(Equal(certain.OverlapTokens))
	})

	It("drops everything on a new incarnation, and ignores late events of the old one", func() {
		stored(late, 1, 0, 9)
		stored(late, 3, 0, 9)
		Expect(f.router.Stored(late, "a", firstIncarnation+1, 1, whole[:2])).To(Equal(cachefeed.Accepted))
		Expect(keptBlocks(late)).To(Equal(2))
		Expect(stored(late, 2, 0, 9)).To(Equal(cachefeed.Stale))
		Expect(f.router.Reset(late, "a", firstIncarnation, 9, whole)).To(Equal(cachefeed.Stale))
		f.router.Report(late, "a", kvrouter.Report{WeightVersion: version, Incarnation: firstIncarnation, ActiveRequests: 5})
		Expect(f.router.Load(late, "a").ActiveRequests).To(BeZero())
		Expect(keptBlocks(late)).To(Equal(2))
	})

	It("takes a lower incarnation for a late event, unless the present one has fallen silent", func() {
		stored(late, 1, 0, 9)
		lower := func(now time.Duration) cachefeed.Status {
			return f.router.Reset(now, "a", firstIncarnation-1, 1, whole[:2])
		}
		Expect(lower(late + 4*time.Second)).To(Equal(cachefeed.Stale))
		f.isBusyWith(late+4*time.Second, "a", 0, 0, 0)
		Expect(lower(late + 8*time.Second)).To(Equal(cachefeed.Stale))
		Expect(keptBlocks(late)).To(Equal(10))
		Expect(lower(late + 9*time.Second)).To(Equal(cachefeed.Accepted))
		Expect(keptBlocks(late)).To(Equal(2))
	})

	It("drops everything when the weight version changes, by a report or an answer", func() {
		stored(late, 1, 0, 9)
		f.router.Report(late, "a", kvrouter.Report{WeightVersion: "v2", Incarnation: firstIncarnation})
		Expect(keptBlocks(late)).To(BeZero())
		Expect(f.router.ResyncNeeded(late)).To(Equal([]string{"a"}))
		f.router.Reset(late, "a", firstIncarnation, 2, whole)
		Expect(keptBlocks(late)).To(Equal(10))
		f.router.ObserveWeightVersion(late, "a", "v3")
		Expect(keptBlocks(late)).To(BeZero())
	})

	It("ignores a reset that is older than its state", func() {
		stored(late, 1, 0, 9)
		removed(late, 2, 3, 3)
		Expect(f.router.Reset(late, "a", firstIncarnation, 1, whole)).To(Equal(cachefeed.Stale))
		Expect(keptBlocks(late)).To(Equal(3))
	})

	DescribeTable("agrees with the replica over random streams", func(loss float64) {
		for seed := range uint64(60) {
			random := rand.New(rand.NewPCG(seed, 1))
			f = newFleet(slowLinks, "a")
			stream := newReplicaStream(random, f.router, loss)
			for range 300 {
				stream.step()
			}
			stream.deliverAll()
			Expect(f.router.ResyncNeeded(stream.now)).To(BeEmpty(), "seed %d", seed)
			Expect(keptBlocks(stream.now)).To(Equal(stream.leading()), "seed %d", seed)
			Expect(f.router.IndexStats().Reported).To(Equal(len(stream.cached)), "seed %d", seed)
		}
	},
		Entry("doubled and reordered", 0.0),
		Entry("doubled, reordered and lost", 0.1),
	)
})

// streamEvent is an event on its way from a replica to the router.
type streamEvent struct {
	incarnation, sequence uint64
	reset                 bool
	stored                []prefixindex.Link
	removed               []prefixindex.ChainHash
}

// replicaStream is a replica that caches chunks of one prompt at random, and the
// disorderly way of its events to a router.
type replicaStream struct {
	random                *rand.Rand
	router                *kvrouter.Router
	loss                  float64
	now                   time.Duration
	prompt                []prefixindex.Link
	cached                map[prefixindex.ChainHash]prefixindex.Link
	incarnation, sequence uint64
	underway              []streamEvent
}

func newReplicaStream(random *rand.Rand, router *kvrouter.Router, loss float64) *replicaStream {
	return &replicaStream{
		random:      random,
		router:      router,
		loss:        loss,
		now:         late,
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
	// Up to five events are under way and overtake each other.
	for len(s.underway) > 0 && s.random.IntN(6) < len(s.underway) {
		s.deliver(s.random.IntN(len(s.underway)))
	}
	if len(s.router.ResyncNeeded(s.now)) > 0 {
		s.sendReset()
	}
}

func (s *replicaStream) send(sent streamEvent) {
	s.sequence++
	sent.incarnation, sent.sequence = s.incarnation, s.sequence
	if s.random.Float64() >= s.loss {
		s.underway = append(s.underway, sent)
	}
	if s.random.IntN(10) == 0 {
		s.underway = append(s.underway, sent)
	}
}

// sendReset lists what is cached now; like on the wire, it bears the number of
// the newest event.
func (s *replicaStream) sendReset() {
	s.underway = append(s.underway, streamEvent{
		incarnation: s.incarnation,
		sequence:    s.sequence,
		reset:       true,
		stored:      lo.Values(s.cached),
	})
}

func (s *replicaStream) deliver(position int) {
	arrived := s.underway[position]
	s.underway = append(s.underway[:position], s.underway[position+1:]...)
	switch {
	case arrived.reset:
		s.router.Reset(s.now, "a", arrived.incarnation, arrived.sequence, arrived.stored)
	case arrived.removed != nil:
		s.router.Removed(s.now, "a", arrived.incarnation, arrived.sequence, arrived.removed)
	default:
		s.router.Stored(s.now, "a", arrived.incarnation, arrived.sequence, arrived.stored)
	}
}

// deliverAll lets all events arrive, and the router ask for what it misses.
func (s *replicaStream) deliverAll() {
	s.send(streamEvent{stored: s.prompt[:1]})
	s.cached[s.prompt[0].Hash] = s.prompt[0]
	s.router.Report(s.now, "a", kvrouter.Report{Incarnation: s.incarnation, LastSequence: s.sequence})
	for round := 0; round == 0 || len(s.underway) > 0; round++ {
		for len(s.underway) > 0 {
			s.deliver(0)
		}
		s.now += time.Minute
		if len(s.router.ResyncNeeded(s.now)) > 0 {
			s.sendReset()
		}
	}
}

// leading counts the chunks that the replica caches without a gap.
func (s *replicaStream) leading() int {
	for position, link := range s.prompt {
		if _, present := s.cached[link.Hash]; !present {
			return position
		}
	}
	return len(s.prompt)
}
