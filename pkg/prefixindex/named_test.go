package prefixindex_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// namedPrompt is a prompt of parts of 100 tokens each.
func namedPrompt(ids ...string) []prefixindex.Link {
	var parts []prefixindex.Part
	for _, id := range ids {
		parts = append(parts, prefixindex.Part{ID: id, Tokens: 100})
	}
	return prefixindex.Named("model", "salt", parts)
}

var _ = Describe("Named parts", func() {
	const holder = prefixindex.Holder(3)
	var (
		index    *prefixindex.Index
		overlaps prefixindex.Overlaps
		links    []prefixindex.Link
	)

	BeforeEach(func() {
		index = prefixindex.New(prefixindex.Options{})
		links = namedPrompt("a", "b", "c")
	})

	of := func(now time.Duration) prefixindex.Overlap {
		index.Overlaps(now, links, &overlaps)
		return overlaps.Of(holder)
	}
	extent := func(parts int, tokens uint32) prefixindex.Extent {
		return prefixindex.Extent{Parts: parts, Tokens: tokens}
	}

	It("have the same name wherever they stand, under one model and salt", func() {
		Expect(namedPrompt("x", "a")[1]).To(Equal(namedPrompt("a")[0]))
		Expect(namedPrompt("a")[0].Hash).To(Equal(prefixindex.NamedPart("model", "salt", "a")))
		Expect(namedPrompt("a")[0].Hash).NotTo(Equal(prefixindex.NamedPart("model", "other", "a")))
		Expect(namedPrompt("a")[0].Hash).NotTo(Equal(prefixindex.NamedPart("other", "salt", "a")))
		chained := prefixindex.Chain("model", "salt", []prefixindex.Part{{ID: "a", Tokens: 100}})
		Expect(namedPrompt("a")[0].Hash).NotTo(Equal(chained[0].Hash))
	})

	It("count only when all before them are kept", func() {
		index.Hold(holder, links[0].Hash, 100)
		index.Hold(holder, links[2].Hash, 100)
		Expect(of(0).Reported).To(Equal(extent(1, 100)))
		index.Hold(holder, links[1].Hash, 100)
		Expect(of(0).Reported).To(Equal(extent(3, 300)))
		index.Hold(holder, links[0].Hash, 0)
		Expect(of(0)).To(BeZero())
	})

	It("count the tokens that are left when their end was evicted, and end the walk", func() {
		for _, link := range links {
			index.Hold(holder, link.Hash, 100)
		}
		index.Hold(holder, links[1].Hash, 48)
		Expect(of(0)).To(Equal(prefixindex.Overlap{Reported: extent(1, 148), Likely: extent(1, 148)}))
		index.Hold(holder, links[0].Hash, 16)
		Expect(of(0).Reported).To(Equal(extent(0, 16)))
	})

	It("are taken for whole when they are predicted", func() {
		index.Hold(holder, links[0].Hash, 16)
		index.PredictFor(0, time.Second, holder, links[:2])
		Expect(of(0)).To(Equal(prefixindex.Overlap{Reported: extent(0, 16), Likely: extent(2, 200)}))
		Expect(of(time.Second).Likely).To(Equal(extent(0, 16)))
	})

	It("become guesses when reports were lost, until they are reported again or time is over", func() {
		index.Hold(holder, links[0].Hash, 100)
		index.Hold(holder, links[1].Hash, 32)
		index.Doubt(0, 10*time.Second, holder)
		Expect(of(0)).To(Equal(prefixindex.Overlap{Likely: extent(1, 132)}))
		index.Hold(holder, links[0].Hash, 100)
		Expect(of(0)).To(Equal(prefixindex.Overlap{Reported: extent(1, 100), Likely: extent(1, 132)}))
		Expect(of(10 * time.Second)).To(Equal(prefixindex.Overlap{Reported: extent(1, 100), Likely: extent(1, 100)}))
		Expect(index.Stats().Sized).To(Equal(1))
	})

	It("leave nothing behind when their holder is dropped", func() {
		index.Hold(holder, links[0].Hash, 100)
		index.Hold(holder+1, links[0].Hash, 50)
		index.Doubt(0, time.Second, holder)
		index.Drop(holder)
		Expect(of(0)).To(BeZero())
		Expect(index.Stats().Sized).To(Equal(1))
	})

	It("are bounded", func() {
		index = prefixindex.New(prefixindex.Options{MaxSized: 2})
		for _, link := range links {
			index.Hold(holder, link.Hash, 100)
		}
		Expect(index.Stats()).To(And(HaveField("Sized", 2), HaveField("Reported", 2)))
		Expect(of(0).Reported).To(Equal(extent(2, 200)))
	})

	It("follow a simple model under random changes", func() {
		random := rand.New(rand.NewPCG(7, 7))
		const holders, parts = 70, 6
		var ids []string
		for number := range parts {
			ids = append(ids, fmt.Sprint(number))
		}
		links = namedPrompt(ids...)
		var kept [holders][parts]uint32
		for range 5000 {
			changed, part := random.IntN(holders), random.IntN(parts)
			tokens := uint32(random.IntN(3) * 50)
			kept[changed][part] = tokens
			index.Hold(prefixindex.Holder(changed), links[part].Hash, tokens)
			asked := random.IntN(holders)
			want := prefixindex.Extent{}
			for _, tokens := range kept[asked] {
				want.Tokens += tokens
				if tokens < 100 {
					break
				}
				want.Parts++
			}
			index.Overlaps(0, links, &overlaps)
			Expect(overlaps.Of(prefixindex.Holder(asked)).Reported).To(Equal(want))
		}
	})
})
