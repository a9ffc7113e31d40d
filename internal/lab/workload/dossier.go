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

// dossiers contains the dossiers of one activity that are in use, by descending weight.
type dossiers struct {
	plan   dossierPlan
	kind   Kind
	random *rand.Rand
	active []*dossier
	// weights are the cumulative weights of the active dossiers, which follow a Zipf
	// distribution.
	weights []float64
	// opened counts the dossiers that have been opened so far.
	opened int
	// drawTenant draws the tenant of a new dossier.
	drawTenant func() string
}

// newDossiers opens the first dossiers; drawTenant draws the tenant of each.
func newDossiers(plan dossierPlan, kind Kind, random *rand.Rand, drawTenant func() string) *dossiers {
	d := &dossiers{plan: plan, kind: kind, random: random, drawTenant: drawTenant}
	total := 0.0
	for rank := range plan.active {
		total += 1 / math.Pow(float64(rank+1), plan.skew)
		d.weights = append(d.weights, total)
		d.active = append(d.active, d.open())
	}
	return d
}

// open returns a new dossier with its first documents.
func (d *dossiers) open() *dossier {
	d.opened++
	opened := &dossier{tenant: d.drawTenant()}
	opened.name = fmt.Sprintf("%s/%s-%d", opened.tenant, d.kind, d.opened)
	for range d.plan.documents.draw(d.random) {
		d.grow(opened)
	}
	return opened
}

// grow adds a document to a dossier.
func (d *dossiers) grow(grown *dossier) {
	grown.documents = append(grown.documents, prefixindex.Chunk{
		ID:     fmt.Sprintf("%s/document-%d", grown.name, len(grown.documents)+1),
		Tokens: d.plan.tokens.draw(d.random),
	})
}

// use draws a dossier and returns its tenant and documents for one request. With the
// plan's probabilities, the request adds a document to the dossier, and a new dossier
// replaces the drawn one after the request.
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

// rank draws the index of an active dossier with a probability proportional to its weight.
func (d *dossiers) rank() int {
	at := d.random.Float64() * d.weights[len(d.weights)-1]
	for rank, weight := range d.weights {
		if at < weight {
			return rank
		}
	}
	return len(d.weights) - 1
}

// draw returns a uniformly distributed size of the span.
func (s span) draw(random *rand.Rand) uint32 {
	return s.min + random.Uint32N(s.max-s.min+1)
}
