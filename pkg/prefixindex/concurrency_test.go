package prefixindex_test

import (
	"math/rand/v2"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

var _ = Describe("Index under concurrent use", func() {
	It("always finds chunks that do not change, and never an owner that stored nothing", func() {
		// With one shard, all writers and readers access the same table.
		index := prefixindex.New(prefixindex.Options{Shards: 1})
		const stableOwner, lastChurning, absentOwner = prefixindex.Owner(0), prefixindex.Owner(4), prefixindex.Owner(5)
		stable := chain(strings.Repeat("abcdefgh", 8))
		index.Store(stableOwner, stable)

		var writers, readers sync.WaitGroup
		done := make(chan struct{})
		for owner := stableOwner + 1; owner <= lastChurning; owner++ {
			writers.Go(func() { churn(index, owner, stable) })
		}
		wrong := make([]int, 4)
		for reader := range wrong {
			readers.Go(func() {
				wrong[reader] = countWrongLookups(index, done, stable, stableOwner, absentOwner)
			})
		}
		writers.Wait()
		close(done)
		readers.Wait()
		Expect(wrong).To(HaveEach(0))
		Expect(index.Stats().Reported).To(Equal(len(stable)))
	})

	It("never reports the owner of a chunk for another chunk that moves to its slot", func() {
		index := prefixindex.New(prefixindex.Options{Shards: 1})
		const firstOwner, secondOwner = prefixindex.Owner(1), prefixindex.Owner(2)
		firstChunk := []prefixindex.Link{{Hash: prefixindex.CollidingHash(1), Tokens: 1}}
		secondChunk := []prefixindex.Link{{Hash: prefixindex.CollidingHash(2), Tokens: 1}}
		done := make(chan struct{})
		wrong := make([]int, 3)
		var readers sync.WaitGroup
		for reader := range wrong {
			readers.Go(func() { wrong[reader] = countWrongLookups(index, done, secondChunk, noOwner, firstOwner) })
		}
		for range 100_000 {
			index.Store(firstOwner, firstChunk)
			index.Store(secondOwner, secondChunk)
			// The second chunk moves to the slot of the first.
			index.Remove(firstOwner, hashes(firstChunk))
			index.Remove(secondOwner, hashes(secondChunk))
		}
		close(done)
		readers.Wait()
		Expect(wrong).To(HaveEach(0))
	})
})

// noOwner is passed to countWrongLookups when no owner caches all chunks throughout.
const noOwner = prefixindex.Owner(1 << 20)

// churn stores, removes, resets and drops chunks of one owner, and ends with none.
// Removals move other chunks to other slots.
func churn(index *prefixindex.Index, owner prefixindex.Owner, links []prefixindex.Link) {
	random := rand.New(rand.NewPCG(uint64(owner), 1))
	randomChunks := make([]prefixindex.Link, 64)
	for round := range 600 {
		for at := range randomChunks {
			randomChunks[at] = prefixindex.Link{Hash: prefixindex.ChainHash(random.Uint64()), Tokens: 1}
		}
		index.Store(owner, randomChunks)
		index.Store(owner, links)
		index.Predict(0, owner, randomChunks[:8])
		index.Remove(owner, hashes(randomChunks))
		index.Remove(owner, hashes(links[:4]))
		if round%100 == 0 {
			index.Reset(owner, links[:2])
		}
	}
	index.Drop(owner)
}

// countWrongLookups looks up links until done is closed, and counts the lookups that miss
// a chunk of the stable owner or find the absent owner.
func countWrongLookups(index *prefixindex.Index, done <-chan struct{}, links []prefixindex.Link, stable, absent prefixindex.Owner) int {
	var overlaps prefixindex.Overlaps
	wrong := 0
	for {
		select {
		case <-done:
			return wrong
		default:
		}
		index.Overlaps(0, links, &overlaps)
		missing := stable != noOwner && overlaps.Of(stable).Reported.Chunks != len(links)
		if missing || overlaps.Of(absent).Likely.Chunks != 0 {
			wrong++
		}
	}
}
