package prefixindex_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// benchmarkOwners is the number of owners: the replicas and the store of one pool.
	benchmarkOwners = 19
	// benchmarkDepth is the number of chunks of a prompt.
	benchmarkDepth = 32
	// benchmarkPrompts is the number of prompts in the index. The benchmarkFamilySize
	// prompts of one family share the first half of their chunks.
	benchmarkPrompts    = 4096
	benchmarkFamilySize = 64
)

// benchmarkChains returns the prompts of the benchmarks.
func benchmarkChains() [][]prefixindex.Link {
	chains := make([][]prefixindex.Link, benchmarkPrompts)
	for prompt := range chains {
		chunks := make([]prefixindex.Chunk, benchmarkDepth)
		for position := range chunks {
			source := prompt
			if position < benchmarkDepth/2 {
				source = prompt / benchmarkFamilySize
			}
			chunks[position] = prefixindex.Chunk{ID: fmt.Sprint(source, "/", position), Tokens: 512}
		}
		chains[prompt] = prefixindex.Chain("model", "salt", chunks)
	}
	return chains
}

// newFilledIndex returns an index in which each prompt is stored for randomly drawn
// owners, a third of their number.
func newFilledIndex(chains [][]prefixindex.Link) *prefixindex.Index {
	index := prefixindex.New(prefixindex.Options{})
	random := rand.New(rand.NewPCG(1, 2))
	for _, links := range chains {
		for range benchmarkOwners / 3 {
			index.Store(prefixindex.Owner(random.IntN(benchmarkOwners)), links)
		}
	}
	return index
}

// BenchmarkLookup looks up prompts of 32 chunks on all cores.
func BenchmarkLookup(b *testing.B) {
	chains := benchmarkChains()
	index := newFilledIndex(chains)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		var overlaps prefixindex.Overlaps
		random := rand.New(rand.NewPCG(3, 4))
		for pb.Next() {
			index.Overlaps(0, chains[random.IntN(len(chains))], &overlaps)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
	b.ReportMetric(float64(b.N)*benchmarkDepth/b.Elapsed().Seconds(), "chunks/s")
}

// BenchmarkLookupHotPrompt looks up one prompt on all cores.
func BenchmarkLookupHotPrompt(b *testing.B) {
	chains := benchmarkChains()
	index := newFilledIndex(chains)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		var overlaps prefixindex.Overlaps
		for pb.Next() {
			index.Overlaps(0, chains[0], &overlaps)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
}

// BenchmarkEvents stores and removes chunks, one at a time. Each worker changes the
// chunks of its own owner.
func BenchmarkEvents(b *testing.B) {
	chains := benchmarkChains()
	index := newFilledIndex(chains)
	var owners atomic.Uint32
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		owner := prefixindex.Owner(owners.Add(1) + benchmarkOwners)
		writeEvents(pb, index, owner, chains)
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
}

func writeEvents(pb *testing.PB, index *prefixindex.Index, owner prefixindex.Owner, chains [][]prefixindex.Link) {
	random := rand.New(rand.NewPCG(uint64(owner), 5))
	removed := make([]prefixindex.ChainHash, 1)
	for pb.Next() {
		links := chains[random.IntN(len(chains))]
		at := random.IntN(len(links))
		if random.IntN(2) == 0 {
			index.Store(owner, links[at:at+1])
			continue
		}
		removed[0] = links[at].Hash
		index.Remove(owner, removed)
	}
}

// BenchmarkMixed writes events on one worker in four and looks up prompts on the
// others. One operation is a lookup or an event.
func BenchmarkMixed(b *testing.B) {
	chains := benchmarkChains()
	index := newFilledIndex(chains)
	var workers atomic.Uint32
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		worker := workers.Add(1)
		if worker%4 == 1 {
			writeEvents(pb, index, prefixindex.Owner(worker+benchmarkOwners), chains)
			return
		}
		var overlaps prefixindex.Overlaps
		random := rand.New(rand.NewPCG(uint64(worker), 6))
		for pb.Next() {
			index.Overlaps(0, chains[random.IntN(len(chains))], &overlaps)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "operations/s")
}

// BenchmarkMemory fills an index with a million pairs of a chunk and an owner, and
// reports the growth of the heap per pair. With one owner per chunk a pair takes the
// most memory, since the owners of one chunk share its slot.
func BenchmarkMemory(b *testing.B) {
	for _, owners := range []int{1, 4, 16} {
		b.Run(fmt.Sprint("owners=", owners), func(b *testing.B) { measureMemory(b, owners) })
	}
}

func measureMemory(b *testing.B, ownersPerChunk int) {
	b.Helper()
	const pairs = 1_000_000
	links := make([]prefixindex.Link, pairs/ownersPerChunk)
	random := rand.New(rand.NewPCG(7, 8))
	for at := range links {
		links[at] = prefixindex.Link{Hash: prefixindex.ChainHash(random.Uint64()), Tokens: 512}
	}
	heapGrowth := uint64(0)
	for range b.N {
		before := heapInUse()
		index := prefixindex.New(prefixindex.Options{})
		for owner := range prefixindex.Owner(ownersPerChunk) {
			index.Store(owner, links)
		}
		heapGrowth = heapInUse() - before
		runtime.KeepAlive(index)
	}
	b.ReportMetric(float64(heapGrowth)/pairs, "bytes/block")
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
