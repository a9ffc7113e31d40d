package kvrouter_test

import (
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

func otherPrompt(name string, tokens uint32) []prefixindex.Chunk {
	return []prefixindex.Chunk{{ID: name, Tokens: tokens}}
}

func (f *engineFleet) caches(address string, chunks int) {
	var changes []cachefeed.ChunkChange
	for chunk := range chunks {
		changes = append(changes, cachedChange(uint64(chunk+1), chunk, 1000))
	}
	f.router.ChunksReported(baseTime, address, feedPosition(0, uint64(chunks)), changes)
}

// hasBacklog records a load of another router with prompt tokens that are not computed yet.
func (f *engineFleet) hasBacklog(now time.Duration, address string, priority int, tokens float64) {
	load := replicaload.SharedLoad{Requests: 1, DecodeTokens: tokens}
	load.PrefillTokens[priority] = tokens
	f.router.SetRemoteLoad(now, "other", address, load)
}

var _ = Describe("The time cost model", func() {
	It("selects the replica that caches the prompt, unless its backlog is too long", func() {
		f := newEngineFleet("a", "b")
		f.engine.LinkBitsPerSecond = 1e6
		f.caches("b", 4)
		decision := f.choose(baseTime, longPrompt(5))
		Expect(decision.Address).To(Equal("b"))
		Expect(decision.Instance).To(Equal("first"))
		Expect(decision.ExpectedDelay).To(BeNumerically("~", 45*time.Millisecond, time.Millisecond))
		decision.Reservation.Cancelled(baseTime)
		f.hasBacklog(baseTime, "b", 5, 20_000)
		Expect(f.choose(baseTime, longPrompt(5)).Address).To(Equal("a"))
	})

	It("counts the load announced by other routers for a second, minus the tokens computed since", func() {
		f := newEngineFleet("a", "b")
		f.hasBacklog(baseTime, "a", 5, 8000)
		Expect(f.choose(baseTime, otherPrompt("x", 100)).Address).To(Equal("b"))
		f.candidates = f.candidates[:1]
		delay := func(now time.Duration) time.Duration {
			decision := f.choose(now, otherPrompt(fmt.Sprint(now), 40))
			decision.Reservation.Cancelled(now)
			return decision.ExpectedDelay
		}
		before := delay(baseTime)
		Expect(delay(baseTime + 100*time.Millisecond)).To(BeNumerically("~", before-100*time.Millisecond, 5*time.Millisecond))
		Expect(delay(baseTime + time.Second)).To(BeNumerically("~", 21*time.Millisecond, time.Millisecond))
	})

	It("replaces the earlier load of another router, and returns the local load", func() {
		f := newEngineFleet("a")
		f.hasBacklog(baseTime, "a", 5, 8000)
		f.router.SetRemoteLoad(baseTime, "other", "a", replicaload.SharedLoad{})
		Expect(f.router.LocalLoads(baseTime)).To(BeEmpty())
		decision := f.choose(baseTime, otherPrompt("x", 4000))
		Expect(decision.ExpectedDelay).To(BeNumerically("~", 120*time.Millisecond, time.Millisecond))
		loads := f.router.LocalLoads(baseTime + 50*time.Millisecond)
		Expect(loads).To(HaveLen(1))
		Expect(loads[0].Address).To(Equal("a"))
		Expect(loads[0].PrefillTokens[5]).To(BeNumerically("~", 2000, 1))
		Expect(loads[0].Requests).To(Equal(1.0))
		decision.Reservation.FirstToken(baseTime + 120*time.Millisecond)
		loads = f.router.LocalLoads(baseTime + 120*time.Millisecond)
		Expect(loads[0].PrefillTokens[5]).To(BeZero())
		Expect(loads[0].DecodeTokens).To(BeNumerically(">", 4000))
		decision.Reservation.Finish(baseTime+time.Second, true)
		Expect(f.router.LocalLoads(baseTime + time.Second)).To(Equal([]kvrouter.AddressLoad{{Address: "a"}}))
		Expect(f.router.LocalLoads(baseTime + time.Second)).To(BeEmpty())
	})

	It("sums the loads of several routers, minus the tokens computed in between", func() {
		f := newEngineFleet("a")
		f.choose(baseTime, otherPrompt("first", 100)).Reservation.Cancelled(baseTime)
		for number := range 5 {
			load := replicaload.SharedLoad{Requests: 1}
			load.PrefillTokens[0] = 4000
			f.router.SetRemoteLoad(baseTime, fmt.Sprint(number), "a", load)
		}
		f.modifyRequest = func(request *kvrouter.Request) { request.MaxWait = time.Minute }
		at := baseTime + 250*time.Millisecond
		for number := range 4 {
			f.router.SetRemoteLoad(at, fmt.Sprint(number), "a", replicaload.SharedLoad{})
		}
		decision := f.choose(at, otherPrompt("x", 400))
		// Half of the fifth router's 4,000 tokens have been computed; the local 400 are queued
		// after the other half.
		Expect(decision.ExpectedDelay).To(BeNumerically("~", 80*time.Millisecond, 3*time.Millisecond))
	})

	It("counts less urgent prompts only in part as queued before the request", func() {
		f := newEngineFleet("a")
		f.hasBacklog(baseTime, "a", 7, 8000)
		delayAt := func(priority uint8) time.Duration {
			f.modifyRequest = func(request *kvrouter.Request) { request.Priority = priority }
			decision := f.choose(baseTime, otherPrompt("x", 100))
			decision.Reservation.Cancelled(baseTime)
			return decision.ExpectedDelay
		}
		Expect(delayAt(7) - delayAt(3)).To(BeNumerically("~", 40*time.Millisecond, time.Millisecond))
	})

	It("requires a longer local backlog to send a large body to another zone than a small one", func() {
		f := newEngineFleet("near", "far")
		f.candidates[1].Zone = "another"
		f.hasBacklog(baseTime, "near", 5, 2000)
		addressOf := func(bodyBytes int) string {
			f.modifyRequest = func(request *kvrouter.Request) { request.Zone, request.BodyBytes = "zone", bodyBytes }
			decision := f.choose(baseTime, otherPrompt("x", 1000))
			decision.Reservation.Cancelled(baseTime)
			return decision.Address
		}
		Expect(addressOf(1000)).To(Equal("far"))
		Expect(addressOf(40_000)).To(Equal("near"))
	})

	It("learns that a replica is slow, and avoids it", func() {
		f := newEngineFleet("a", "b")
		all := f.candidates
		now := baseTime
		for round := range 30 {
			for at := range all {
				f.candidates = all[at : at+1]
				decision := f.choose(now, otherPrompt(fmt.Sprint(at, round), 4000))
				took := time.Duration(at+1) * 120 * time.Millisecond
				decision.Reservation.FirstToken(now + took)
				decision.Reservation.Finish(now+took, true)
			}
			now += time.Second
		}
		f.candidates = all
		for round := range 20 {
			decision := f.choose(now, otherPrompt(fmt.Sprint("then ", round), 4000))
			Expect(decision.Address).To(Equal("a"))
			decision.Reservation.Cancelled(now)
		}
	})

	It("avoids replicas whose slots or memory are full, and returns RetryAfter if all are", func() {
		f := newEngineFleet("a", "b")
		f.caches("a", 4)
		f.router.SetRemoteLoad(baseTime, "other", "a", replicaload.SharedLoad{Requests: 4})
		Expect(f.choose(baseTime, longPrompt(4)).Address).To(Equal("b"))
		f.router.Report(baseTime, "b", kvrouter.Report{MemoryUsed: 97_500, MemoryTotal: 100_000, Running: 3})
		f.hasBacklog(baseTime, "a", 0, 80_000)
		f.router.SetRemoteLoad(baseTime, "more", "a", replicaload.SharedLoad{Requests: 4})
		_, err := f.trySelect(baseTime, otherPrompt("x", 4000))
		Expect(err).To(HaveValue(HaveField("Reason", kvrouter.AllBusy)))
		var refused *kvrouter.NoReplicaError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.RetryAfter).To(BeNumerically("<", time.Second))
		f.modifyRequest = func(request *kvrouter.Request) { request.MaxWait = time.Second }
		Expect(f.choose(baseTime, otherPrompt("x", 4000)).Address).To(Equal("b"))
	})

	It("selects replicas in slow start only if the caller permits it", func() {
		f := newEngineFleet("a")
		f.candidates[0].SlowStartUntil = baseTime + time.Second
		_, err := f.trySelect(baseTime, longPrompt(1))
		Expect(err).To(HaveValue(And(
			HaveField("Reason", kvrouter.AllBusy), HaveField("RetryAfter", time.Second))))
		f.modifyRequest = func(request *kvrouter.Request) {
			request.SlowStartAllowed = func(address string) bool { return address == "a" }
		}
		f.choose(baseTime, longPrompt(1)).Reservation.Cancelled(baseTime)
		f.modifyRequest = nil
		f.choose(baseTime+time.Second, longPrompt(1))
	})

	It("prefers the request's own zone when nothing else differs", func() {
		f := newEngineFleet("a", "b", "c")
		f.candidates[1].Zone = "near"
		f.modifyRequest = func(request *kvrouter.Request) { request.Zone = "near" }
		Expect(f.choose(baseTime, longPrompt(2)).Address).To(Equal("b"))
	})

	It("makes routers that do not know each other's load select different replicas", func() {
		chosen := map[string]int{}
		for number := range 30 {
			f := newEngineFleet("a", "b", "c", "d")
			f.router = kvrouter.New(kvrouter.Options{Name: fmt.Sprint(number)})
			f.settings.SpreadTime = 20
			chosen[f.choose(baseTime, longPrompt(2)).Address]++
		}
		Expect(chosen).To(HaveLen(4))
	})
})

