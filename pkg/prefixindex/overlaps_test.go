package prefixindex_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const chunkTokens = 16

// chunks returns a prompt whose chunks have the letters of ids as their IDs.
func chunks(ids string) []prefixindex.Chunk {
	return lo.Map([]rune(ids), func(id rune, _ int) prefixindex.Chunk {
		return prefixindex.Chunk{ID: string(id), Tokens: chunkTokens}
	})
}

// chain returns the links of such a prompt under one model and salt.
func chain(ids string) []prefixindex.Link {
	return prefixindex.Chain("model", "salt", chunks(ids))
}

func hashes(links []prefixindex.Link) []prefixindex.ChainHash {
	return lo.Map(links, func(link prefixindex.Link, _ int) prefixindex.ChainHash { return link.Hash })
}

func lookUp(index *prefixindex.Index, now time.Duration, links []prefixindex.Link) *prefixindex.Overlaps {
	var overlaps prefixindex.Overlaps
	index.Overlaps(now, links, &overlaps)
	return &overlaps
}

func extent(leading int) prefixindex.Extent {
	return prefixindex.Extent{Chunks: leading, Tokens: uint32(leading) * chunkTokens}
}

var _ = Describe("Overlaps", func() {
	var index *prefixindex.Index

	BeforeEach(func() { index = prefixindex.New(prefixindex.Options{}) })

	reported := func(owner prefixindex.Owner, links []prefixindex.Link) prefixindex.Extent {
		return lookUp(index, 0, links).Of(owner).Reported
	}

	It("counts the leading chunks of each owner", func() {
		index.Store(1, chain("abc"))
		index.Store(2, chain("ab"))
		index.Store(3, chain("axy"))
		overlaps := lookUp(index, 0, chain("abcd"))
		Expect(overlaps.Owners()).To(Equal([]prefixindex.Owner{1, 2, 3}))
		Expect(overlaps.Of(1).Reported).To(Equal(extent(3)))
		Expect(overlaps.Of(2).Reported).To(Equal(extent(2)))
		Expect(overlaps.Of(3).Reported).To(Equal(extent(1)))
		Expect(overlaps.Of(4)).To(BeZero())
	})

	It("distinguishes equal chunks at different positions", func() {
		index.Store(1, chain("ab"))
		Expect(reported(1, chain("aba"))).To(Equal(extent(2)))
		Expect(reported(1, chain("ba"))).To(BeZero())
		index.Store(2, chain("aba")[2:])
		Expect(reported(2, chain("a"))).To(BeZero())
		Expect(reported(2, chain("aba"))).To(BeZero())
	})

	It("ends the overlap of each owner at its first missing chunk", func() {
		links := chain("abcde")
		index.Store(1, links)
		index.Store(2, links)
		index.Remove(1, hashes(links[2:3]))
		Expect(reported(1, links)).To(Equal(extent(2)))
		Expect(reported(2, links)).To(Equal(extent(5)))
		index.Store(1, links[2:3])
		Expect(reported(1, links)).To(Equal(extent(5)))
	})

	It("accepts chunks in any order and more than once", func() {
		links := chain("abcd")
		index.Store(1, links[2:])
		index.Store(1, links[:2])
		index.Store(1, links)
		Expect(reported(1, links)).To(Equal(extent(4)))
		Expect(index.Stats().Reported).To(Equal(4))
	})

	It("never finds chunks under another model or salt", func() {
		index.Store(1, prefixindex.Chain("model", "salt", chunks("abc")))
		Expect(reported(1, prefixindex.Chain("model", "other", chunks("abc")))).To(BeZero())
		Expect(reported(1, prefixindex.Chain("other", "salt", chunks("abc")))).To(BeZero())
		Expect(reported(1, prefixindex.Chain("models", "alt", chunks("abc")))).To(BeZero())
	})

	It("sums the tokens that the prompt states, without integer overflow", func() {
		links := chain("abc")
		index.Store(1, links)
		links[1].Tokens = 1<<32 - 1
		Expect(reported(1, links)).To(Equal(prefixindex.Extent{Chunks: 3, Tokens: 1<<32 - 1}))
	})

	It("holds chunks of 200 owners", func() {
		for owner := range prefixindex.Owner(200) {
			index.Store(owner, chain("abcd")[:1+owner%4])
		}
		overlaps := lookUp(index, 0, chain("abcd"))
		Expect(overlaps.Owners()).To(HaveLen(200))
		for owner := range prefixindex.Owner(200) {
			Expect(overlaps.Of(owner).Reported).To(Equal(extent(1 + int(owner%4))))
		}
	})

	It("replaces the chunks of an owner on Reset, and removes them on Drop", func() {
		index.Store(1, chain("abc"))
		index.Store(2, chain("abc"))
		index.Reset(1, chain("ax"))
		Expect(reported(1, chain("abc"))).To(Equal(extent(1)))
		index.Drop(1)
		Expect(reported(1, chain("abc"))).To(BeZero())
		Expect(reported(2, chain("abc"))).To(Equal(extent(3)))
		Expect(index.Stats().Reported).To(Equal(3))
	})

	It("clears the result of the previous lookup", func() {
		index.Store(7, chain("abc"))
		var overlaps prefixindex.Overlaps
		index.Overlaps(0, chain("abc"), &overlaps)
		index.Overlaps(0, chain("xyz"), &overlaps)
		Expect(overlaps.Owners()).To(BeEmpty())
		Expect(overlaps.Of(7)).To(BeZero())
		index.Overlaps(0, nil, &overlaps)
		Expect(overlaps.Owners()).To(BeEmpty())
	})

	It("allocates no memory when the result is reused", func() {
		links := chain("abcdefgh")
		for owner := range prefixindex.Owner(18) {
			index.Store(owner, links)
		}
		index.Predict(0, 20, links)
		var overlaps prefixindex.Overlaps
		index.Overlaps(0, links, &overlaps)
		allocations := testing.AllocsPerRun(100, func() { index.Overlaps(0, links, &overlaps) })
		Expect(allocations).To(BeZero())
	})
})

