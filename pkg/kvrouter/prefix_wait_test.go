package kvrouter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// withSuffix returns a prompt of shared chunks followed by a chunk of its own.
func withSuffix(shared int, suffix string) []prefixindex.Chunk {
	return append(longPrompt(shared), prefixindex.Chunk{ID: suffix, Tokens: 500})
}

var _ = Describe("A prompt whose prefix a replica is computing for an earlier request", func() {
	soon := baseTime + 50*time.Millisecond

	It("waits until the replica has computed the prefix", func() {
		f := newEngineFleet("a")
		first := f.choose(baseTime, withSuffix(8, "first"))
		Expect(first.Wait).To(BeNil())
		second := f.choose(soon, withSuffix(8, "second"))
		Expect(second.Wait).NotTo(BeNil())
		Expect(second.OverlapTokens).To(Equal(uint32(8000)))
		Expect(second.Wait.Done(soon)).To(BeFalse())
		changed := second.Wait.Changed()
		Expect(changed).NotTo(BeClosed())
		firstTokenAt := baseTime + 250*time.Millisecond
		first.Reservation.FirstToken(firstTokenAt)
		Expect(changed).To(BeClosed())
		Expect(second.Wait.Done(firstTokenAt)).To(BeTrue())
		Expect(f.choose(firstTokenAt, withSuffix(8, "third")).Wait).To(BeNil())
	})

	It("waits for a prompt that another router has sent, until the replica reports the chunks", func() {
		f := newEngineFleet("a")
		f.caches("a", 1)
		links := kvrouter.ByID.Links(model, salt(version), longPrompt(8))
		f.router.ObserveDispatchLinks(baseTime, "a", links)
		decision := f.choose(soon, withSuffix(8, "own"))
		Expect(decision.Wait).NotTo(BeNil())
		Expect(decision.Wait.Done(soon)).To(BeFalse())
		changed := decision.Wait.Changed()
		var changes []cachefeed.ChunkChange
		for chunk := range 8 {
			changes = append(changes, cachedChange(uint64(chunk+2), chunk, 1000))
		}
		f.router.ChunksReported(soon, "a", feedPosition(1, 9), changes)
		Expect(changed).To(BeClosed())
		Expect(decision.Wait.Done(soon)).To(BeTrue())
	})

	It("stops waiting when the earlier request is cancelled before its first token", func() {
		f := newEngineFleet("a")
		first := f.choose(baseTime, withSuffix(8, "first"))
		second := f.choose(soon, withSuffix(8, "second"))
		changed := second.Wait.Changed()
		first.Reservation.Cancelled(soon)
		Expect(changed).To(BeClosed())
		Expect(second.Wait.Done(soon)).To(BeTrue())
	})

	It("stops waiting when another instance takes over the replica's address", func() {
		f := newEngineFleet("a")
		f.choose(baseTime, withSuffix(8, "first"))
		second := f.choose(soon, withSuffix(8, "second"))
		changed := second.Wait.Changed()
		f.candidates[0].Instance = "second"
		f.choose(soon, longPrompt(1))
		Expect(changed).To(BeClosed())
		Expect(second.Wait.Done(soon)).To(BeTrue())
	})

	It("waits no longer than 1.5 times the expected time plus a margin, nor than MaxWait", func() {
		f := newEngineFleet("a")
		f.choose(baseTime, withSuffix(8, "first"))
		second := f.choose(baseTime, withSuffix(8, "second"))
		Expect(second.Wait.Deadline() - baseTime).To(BeNumerically("~", 420*time.Millisecond, 10*time.Millisecond))
		Expect(second.Wait.Done(second.Wait.Deadline())).To(BeTrue())
		f.modifyRequest = func(request *kvrouter.Request) { request.MaxWait = 30 * time.Millisecond }
		third := f.choose(baseTime, withSuffix(8, "third"))
		Expect(third.Wait.Deadline() - baseTime).To(Equal(30 * time.Millisecond))
	})

	It("waits no longer than two seconds, regardless of the replica's backlog", func() {
		f := newEngineFleet("a")
		f.choose(baseTime, append(longPrompt(60), prefixindex.Chunk{ID: "first", Tokens: 500}))
		f.hasBacklog(baseTime, "a", 5, 20_000)
		f.modifyRequest = func(request *kvrouter.Request) { request.MaxWait = time.Minute }
		second := f.choose(baseTime, append(longPrompt(60), prefixindex.Chunk{ID: "second", Tokens: 500}))
		Expect(second.Wait.Deadline() - baseTime).To(Equal(2 * time.Second))
	})

	It("does not wait for a short common prefix", func() {
		f := newEngineFleet("a")
		f.choose(baseTime, []prefixindex.Chunk{{ID: "short", Tokens: 200}, {ID: "x", Tokens: 8000}})
		Expect(f.choose(soon, []prefixindex.Chunk{{ID: "short", Tokens: 200}, {ID: "y", Tokens: 8000}}).Wait).To(BeNil())
	})

	It("does not wait for a less urgent prompt that takes longer than the wait saves", func() {
		f := newEngineFleet("a")
		f.modifyRequest = func(request *kvrouter.Request) { request.Priority = 7 }
		f.choose(baseTime, append(longPrompt(2), prefixindex.Chunk{ID: "long", Tokens: 40_000}))
		f.modifyRequest = func(request *kvrouter.Request) { request.Priority = 0 }
		f.settings.LessUrgentWeight = 0.1
		urgent := f.choose(baseTime, withSuffix(2, "urgent"))
		Expect(urgent.Wait).To(BeNil())
		Expect(urgent.OverlapTokens).To(BeZero())
	})

	It("does not wait for a replica that already caches the prefix", func() {
		f := newEngineFleet("a")
		f.caches("a", 8)
		f.choose(baseTime, withSuffix(8, "first"))
		Expect(f.choose(soon, withSuffix(8, "second")).Wait).To(BeNil())
	})
})
