package emulator_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

func chain(ids ...string) []prefixindex.Link {
	chunks := lo.Map(ids, func(id string, _ int) prefixindex.Chunk { return prefixindex.Chunk{ID: id, Tokens: 100} })
	return prefixindex.Chain("model", "salt", chunks)
}

func kept(links []prefixindex.Link) []emulator.CachedChunk {
	return lo.Map(links, func(link prefixindex.Link, _ int) emulator.CachedChunk {
		return emulator.CachedChunk{Hash: link.Hash, Tokens: link.Tokens}
	})
}

var _ = Describe("Cache", func() {
	It("evicts the least recently used chain, from its end", func() {
		cache := emulator.NewCache(600)
		old, recent := chain("a", "b", "c"), chain("x", "y")
		cache.PutChain(kept(old))
		cache.Touch(old)
		cache.PutChain(kept(recent))
		cache.Touch(recent)
		_, removed := cache.PutChain(kept(chain("m", "n")))
		Expect(removed).To(Equal(kept(old[2:])))
		Expect(cache.Leading(old)).To(HaveLen(2))
		Expect(cache.Leading(recent)).To(HaveLen(2))
		Expect(cache.CachedTokens()).To(Equal(uint64(600)))
	})

	It("spares a chain that was touched", func() {
		cache := emulator.NewCache(400)
		first, second := chain("a", "b"), chain("x", "y")
		cache.PutChain(kept(first))
		cache.PutChain(kept(second))
		cache.Touch(first)
		cache.PutChain(kept(chain("m", "n")))
		Expect(cache.Leading(first)).To(HaveLen(2))
		Expect(cache.Leading(second)).To(BeEmpty())
	})

	It("does not evict pinned parts, also not for output", func() {
		cache := emulator.NewCache(300)
		pinned := chain("a", "b")
		cache.PutChain(kept(pinned))
		hashes := cache.Pin(pinned)
		stored, removed := cache.PutChain(kept(chain("x", "y", "z")))
		Expect(stored).To(HaveLen(1))
		Expect(removed).To(BeEmpty())
		Expect(cache.Reserve(150)).To(HaveLen(1))
		Expect(cache.Leading(pinned)).To(HaveLen(2))
		cache.Unpin(hashes)
		cache.Release(150)
		stored, _ = cache.PutChain(kept(chain("x", "y", "z")))
		Expect(stored).To(HaveLen(3))
	})

	It("keeps the maker of a part that is put again", func() {
		cache := emulator.NewCache(300)
		chunk := emulator.CachedChunk{Hash: 7, Tokens: 10, Tenant: "first", WeightVersion: "v1"}
		cache.PutChain([]emulator.CachedChunk{chunk})
		again := chunk
		again.Tenant = "second"
		cache.PutChain([]emulator.CachedChunk{again})
		Expect(cache.All()).To(Equal([]emulator.CachedChunk{chunk}))
	})
})
