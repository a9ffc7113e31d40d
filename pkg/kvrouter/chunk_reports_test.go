package kvrouter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const chunkIncarnation = 77

// engineFleet is a router and the replicas of a pool with an engine profile, which report
// chunks by ID.
type engineFleet struct {
	router        *kvrouter.Router
	candidates    []kvrouter.Candidate
	engine        kvrouter.EngineProfile
	settings      kvrouter.Settings
	modifyRequest func(*kvrouter.Request)
}

func newEngineFleet(addresses ...string) *engineFleet {
	f := &engineFleet{
		router:   kvrouter.New(kvrouter.Options{}),
		settings: kvrouter.DefaultEngineSettings(),
		engine: kvrouter.EngineProfile{
			Slots: 4, MemoryTokens: 100_000, BytesPerToken: 20_000, LinkBitsPerSecond: 400e9,
			PrefillTokensPerMillisecond: 40, FirstEvent: 20 * time.Millisecond,
		},
	}
	f.settings.SpreadTime = 0
	for _, address := range addresses {
		f.candidates = append(f.candidates, kvrouter.Candidate{Address: address, Zone: "zone", WeightVersion: version, Instance: "first"})
	}
	return f
}

// longPrompt returns a prompt of chunks of 1,000 tokens each.
func longPrompt(chunks int) []prefixindex.Chunk {
	var prompt []prefixindex.Chunk
	for number := range chunks {
		prompt = append(prompt, prefixindex.Chunk{ID: fmt.Sprint("chunk ", number), Tokens: 1000})
	}
	return prompt
}

func (f *engineFleet) trySelect(now time.Duration, chunks []prefixindex.Chunk) (kvrouter.Decision, error) {
	request := kvrouter.Request{
		Now: now, Model: model, Chunks: chunks, Naming: kvrouter.ByID, OutputTokens: 10,
		SaltFor: salt, Settings: f.settings, Engine: &f.engine, Priority: 5,
	}
	if f.modifyRequest != nil {
		f.modifyRequest(&request)
	}
	return f.router.Select(request, f.candidates)
}

func (f *engineFleet) choose(now time.Duration, chunks []prefixindex.Chunk) kvrouter.Decision {
	decision, err := f.trySelect(now, chunks)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return decision
}

// overlap returns the number of tokens of the prompt that the router expects a replica to
// cache.
func (f *engineFleet) overlap(now time.Duration, address string, chunks []prefixindex.Chunk) uint32 {
	all := f.candidates
	defer func() { f.candidates = all }()
	f.candidates = []kvrouter.Candidate{{Address: address, WeightVersion: version}}
	decision := f.choose(now, chunks)
	decision.Reservation.Cancelled(now)
	return decision.OverlapTokens
}

func cachedChange(sequence uint64, chunk, tokens int) cachefeed.ChunkChange {
	return cachefeed.ChunkChange{
		Sequence: sequence, Salt: salt(version), Model: model,
		ID: fmt.Sprint("chunk ", chunk), Tokens: uint32(tokens), Removed: tokens < 1000,
	}
}

func feedPosition(from, next uint64) cachefeed.Position {
	return cachefeed.Position{Incarnation: chunkIncarnation, From: from, Next: next}
}

