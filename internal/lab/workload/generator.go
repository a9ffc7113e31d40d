package workload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Options select one stream of a mix.
type Options struct {
	Seed uint64
	// Duration bounds the arrival times of the stream; 0 means that it does not end.
	Duration time.Duration
	// ModelRate and WebRate are requests per second. 0 means the rate of the mix, and
	// a negative rate means none.
	ModelRate float64
	WebRate   float64
}

// Generator generates a stream of requests. It isn't safe for concurrent use.
type Generator struct {
	mix     Mix
	options Options
	random  *rand.Rand

	// dossiers contains the dossiers of each activity, in the order of mix.activities.
	dossiers []*dossiers
	// requests counts the requests that Next has returned.
	requests int
	// nextModel and nextWeb are the arrival times of the next model request and the next
	// web request.
	nextModel time.Duration
	nextWeb   time.Duration
}

// requestStream is the second PCG seed word, which makes the random numbers of requests
// differ from those that other code draws from the same seed.
const requestStream = 0x10ad

// New returns a generator at the start of the stream. It returns an error if the rates of
// both model and web requests are negative.
func New(mix Mix, options Options) (*Generator, error) {
	if options.ModelRate == 0 {
		options.ModelRate = mix.ModelRate
	}
	if options.WebRate == 0 {
		options.WebRate = mix.WebRate
	}
	if options.ModelRate < 0 && options.WebRate < 0 {
		return nil, errors.New("workload: one of ModelRate and WebRate must be positive")
	}
	g := &Generator{mix: mix, options: options, random: rand.New(rand.NewPCG(options.Seed, requestStream))}
	for _, activity := range mix.activities {
		g.dossiers = append(g.dossiers, newDossiers(activity.dossiers, activity.kind, g.random, g.drawTenant))
	}
	g.nextModel = g.after(0, options.ModelRate)
	g.nextWeb = g.after(0, options.WebRate)
	return g, nil
}

// never is an arrival time later than that of any request.
const never = time.Duration(1<<63 - 1)

// after draws the time of the next arrival after at in a Poisson process with a rate per
// second. It returns never for a negative rate.
func (g *Generator) after(at time.Duration, rate float64) time.Duration {
	if rate < 0 {
		return never
	}
	return at + time.Duration(g.random.ExpFloat64()/rate*float64(time.Second))
}

// Next returns the next request, or false at the end of the stream.
func (g *Generator) Next() (Request, bool) {
	at := min(g.nextModel, g.nextWeb)
	if g.options.Duration > 0 && at >= g.options.Duration {
		return Request{}, false
	}
	var request Request
	if g.nextModel <= g.nextWeb {
		request = g.modelRequest()
		g.nextModel = g.after(at, g.options.ModelRate)
	} else {
		request = g.webRequest()
		g.nextWeb = g.after(at, g.options.WebRate)
	}
	g.requests++
	request.ID = fmt.Sprintf("%s-%d-%d", g.mix.Name, g.options.Seed, g.requests)
	request.At = at
	return request, true
}

func (g *Generator) modelRequest() Request {
	position := g.drawActivity()
	activity := g.mix.activities[position]
	tenant, documents := g.useDossier(position)
	streamed := g.random.Float64() < activity.streamed
	unrepeatable := g.random.Float64() < activity.unrepeatable
	return Request{
		Kind:         activity.kind,
		Tenant:       tenant,
		Chunks:       g.prompt(activity, tenant, documents),
		OutputTokens: activity.output.draw(g.random),
		Streamed:     streamed,
		Repeatable:   !streamed || !unrepeatable,
		Deadline:     activity.deadline,
	}
}

// prompt returns the chunks of a prompt, those that most requests share first.
func (g *Generator) prompt(activity activity, tenant string, documents []prefixindex.Chunk) []prefixindex.Chunk {
	chunks := []prefixindex.Chunk{
		{ID: fmt.Sprintf("%s/system", g.mix.Name), Tokens: g.mix.systemTokens},
		{ID: fmt.Sprintf("%s/%s/instructions", tenant, activity.kind), Tokens: activity.instructions},
	}
	chunks = append(chunks, documents...)
	return append(chunks, prefixindex.Chunk{
		ID:     fmt.Sprintf("%s/text-%d-%d", tenant, g.options.Seed, g.requests+1),
		Tokens: activity.text.draw(g.random),
	})
}

// useDossier returns the tenant and the documents for a request of the activity at a
// position. For an activity without dossiers it returns a drawn tenant and no documents.
func (g *Generator) useDossier(position int) (tenant string, documents []prefixindex.Chunk) {
	if g.mix.activities[position].dossiers.active == 0 {
		return g.drawTenant(), nil
	}
	return g.dossiers[position].use()
}

// drawActivity returns the position of an activity, drawn by the fractions of the mix.
func (g *Generator) drawActivity() int {
	return drawByFraction(g.random, g.mix.activities, func(activity activity) float64 { return activity.fraction })
}

// drawTenant returns the name of a tenant, drawn by the fractions of the mix.
func (g *Generator) drawTenant() string {
	position := drawByFraction(g.random, g.mix.Tenants, func(tenant Tenant) float64 { return tenant.Fraction })
	return g.mix.Tenants[position].Name
}

// drawByFraction returns the position of an item, drawn with the item's fraction as its
// probability. The fractions must sum to 1.
func drawByFraction[Item any](random *rand.Rand, items []Item, fractionOf func(Item) float64) int {
	remaining := random.Float64()
	for position, item := range items {
		fraction := fractionOf(item)
		if remaining < fraction {
			return position
		}
		remaining -= fraction
	}
	return len(items) - 1
}

func (g *Generator) webRequest() Request {
	web := g.mix.web
	path := fmt.Sprintf("%s%d", web.prefix, g.random.IntN(web.pages))
	if g.random.Float64() < web.fileRate {
		path = fmt.Sprintf("/files%s%d", web.prefix, g.random.IntN(web.pages))
	}
	return Request{
		Kind:       web.kind,
		Web:        true,
		Path:       path,
		Repeatable: true,
		Deadline:   web.deadline,
	}
}