var _ = Describe("Pulls and saves with an engine profile", func() {
	var f *engineFleet

	BeforeEach(func() {
		f = newEngineFleet("a", "b")
		f.caches("b", 8)
		f.hasBacklog(baseTime, "b", 0, 40_000)
	})

	It("pulls chunks from a peer when that is faster than prefill", func() {
		decision := f.choose(baseTime, longPrompt(9))
		Expect(decision.Address).To(Equal("a"))
		Expect(decision.Pull).To(HaveValue(And(HaveField("Source", "b"), HaveField("Tokens", uint32(8000)))))
		// The setup of 5 ms, and 8,000 tokens of 20 kB at 400 Gbit/s.
		Expect(decision.Pull.EstimatedTime).To(BeNumerically("~", 8200*time.Microsecond, 10*time.Microsecond))
		Expect(f.router.Load(baseTime, "a").PrefillBlocks).To(BeNumerically("~", 1000.0/blockTokens))
	})

	It("estimates twice the transfer time between zones, and ten times between regions", func() {
		f.candidates[1].Zone = "other"
		Expect(f.choose(baseTime, longPrompt(9)).Pull.EstimatedTime).To(BeNumerically("~", 11400*time.Microsecond, 10*time.Microsecond))
		f.candidates[1].Region = "other"
		g := newEngineFleet("a", "b")
		g.candidates = f.candidates
		g.caches("b", 8)
		g.hasBacklog(baseTime, "b", 0, 40_000)
		Expect(g.choose(baseTime, longPrompt(9)).Pull.EstimatedTime).To(BeNumerically("~", 37*time.Millisecond, 10*time.Microsecond))
	})

	It("includes the wait for an earlier transfer in the time of a further pull, if it plans one", func() {
		f.engine.LinkBitsPerSecond = 8e9
		f.engine.PrefillTokensPerMillisecond = 1
		f.engine.Slots = 0
		f.candidates = f.candidates[:]
		first := f.choose(baseTime, longPrompt(9))
		Expect(first.Pull.EstimatedTime).To(BeNumerically("~", 165*time.Millisecond, time.Millisecond))
		second := f.choose(baseTime, longPrompt(9)[:8])
		if second.Pull != nil {
			Expect(second.Pull.EstimatedTime).To(BeNumerically(">", 165*time.Millisecond))
		}
	})

	Describe("over a link that becomes slow", func() {
		var (
			now      time.Duration
			sequence uint64
		)
		// reportEvicted makes a replica report that it has evicted all chunks of the prompt.
		reportEvicted := func(address string) {
			var changes []cachefeed.ChunkChange
			for chunk := range 9 {
				changes = append(changes, cachedChange(sequence+1, chunk, 0))
			}
			f.router.ChunksReported(now, address, cachefeed.Position{Incarnation: chunkIncarnation, From: sequence, Next: sequence + 1}, changes)
			sequence++
		}
		// runRequest selects for the prompt, sends the first token some time after that, and
		// reports whether a pull was planned.
		runRequest := func(after time.Duration) bool {
			reportEvicted("a")
			f.hasBacklog(now, "b", 0, 40_000)
			decision := f.choose(now, longPrompt(9))
			Expect(decision.Address).To(Equal("a"))
			Expect(decision.Wait).To(BeNil())
			now += after
			decision.Reservation.FirstToken(now)
			decision.Reservation.Finish(now, true)
			return decision.Pull != nil
		}
		BeforeEach(func() { now, sequence = baseTime, 0 })

		It("stops pulling after two late pulls in a row, and tries again later", func() {
			Expect(runRequest(3 * time.Second)).To(BeTrue())
			Expect(runRequest(3*time.Second)).To(BeTrue(), "a single late pull may have another cause than the link")
			Expect(runRequest(time.Second)).To(BeFalse())
			now += time.Minute
			Expect(runRequest(time.Second)).To(BeTrue())
		})

		It("continues to pull if late pulls alternate with pulls in time", func() {
			for range 4 {
				Expect(runRequest(3 * time.Second)).To(BeTrue())
				Expect(runRequest(20 * time.Millisecond)).To(BeTrue())
			}
		})
	})

	It("saves reusable chunks that the store lacks, and saves them once", func() {
		g := newEngineFleet("a")
		g.engine.StoreTokens, g.engine.Slots, g.engine.MemoryTokens = 1_000_000, 0, 0
		g.modifyRequest = func(request *kvrouter.Request) { request.Store, request.StoreZone = "store", "zone" }
		Expect(g.choose(baseTime, otherPrompt("own", 5000)).Save).To(BeFalse())
		first := g.choose(baseTime, longPrompt(3))
		Expect(first.Save).To(BeTrue())
		other := append(longPrompt(2), prefixindex.Chunk{ID: "other", Tokens: 500})
		Expect(g.choose(baseTime, other).Save).To(BeFalse())
		first.Reservation.FirstToken(baseTime)
		Expect(g.choose(baseTime+15*time.Second, other).Save).To(BeTrue(), "its last chunk was requested before")
		g.router.ChunksReported(baseTime, "store", feedPosition(0, 2), []cachefeed.ChunkChange{cachedChange(1, 0, 1000), cachedChange(2, 1, 1000)})
		again := append(longPrompt(2), prefixindex.Chunk{ID: "third", Tokens: 500})
		Expect(g.choose(baseTime+time.Hour, again).Save).To(BeFalse())
		g.router.ChunksReported(baseTime+time.Hour, "store", cachefeed.Position{Incarnation: chunkIncarnation + 1, Next: 0}, nil)
		fourth := append(longPrompt(2), prefixindex.Chunk{ID: "fourth", Tokens: 500})
		Expect(g.choose(baseTime+time.Hour, fourth).Save).To(BeTrue(), "the store has restarted without chunks")
		g.engine.StoreTokens = 10_000
		Expect(g.choose(baseTime+time.Hour, longPrompt(5)).Save).To(BeFalse(), "the prompt exceeds the fraction of the store that one prompt may occupy")
	})

	It("pulls chunks from the store that no replica caches", func() {
		g := newEngineFleet("a")
		g.modifyRequest = func(request *kvrouter.Request) { request.Store, request.StoreZone = "store", "zone" }
		g.engine.StoreLinkBitsPerSecond = 40e9
		g.router.ChunksReported(baseTime, "store", feedPosition(0, 2), []cachefeed.ChunkChange{cachedChange(1, 0, 1000), cachedChange(2, 1, 1000)})
		decision := g.choose(baseTime, longPrompt(3))
		Expect(decision.Pull).To(HaveValue(And(HaveField("Source", "store"), HaveField("Tokens", uint32(2000)))))
		Expect(decision.Pull.EstimatedTime).To(BeNumerically("~", 13*time.Millisecond, 10*time.Microsecond))
	})
})
