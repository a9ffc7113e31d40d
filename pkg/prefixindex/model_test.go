package prefixindex_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// modelIndex is a reference implementation of the index, with a set of hashes for each
// owner.
type modelIndex struct {
	reported  map[prefixindex.Owner]map[prefixindex.ChainHash]bool
	predicted map[prefixindex.Owner]map[prefixindex.ChainHash]time.Duration
}

// modelOwners belong to two partitions.
var modelOwners = []prefixindex.Owner{0, 1, 2, 63, 64}

func newModelIndex() *modelIndex {
	model := &modelIndex{
		reported:  map[prefixindex.Owner]map[prefixindex.ChainHash]bool{},
		predicted: map[prefixindex.Owner]map[prefixindex.ChainHash]time.Duration{},
	}
	for _, owner := range modelOwners {
		model.drop(owner)
	}
	return model
}

func (m *modelIndex) drop(owner prefixindex.Owner) {
	m.reported[owner] = map[prefixindex.ChainHash]bool{}
	m.predicted[owner] = map[prefixindex.ChainHash]time.Duration{}
}

func (m *modelIndex) store(owner prefixindex.Owner, links []prefixindex.Link) {
	for _, link := range links {
		m.reported[owner][link.Hash] = true
	}
}

func (m *modelIndex) remove(owner prefixindex.Owner, hashes []prefixindex.ChainHash) {
	for _, hash := range hashes {
		delete(m.reported[owner], hash)
		delete(m.predicted[owner], hash)
	}
}

func (m *modelIndex) predict(until time.Duration, owner prefixindex.Owner, links []prefixindex.Link) {
	for _, link := range links {
		m.predicted[owner][link.Hash] = max(until, m.predicted[owner][link.Hash])
	}
}

func (m *modelIndex) overlap(now time.Duration, owner prefixindex.Owner, links []prefixindex.Link) prefixindex.Overlap {
	var overlap prefixindex.Overlap
	for position, link := range links {
		reported := m.reported[owner][link.Hash]
		likely := reported || m.predicted[owner][link.Hash] > now
		if reported && overlap.Reported.Chunks == position {
			overlap.Reported = extent(position + 1)
		}
		if likely && overlap.Likely.Chunks == position {
			overlap.Likely = extent(position + 1)
		}
	}
	return overlap
}

// randomPrompt returns a prompt of 1 to 12 chunks with two possible IDs, so that many
// prompts share a prefix.
func randomPrompt(random *rand.Rand) []prefixindex.Link {
	ids := make([]byte, 1+random.IntN(12))
	for at := range ids {
		ids[at] = "ab"[random.IntN(2)]
	}
	return chain(string(ids))
}

// step applies one random change to the index and to the model.
func step(random *rand.Rand, now time.Duration, index *prefixindex.Index, model *modelIndex) {
	owner := modelOwners[random.IntN(len(modelOwners))]
	links := randomPrompt(random)
	some := links[random.IntN(len(links)):]
	switch choice := random.IntN(100); {
	case choice < 45:
		index.Store(owner, some)
		model.store(owner, some)
	case choice < 75:
		index.Remove(owner, hashes(some))
		model.remove(owner, hashes(some))
	case choice < 95:
		index.PredictFor(now, 50*time.Second, owner, some)
		model.predict(now+50*time.Second, owner, some)
	case choice < 98:
		index.Reset(owner, some)
		model.drop(owner)
		model.store(owner, some)
	default:
		index.Drop(owner)
		model.drop(owner)
	}
}

var _ = Describe("Index", func() {
	DescribeTable("gives the same overlaps as a reference model under random changes", func(shards int) {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, uint64(shards)))
			index := prefixindex.New(prefixindex.Options{Shards: shards})
			model := newModelIndex()
			for change := range 1500 {
				now := time.Duration(change) * time.Second / 4
				step(random, now, index, model)
				links := randomPrompt(random)
				overlaps := lookUp(index, now, links)
				for _, owner := range modelOwners {
					Expect(overlaps.Of(owner)).To(Equal(model.overlap(now, owner, links)), "seed %d change %d owner %d", seed, change, owner)
				}
			}
			pairs := 0
			for _, reported := range model.reported {
				pairs += len(reported)
			}
			Expect(index.Stats().Reported).To(Equal(pairs))
		}
	},
		Entry("with one shard, where probe sequences are long", 1),
		Entry("with 4 shards", 4),
		Entry("with 256 shards", 256),
	)

	It("releases the memory of removed chunks and keeps the others", func() {
		index := prefixindex.New(prefixindex.Options{Shards: 1})
		index.Store(2, chain("a"))
		small := index.Stats().Bytes
		const count = 50_000
		links := make([]prefixindex.Link, count)
		for at := range links {
			links[at] = prefixindex.Link{Hash: prefixindex.ChainHash(at), Tokens: chunkTokens}
		}
		index.Store(1, links)
		Expect(index.Stats().Bytes).To(BeNumerically(">", count*16))
		index.Remove(1, hashes(links))
		Expect(index.Stats().Bytes).To(Equal(small))
		Expect(lookUp(index, 0, chain("a")).Of(2).Reported).To(Equal(extent(1)))
		Expect(index.Stats().Reported).To(Equal(1))
	})
})
