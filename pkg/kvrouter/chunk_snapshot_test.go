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
	var full, started *kvrouter.Router
	BeforeEach(func() {
		full = kvrouter.New(kvrouter.Options{})
		started = kvrouter.New(kvrouter.Options{})
	})

	// report reports the change with a number to a router.
	report := func(router *kvrouter.Router, sequence uint64, chunk, tokens int) {
		router.ChunksReported(0, address, cachefeed.Position{Incarnation: incarnation, From: sequence - 1, Next: sequence},
			[]cachefeed.ChunkChange{{Sequence: sequence, ID: fmt.Sprint(chunk), Tokens: uint32(tokens), Removed: tokens == 0}})
	}
	// snapshotOf returns what a router has recorded, and whether that is all.
	snapshotOf := func(router *kvrouter.Router) (map[uint64]uint32, bool) {
		at, chunks, present := router.ChunksSnapshot(address)
		Expect(present).To(BeTrue())
		cached := make(map[uint64]uint32)
		for _, chunk := range chunks {
			cached[uint64(chunk.Hash)] = chunk.Tokens
		}
		return cached, !at.Lost
	}
	// same expects that the started router has recorded the same as the other one.
	same := func() {
		wanted, _ := snapshotOf(full)
		got, complete := snapshotOf(started)
		ExpectWithOffset(1, got).To(Equal(wanted))
		ExpectWithOffset(1, complete).To(BeTrue())
	}
	adopt := func(router *kvrouter.Router, at cachefeed.Position, chunks []cachefeed.ChunkChange) cachefeed.Status {
		return router.AdoptChunks(0, address, at, chunks)
	}

	It("is unknown for a replica that has reported nothing", func() {
		_, _, present := full.ChunksSnapshot(address)
		Expect(present).To(BeFalse())
	})

	It("is all that a router without reports has, and later changes follow it", func() {
		report(full, 1, 1, 10)
		report(full, 2, 2, 20)
		at, chunks, _ := full.ChunksSnapshot(address)
		Expect(adopt(started, at, chunks)).To(Equal(cachefeed.Accepted))
		same()
		for _, router := range []*kvrouter.Router{full, started} {
			report(router, 3, 1, 0)
			report(router, 4, 3, 30)
		}
		same()
	})

	It("fits before the changes that a started router has followed, at whatever time it is made", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			full, started = kvrouter.New(kvrouter.Options{}), kvrouter.New(kvrouter.Options{})
			const changes = 60
			begins := 2 + random.IntN(changes-2)
			made := begins - 1 + random.IntN(changes-begins+1)
			adoptedAt := max(begins, made) + random.IntN(changes-max(begins, made)+1)
			var at cachefeed.Position
			var chunks []cachefeed.ChunkChange
			for sequence := 1; sequence <= changes; sequence++ {
				chunk, tokens := random.IntN(8), random.IntN(3)*50
				report(full, uint64(sequence), chunk, tokens)
				if sequence == made {
					at, chunks, _ = full.ChunksSnapshot(address)
				}
				if sequence >= begins {
					report(started, uint64(sequence), chunk, tokens)
				}
				if sequence == adoptedAt {
					Expect(adopt(started, at, chunks)).To(Equal(cachefeed.Accepted), "begins %d, made %d, adopted at %d", begins, made, adoptedAt)
				}
			}
			same()
		}
	})

	It("is stale if changes between it and those that were followed are missing", func() {
		report(full, 1, 1, 10)
		at, chunks, _ := full.ChunksSnapshot(address)
		report(started, 3, 2, 20)
		Expect(adopt(started, at, chunks)).To(Equal(cachefeed.Stale))
		cached, complete := snapshotOf(started)
		Expect(cached).To(HaveLen(1))
		Expect(complete).To(BeFalse())
	})

	It("is stale for a router that has followed every change", func() {
		report(full, 1, 1, 10)
		at, chunks, _ := full.ChunksSnapshot(address)
		report(started, 1, 1, 10)
		report(started, 2, 1, 0)
		Expect(adopt(started, at, chunks)).To(Equal(cachefeed.Stale))
		cached, _ := snapshotOf(started)
		Expect(cached).To(BeEmpty())
	})

	It("is stale if it is of another start of the replica", func() {
		report(full, 1, 1, 10)
		at, chunks, _ := full.ChunksSnapshot(address)
		at.Incarnation++
		report(started, 3, 2, 20)
		Expect(adopt(started, at, chunks)).To(Equal(cachefeed.Stale))
		Expect(adopt(started, cachefeed.Position{Incarnation: incarnation, Next: 3}, chunks)).To(Equal(cachefeed.Accepted))
	})

	It("stays incomplete if the router that made it has missed something", func() {
		report(full, 5, 1, 10)
		at, chunks, _ := full.ChunksSnapshot(address)
		Expect(at.Lost).To(BeTrue())
		Expect(adopt(started, at, chunks)).To(Equal(cachefeed.Accepted))
		cached, complete := snapshotOf(started)
		Expect(cached).To(HaveLen(1))
		Expect(complete).To(BeFalse())
	})

	It("cannot be adopted before changes of which some were lost", func() {
		report(full, 1, 1, 10)
		report(full, 2, 2, 10)
		at, chunks, _ := full.ChunksSnapshot(address)
		report(started, 2, 2, 10)
		started.ChunksReported(time.Second, address, cachefeed.Position{Incarnation: incarnation, From: 5, Next: 6, Lost: true}, nil)
		Expect(adopt(started, at, chunks)).To(Equal(cachefeed.Stale))
	})
})
