package prefixindex_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// promptByID returns the links of a prompt by the given chunk IDs, with 100 tokens per
// chunk.
func promptByID(ids ...string) []prefixindex.Link {
	var chunks []prefixindex.Chunk
	for _, id := range ids {
		chunks = append(chunks, prefixindex.Chunk{ID: id, Tokens: 100})
	}
	return prefixindex.LinksByID("model", "salt", chunks)
}

var _ = Describe("Chunks by ID", func() {
	const owner = prefixindex.Owner(3)
	var (
		index    *prefixindex.Index
		overlaps prefixindex.Overlaps
		links    []prefixindex.Link
	)

	BeforeEach(func() {
		index = prefixindex.New(prefixindex.Options{})
		links = promptByID("a", "b", "c")
	})

	overlapAt := func(now time.Duration) prefixindex.Overlap {
		index.Overlaps(now, links, &overlaps)
		return overlaps.Of(owner)
	}
	extent := func(chunks int, tokens uint32) prefixindex.Extent {
		return prefixindex.Extent{Chunks: chunks, Tokens: tokens}
	}

	It("have hashes that depend on model, salt and ID but not on the position", func() {
		Expect(promptByID("x", "a")[1]).To(Equal(promptByID("a")[0]))
		Expect(promptByID("a")[0].Hash).To(Equal(prefixindex.HashByID("model", "salt", "a")))
		Expect(promptByID("a")[0].Hash).NotTo(Equal(prefixindex.HashByID("model", "other", "a")))
		Expect(promptByID("a")[0].Hash).NotTo(Equal(prefixindex.HashByID("other", "salt", "a")))
		chained := prefixindex.Chain("model", "salt", []prefixindex.Chunk{{ID: "a", Tokens: 100}})
		Expect(promptByID("a")[0].Hash).NotTo(Equal(chained[0].Hash))
	})

	It("count only when all chunks before them are cached", func() {
		index.SetTokens(owner, links[0].Hash, 100)
		index.SetTokens(owner, links[2].Hash, 100)
		Expect(overlapAt(0).Reported).To(Equal(extent(1, 100)))
		index.SetTokens(owner, links[1].Hash, 100)
		Expect(overlapAt(0).Reported).To(Equal(extent(3, 300)))
		index.SetTokens(owner, links[0].Hash, 0)
		Expect(overlapAt(0)).To(BeZero())
	})

	It("count the remaining tokens when their end was evicted, and end the overlap there", func() {
		for _, link := range links {
			index.SetTokens(owner, link.Hash, 100)
		}
		index.SetTokens(owner, links[1].Hash, 48)
		Expect(overlapAt(0)).To(Equal(prefixindex.Overlap{Reported: extent(1, 148), Likely: extent(1, 148)}))
		index.SetTokens(owner, links[0].Hash, 16)
		Expect(overlapAt(0).Reported).To(Equal(extent(0, 16)))
	})

	It("count as complete when they are predicted", func() {
		index.SetTokens(owner, links[0].Hash, 16)
		index.PredictFor(0, time.Second, owner, links[:2])
		Expect(overlapAt(0)).To(Equal(prefixindex.Overlap{Reported: extent(0, 16), Likely: extent(2, 200)}))
		Expect(overlapAt(time.Second).Likely).To(Equal(extent(0, 16)))
	})

	It("become predictions when reports were lost, until they are reported again or the TTL expires", func() {
		index.SetTokens(owner, links[0].Hash, 100)
		index.SetTokens(owner, links[1].Hash, 32)
		index.DemoteReported(0, 10*time.Second, owner)
		Expect(overlapAt(0)).To(Equal(prefixindex.Overlap{Likely: extent(1, 132)}))
		index.SetTokens(owner, links[0].Hash, 100)
		Expect(overlapAt(0)).To(Equal(prefixindex.Overlap{Reported: extent(1, 100), Likely: extent(1, 132)}))
		Expect(overlapAt(10 * time.Second)).To(Equal(prefixindex.Overlap{Reported: extent(1, 100), Likely: extent(1, 100)}))
		Expect(index.Stats().Sized).To(Equal(1))
	})

	It("are removed with their sizes when their owner is dropped", func() {
		index.SetTokens(owner, links[0].Hash, 100)
		index.SetTokens(owner+1, links[0].Hash, 50)
		index.DemoteReported(0, time.Second, owner)
		index.Drop(owner)
		Expect(overlapAt(0)).To(BeZero())
		Expect(index.Stats().Sized).To(Equal(1))
	})

	It("are ignored beyond MaxSized", func() {
		index = prefixindex.New(prefixindex.Options{MaxSized: 2})
		for _, link := range links {
			index.SetTokens(owner, link.Hash, 100)
		}
		Expect(index.Stats()).To(And(HaveField("Sized", 2), HaveField("Reported", 2)))
		Expect(overlapAt(0).Reported).To(Equal(extent(2, 200)))
	})

	It("give the same overlaps as a reference model under random changes", func() {
		random := rand.New(rand.NewPCG(7, 7))
		const owners, chunks = 70, 6
		var ids []string
		for number := range chunks {
			ids = append(ids, fmt.Sprint(number))
		}
		links = promptByID(ids...)
		var cached [owners][chunks]uint32
		for range 5000 {
			changed, chunk := random.IntN(owners), random.IntN(chunks)
			tokens := uint32(random.IntN(3) * 50)
			cached[changed][chunk] = tokens
			index.SetTokens(prefixindex.Owner(changed), links[chunk].Hash, tokens)
			queried := random.IntN(owners)
			want := prefixindex.Extent{}
			for _, tokens := range cached[queried] {
				want.Tokens += tokens
				if tokens < 100 {
					break
				}
				want.Chunks++
			}
			index.Overlaps(0, links, &overlaps)
			Expect(overlaps.Of(prefixindex.Owner(queried)).Reported).To(Equal(want))
		}
	})
})