var _ = Describe("Predictions", func() {
	const ttl = 120 * time.Second
	links := chain("abcd")

	It("extend the likely overlap but not the reported one", func() {
		index := prefixindex.New(prefixindex.Options{})
		index.Store(1, links[:1])
		index.Predict(0, 1, links[:3])
		overlap := lookUp(index, 0, links).Of(1)
		Expect(overlap.Reported).To(Equal(extent(1)))
		Expect(overlap.Likely).To(Equal(extent(3)))
		Expect(index.Stats()).To(HaveField("Predicted", 3))
		Expect(index.Stats()).To(HaveField("Reported", 1))
	})

	It("expire after their TTL, counted from the last renewal", func() {
		index := prefixindex.New(prefixindex.Options{})
		index.Predict(0, 1, links)
		index.Predict(60*time.Second, 1, links[:2])
		Expect(lookUp(index, ttl-1, links).Of(1).Likely).To(Equal(extent(4)))
		Expect(lookUp(index, ttl, links).Of(1).Likely).To(Equal(extent(2)))
		Expect(lookUp(index, ttl+60*time.Second, links).Of(1)).To(BeZero())
		Expect(index.Stats().Predicted).To(BeZero())
	})

	It("keep the later of two expiries", func() {
		index := prefixindex.New(prefixindex.Options{})
		index.Predict(0, 1, links)
		index.PredictFor(0, time.Second, 1, links)
		Expect(lookUp(index, 2*time.Second, links).Of(1).Likely).To(Equal(extent(4)))
	})

	It("stay within MaxPredicted by dropping those that expire first, with a bounded queue", func() {
		index := prefixindex.New(prefixindex.Options{MaxPredicted: 4})
		index.Predict(0, 1, chain("wxyz"))
		index.Predict(time.Second, 2, links)
		Expect(lookUp(index, time.Second, chain("wxyz")).Of(1)).To(BeZero())
		Expect(lookUp(index, time.Second, links).Of(2).Likely).To(Equal(extent(4)))
		for renewal := range 1000 {
			index.Predict(time.Second+time.Duration(renewal), 2, links)
		}
		Expect(index.Stats().Predicted).To(Equal(4))
		Expect(prefixindex.QueuedExpiries(index)).To(BeNumerically("<", 30))
	})

	It("end when the chunk is removed, and on Reset and Drop of the owner", func() {
		index := prefixindex.New(prefixindex.Options{})
		index.Predict(0, 1, links)
		index.Remove(1, hashes(links[2:3]))
		Expect(lookUp(index, 0, links).Of(1).Likely).To(Equal(extent(2)))
		index.Reset(1, links[:1])
		Expect(lookUp(index, 0, links).Of(1).Likely).To(Equal(extent(1)))
		index.Predict(0, 1, links)
		index.Drop(1)
		Expect(lookUp(index, 0, links).Of(1)).To(BeZero())
	})
})
