package prefixindex_test

import (
	"math/rand/v2"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

var _ = Describe("Index under concurrent use", func() {
	It("always shows what does not change, and never more than was stored", func() {
		// One shard makes writers and readers meet on the same table.
		index := prefixindex.New(prefixindex.Options{Shards: 1})
		const steady, lastChurning, never = prefixindex.Holder(0), prefixindex.Holder(4), prefixindex.Holder(5)
		stable := chain("abcdefgh")
		index.Store(steady, stable)

		var writers, readers sync.WaitGroup
		done := make(chan struct{})
		for holder := steady + 1; holder <= lastChurning; holder++ {
			writers.Go(func() { churn(index, holder, stable) })
		}
		wrong := make([]int, 4)
		for reader := range wrong {
			readers.Go(func() {
				wrong[reader] = watch(index, done, stable, steady, never)
			})
		}
		writers.Wait()
		close(done)
		readers.Wait()
		Expect(wrong).To(HaveEach(0))
		Expect(index.Stats().Reported).To(Equal(len(stable)))
	})
})

// churn stores, removes, resets and drops parts of one holder, and ends with
// none.
func churn(index *prefixindex.Index, holder prefixindex.Holder, links []prefixindex.Link) {
	random := rand.New(rand.NewPCG(uint64(holder), 1))
	for range 400 {
		index.Store(holder, links)
		others := make([]prefixindex.Link, random.IntN(64))
		for at := range others {
			others[at] = prefixindex.Link{Hash: prefixindex.ChainHash(random.Uint64()), Tokens: 1}
		}
		index.Store(holder, others)
		index.Predict(0, holder, others)
		index.Remove(holder, hashes(links[:4]))
		index.Reset(holder, links[:2])
		index.Drop(holder)
	}
}

// watch counts lookups that miss the steady holder or find the one that never
// stored anything.
func watch(index *prefixindex.Index, done <-chan struct{}, links []prefixindex.Link, steady, never prefixindex.Holder) int {
	var overlaps prefixindex.Overlaps
	wrong := 0
	for {
		select {
		case <-done:
			return wrong
		default:
		}
		index.Overlaps(0, links, &overlaps)
		if overlaps.Of(steady).Reported.Parts != len(links) || overlaps.Of(never).Likely.Parts != 0 {
			wrong++
		}
	}
}
