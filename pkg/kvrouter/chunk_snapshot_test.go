package kvrouter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
)

var _ = Describe("A snapshot of what a replica caches", func() {
	const address = "replica"
	const incarnation = 77
	var followingRouter, newRouter *kvrouter.Router
	BeforeEach(func() {
		followingRouter = kvrouter.New(kvrouter.Options{})
		newRouter = kvrouter.New(kvrouter.Options{})
	})

	// report reports one change of a chunk to a router.
	report := func(router *kvrouter.Router, sequence uint64, chunk, tokens int) {
		router.ChunksReported(0, address, cachefeed.Position{Incarnation: incarnation, From: sequence - 1, Next: sequence},
			[]cachefeed.ChunkChange{{Sequence: sequence, ID: fmt.Sprint(chunk), Tokens: uint32(tokens), Removed: tokens == 0}})
	}
	// snapshotOf returns the chunks that a router has recorded, and whether the record is
	// complete.
	snapshotOf := func(router *kvrouter.Router) (map[uint64]uint32, bool) {
		at, chunks, present := router.ChunksSnapshot(address)
		Expect(present).To(BeTrue())
		cached := make(map[uint64]uint32)
		for _, chunk := range chunks {
			cached[uint64(chunk.Hash)] = chunk.Tokens
		}
		return cached, !at.Lost
	}
	// expectSameChunks expects that both routers have recorded the same chunks and that the
	// record of newRouter is complete.
	expectSameChunks := func() {
		wanted, _ := snapshotOf(followingRouter)
		got, complete := snapshotOf(newRouter)
		ExpectWithOffset(1, got).To(Equal(wanted))
		ExpectWithOffset(1, complete).To(BeTrue())
	}
	adopt := func(router *kvrouter.Router, at cachefeed.Position, chunks []cachefeed.ChunkChange) cachefeed.Status {
		return router.AdoptChunks(0, address, at, chunks)
	}

	It("is not found for a replica that has reported nothing", func() {
		_, _, present := followingRouter.ChunksSnapshot(address)
		Expect(present).To(BeFalse())
	})

	It("becomes the record of a router without reports, which then applies later changes", func() {
		report(followingRouter, 1, 1, 10)
		report(followingRouter, 2, 2, 20)
		at, chunks, _ := followingRouter.ChunksSnapshot(address)
		Expect(adopt(newRouter, at, chunks)).To(Equal(cachefeed.Accepted))
		expectSameChunks()
		for _, router := range []*kvrouter.Router{followingRouter, newRouter} {
			report(router, 3, 1, 0)
			report(router, 4, 3, 30)
		}
		expectSameChunks()
	})

	It("is combined with the later changes that a new router has recorded, whenever it is taken", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			followingRouter, newRouter = kvrouter.New(kvrouter.Options{}), kvrouter.New(kvrouter.Options{})
			const changes = 60
			followedFrom := 2 + random.IntN(changes-2)
			snapshotAt := followedFrom - 1 + random.IntN(changes-followedFrom+1)
			adoptedAt := max(followedFrom, snapshotAt) + random.IntN(changes-max(followedFrom, snapshotAt)+1)
			var at cachefeed.Position
			var chunks []cachefeed.ChunkChange
			for sequence := 1; sequence <= changes; sequence++ {
				chunk, tokens := random.IntN(8), random.IntN(3)*50
				report(followingRouter, uint64(sequence), chunk, tokens)
				if sequence == snapshotAt {
					at, chunks, _ = followingRouter.ChunksSnapshot(address)
				}
				if sequence >= followedFrom {
					report(newRouter, uint64(sequence), chunk, tokens)
				}
				if sequence == adoptedAt {
					Expect(adopt(newRouter, at, chunks)).To(Equal(cachefeed.Accepted), "changes recorded from %d, snapshot taken at %d, adopted at %d", followedFrom, snapshotAt, adoptedAt)
				}
			}
			expectSameChunks()
		}
	})

	It("is stale if changes between it and the recorded changes are missing", func() {
		report(followingRouter, 1, 1, 10)
		at, chunks, _ := followingRouter.ChunksSnapshot(address)
		report(newRouter, 3, 2, 20)
		Expect(adopt(newRouter, at, chunks)).To(Equal(cachefeed.Stale))
		cached, complete := snapshotOf(newRouter)
		Expect(cached).To(HaveLen(1))
		Expect(complete).To(BeFalse())
	})

	It("is stale for a router that has recorded every change", func() {
		report(followingRouter, 1, 1, 10)
		at, chunks, _ := followingRouter.ChunksSnapshot(address)
		report(newRouter, 1, 1, 10)
		report(newRouter, 2, 1, 0)
		Expect(adopt(newRouter, at, chunks)).To(Equal(cachefeed.Stale))
		cached, _ := snapshotOf(newRouter)
		Expect(cached).To(BeEmpty())
	})

	It("is stale if it belongs to another incarnation of the replica", func() {
		report(followingRouter, 1, 1, 10)
		at, chunks, _ := followingRouter.ChunksSnapshot(address)
		at.Incarnation++
		report(newRouter, 3, 2, 20)
		Expect(adopt(newRouter, at, chunks)).To(Equal(cachefeed.Stale))
		Expect(adopt(newRouter, cachefeed.Position{Incarnation: incarnation, Next: 3}, chunks)).To(Equal(cachefeed.Accepted))
	})

	It("stays incomplete if the router that took it has missed changes", func() {
		report(followingRouter, 5, 1, 10)
		at, chunks, _ := followingRouter.ChunksSnapshot(address)
		Expect(at.Lost).To(BeTrue())
		Expect(adopt(newRouter, at, chunks)).To(Equal(cachefeed.Accepted))
		cached, complete := snapshotOf(newRouter)
		Expect(cached).To(HaveLen(1))
		Expect(complete).To(BeFalse())
	})

	It("is stale if the router has lost some of the later changes", func() {
		report(followingRouter, 1, 1, 10)
		report(followingRouter, 2, 2, 10)
		at, chunks, _ := followingRouter.ChunksSnapshot(address)
		report(newRouter, 2, 2, 10)
		newRouter.ChunksReported(time.Second, address, cachefeed.Position{Incarnation: incarnation, From: 5, Next: 6, Lost: true}, nil)
		Expect(adopt(newRouter, at, chunks)).To(Equal(cachefeed.Stale))
	})
})
