package workload

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// dossier is a set of documents that many requests share as a prefix.
type dossier struct {
	name      string
	tenant    string
	documents []prefixindex.Chunk
}

// dossiers are those of one activity, in the order of their use.
type dossiers struct {
	plan   dossierPlan
	kind   Kind
	random *rand.Rand
	active []*dossier
	// weights are cumulative.
	weights []float64
	opened  int
	pick    func() string
}

// newDossiers opens the first dossiers; pick chooses the tenant of a new one.
func newDossiers(plan dossierPlan, kind Kind, random *rand.Rand, pick func() string) *dossiers {
	d := &dossiers{plan: plan, kind: kind, random: random, pick: pick}
	total := 0.0
	for rank := range plan.active {
		total += 1 / math.Pow(float64(rank+1), plan.skew)
		d.weights = append(d.weights, total)
		d.active = append(d.active, d.open())
	}
	return d
}

func (d *dossiers) open() *dossier {
	d.opened++
	opened := &dossier{tenant: d.pick()}
	opened.name = fmt.Sprintf("%s/%s-%d", opened.tenant, d.kind, d.opened)
	for range d.plan.documents.draw(d.random) {
		d.grow(opened)
	}
	return opened
}

func (d *dossiers) grow(grown *dossier) {
	grown.documents = append(grown.documents, prefixindex.Chunk{
		ID:     fmt.Sprintf("%s/document-%d", grown.name, len(grown.documents)+1),
		Tokens: d.plan.tokens.draw(d.random),
	})
}

// use returns the tenant and the documents of one request.
func (d *dossiers) use() (tenant string, documents []prefixindex.Chunk) {
	rank := d.rank()
	used := d.active[rank]
	if d.random.Float64() < d.plan.growth {
		d.grow(used)
	}
	if d.random.Float64() < d.plan.turnover {
		d.active[rank] = d.open()
	}
	return used.tenant, used.documents
}

func (d *dossiers) rank() int {
	at := d.random.Float64() * d.weights[len(d.weights)-1]
	for rank, weight := range d.weights {
		if at < weight {
			return rank
		}
	}
	return len(d.weights) - 1
}

func (s span) draw(random *rand.Rand) uint32 {
	return s.min + random.Uint32N(s.max-s.min+1)
}