var _ = Describe("Reports of chunks by ID", func() {
	var f *engineFleet

	BeforeEach(func() {
		f = newEngineFleet("a", "b")
		first := []cachefeed.ChunkChange{cachedChange(1, 0, 1000), cachedChange(2, 1, 1000), cachedChange(3, 2, 1000)}
		Expect(f.router.ChunksReported(baseTime, "a", feedPosition(0, 3), first)).To(Equal(cachefeed.Accepted))
	})

	overlap := func(now time.Duration) int { return int(f.overlap(now, "a", longPrompt(4))) }

	It("determine the overlap of a prompt, up to the first evicted tokens", func() {
		Expect(overlap(baseTime)).To(Equal(3000))
		f.router.ChunksReported(baseTime, "a", feedPosition(3, 4), []cachefeed.ChunkChange{cachedChange(4, 1, 480)})
		Expect(overlap(baseTime)).To(Equal(1480))
	})

	It("are applied once and in order, in whatever order and however often they arrive", func() {
		removal := []cachefeed.ChunkChange{cachedChange(4, 2, 0)}
		again := []cachefeed.ChunkChange{cachedChange(5, 2, 1000), cachedChange(6, 3, 1000)}
		Expect(f.router.ChunksReported(baseTime, "a", feedPosition(4, 6), again)).To(Equal(cachefeed.Accepted))
		Expect(overlap(baseTime)).To(Equal(3000))
		Expect(f.router.ChunksReported(baseTime, "a", feedPosition(3, 4), removal)).To(Equal(cachefeed.Accepted))
		Expect(overlap(baseTime)).To(Equal(4000))
		Expect(f.router.ChunksReported(baseTime, "a", feedPosition(3, 4), removal)).To(Equal(cachefeed.Duplicate))
		Expect(overlap(baseTime)).To(Equal(4000))
		both := append(removal, again...)
		Expect(f.router.ChunksReported(baseTime, "a", feedPosition(3, 6), both)).To(Equal(cachefeed.Duplicate))
		Expect(overlap(baseTime)).To(Equal(4000))
	})

	It("become predictions and require a resync when some are lost", func() {
		lost := cachefeed.Position{Incarnation: chunkIncarnation, From: 9, Next: 10, Lost: true}
		Expect(f.router.ChunksReported(baseTime, "a", lost, []cachefeed.ChunkChange{cachedChange(10, 0, 1000)})).To(Equal(cachefeed.Gap))
		Expect(overlap(baseTime)).To(Equal(3000))
		Expect(f.router.ResyncNeeded(baseTime)).To(Equal([]string{"a"}))
		Expect(overlap(baseTime + kvrouter.DefaultUncertainTTL)).To(Equal(1000))
		f.router.ChunksReplaced(baseTime, "a", chunkIncarnation, 12, []cachefeed.ChunkChange{cachedChange(0, 0, 1000), cachedChange(0, 1, 1000)})
		Expect(f.router.ResyncNeeded(baseTime)).To(BeEmpty())
		Expect(overlap(2 * baseTime)).To(Equal(2000))
	})

	It("are applied without a missing one after ReorderWait", func() {
		f.router.ChunksReported(baseTime, "a", feedPosition(4, 5), []cachefeed.ChunkChange{cachedChange(5, 3, 1000)})
		Expect(overlap(baseTime)).To(Equal(3000))
		Expect(f.router.ResyncNeeded(baseTime + kvrouter.DefaultReorderWait)).To(Equal([]string{"a"}))
		Expect(overlap(baseTime + kvrouter.DefaultReorderWait)).To(Equal(4000))
	})

	It("are dropped when the replica restarts, and ignored when they belong to an earlier incarnation", func() {
		restarted := cachefeed.Position{Incarnation: chunkIncarnation + 1, Next: 1}
		Expect(f.router.ChunksReported(baseTime, "a", restarted, []cachefeed.ChunkChange{cachedChange(1, 0, 1000)})).To(Equal(cachefeed.Accepted))
		Expect(overlap(baseTime)).To(Equal(1000))
		Expect(f.router.ChunksReported(baseTime, "a", feedPosition(3, 4), []cachefeed.ChunkChange{cachedChange(4, 1, 1000)})).To(Equal(cachefeed.Stale))
		Expect(overlap(baseTime)).To(Equal(1000))
	})

	It("are not replaced by a snapshot that is older than the recorded state", func() {
		Expect(f.router.ChunksReplaced(baseTime, "a", chunkIncarnation, 2, nil)).To(Equal(cachefeed.Stale))
		Expect(overlap(baseTime)).To(Equal(3000))
		incarnation, sequence, found := f.router.ChunksPosition("a")
		Expect([]any{incarnation, sequence, found}).To(Equal([]any{uint64(chunkIncarnation), uint64(3), true}))
	})

	It("are dropped when another instance takes over the address", func() {
		f.choose(baseTime, longPrompt(1)).Reservation.Finish(baseTime, false)
		f.candidates[0].Instance = "second"
		f.choose(baseTime, longPrompt(1)).Reservation.Finish(baseTime, false)
		Expect(overlap(baseTime)).To(BeZero())
	})

	It("are preceded by predictions for requests of this router and of others", func() {
		f.candidates = f.candidates[:1]
		decision := f.choose(baseTime, longPrompt(4))
		Expect(overlap(baseTime)).To(Equal(4000))
		decision.Reservation.FirstToken(baseTime + time.Second)
		decision.Reservation.Finish(baseTime+time.Second, true)
		Expect(overlap(baseTime + 15*time.Second)).To(Equal(4000))
		Expect(overlap(baseTime + time.Second + kvrouter.DefaultByIDPredictionLag)).To(Equal(3000))
		f.router.ObserveDispatch(2*baseTime, "a", model, salt(version), kvrouter.ByID, longPrompt(4))
		Expect(overlap(2 * baseTime)).To(Equal(4000))
	})

	It("end the prediction of an evicted chunk, as does the cancellation of the attempt", func() {
		f.candidates = f.candidates[:1]
		f.choose(baseTime, longPrompt(4)).Reservation.Cancelled(baseTime)
		Expect(overlap(baseTime)).To(Equal(3000))
		decision := f.choose(baseTime, longPrompt(4))
		decision.Reservation.FirstToken(baseTime)
		f.router.ChunksReported(baseTime, "a", feedPosition(3, 4), []cachefeed.ChunkChange{cachedChange(4, 3, 0)})
		Expect(overlap(baseTime)).To(Equal(3000))
	})

	It("match the replica's cache contents under loss, duplication and reordering", func() {
		random := rand.New(rand.NewPCG(3, 3))
		const chunks = 8
		cached := make([]int, chunks)
		copy(cached, []int{1000, 1000, 1000})
		type message struct {
			position cachefeed.Position
			changes  []cachefeed.ChunkChange
		}
		var inFlight []message
		sequence := uint64(3)
		now := baseTime
		for range 3000 {
			now += 10 * time.Millisecond
			from := sequence
			var changes []cachefeed.ChunkChange
			for range 1 + random.IntN(3) {
				sequence++
				chunk := random.IntN(chunks)
				cached[chunk] = []int{0, 480, 1000}[random.IntN(3)]
				changes = append(changes, cachedChange(sequence, chunk, cached[chunk]))
			}
			if random.IntN(200) > 0 {
				inFlight = append(inFlight, message{feedPosition(from, sequence), changes})
			}
			for len(inFlight) > random.IntN(5) {
				at := random.IntN(len(inFlight))
				f.router.ChunksReported(now, "a", inFlight[at].position, inFlight[at].changes)
				if random.IntN(5) > 0 {
					inFlight = append(inFlight[:at], inFlight[at+1:]...)
				}
			}
		}
		for _, remaining := range inFlight {
			f.router.ChunksReported(now, "a", remaining.position, remaining.changes)
		}
		now += time.Second
		if len(f.router.ResyncNeeded(now)) > 0 {
			var all []cachefeed.ChunkChange
			for chunk, tokens := range cached {
				all = append(all, cachedChange(0, chunk, tokens))
			}
			Expect(f.router.ChunksReplaced(now, "a", chunkIncarnation, sequence, all)).To(Equal(cachefeed.Accepted))
		}
		want := 0
		for _, tokens := range cached {
			want += tokens
			if tokens < 1000 {
				break
			}
		}
		Expect(int(f.overlap(now, "a", longPrompt(chunks)))).To(Equal(want))
	})
})
