package workload

import (
	"time"

	"github.com/pkg/errors"
)

// MixName names a mix.
type MixName string

// The mixes.
const (
	Hivatal   MixName = "hivatal"
	Lakeshore MixName = "lakeshore"
)

// Mix describes the requests of a deployment.
type Mix struct {
	Name    MixName
	Tenants []Tenant
	// ModelRate and WebRate are the usual requests per second.
	ModelRate float64
	WebRate   float64

	// systemTokens is the length of the system prompt, which all model requests share.
	systemTokens uint32
	activities   []activity
	web          webActivity
}

// span is a range of counts, or of lengths in tokens, both ends included.
type span struct {
	min uint32
	max uint32
}

// activity is one kind of model request. Its prompt is the system prompt, the
// tenant's instructions for the activity, the documents of one dossier, and the
// caller's own text.
type activity struct {
	kind Kind
	// fraction is that of the model requests which the activity makes; all make 1.
	fraction float64
	// instructions is the length of what a tenant tells the model each time, in tokens.
	instructions uint32
	dossiers     dossierPlan
	// text is the length of the caller's own words, which differ each time, and output
	// that of the response, in tokens.
	text   span
	output span
	// streamed is the fraction of streamed requests, and unrepeatable the fraction of
	// those which must not run twice.
	streamed     float64
	unrepeatable float64
	// deadline is the longest time that a caller waits.
	deadline time.Duration
}

// dossierPlan describes the documents that requests of an activity share.
type dossierPlan struct {
	// active is how many dossiers of all tenants are in use at a time; 0 for an
	// activity without them.
	active int
	// documents and tokens are the count and the length of a new dossier's
	// documents.
	documents span
	tokens    span
	// skew is the exponent of the Zipf law of the dossiers' use.
	skew float64
	// turnover is the chance that a request is the last one of its dossier, after
	// which another takes its place.
	turnover float64
	// growth is the chance that a request comes with one more document.
	growth float64
}

// webActivity is the fetches from the web service.
type webActivity struct {
	kind Kind
	// pages is the number of pages, whose paths begin with prefix. Each is also a file.
	pages  int
	prefix string
	// fileRate is the fraction of fetches that are for a file.
	fileRate float64
	deadline time.Duration
}

// ByName returns a mix.
func ByName(name string) (Mix, error) {
	switch MixName(name) {
	case Hivatal:
		return HivatalMix(), nil
	case Lakeshore:
		return LakeshoreMix(), nil
	}
	return Mix{}, errors.Errorf("mix %q is unknown; use %s or %s", name, Hivatal, Lakeshore)
}

// HivatalMix returns the courts' requests: tagging of single documents comes
// most often, case summaries have the longest shared prefixes, and hearing
// notices are checked against the day's list. A case file is 3 to 12 documents
// of 2,000 to 6,000 tokens, some 50 pages on average, of which clerks and lawyers ask
// some thirty questions while it is in work; 160 are at a time.
func HivatalMix() Mix {
	return Mix{
		Name: Hivatal,
		Tenants: []Tenant{
			{Name: "civil-court", Fraction: 0.30},
			{Name: "criminal-court", Fraction: 0.26},
			{Name: "appeal-court", Fraction: 0.16},
			{Name: "labour-court", Fraction: 0.07},
			{Name: "land-registry", Fraction: 0.06},
			{Name: "prosecution", Fraction: 0.06, Walled: true},
			{Name: "legal-aid", Fraction: 0.05},
			{Name: "bar-chamber", Fraction: 0.04, Walled: true},
		},
		ModelRate:    8,
		WebRate:      14,
		systemTokens: 1000,
		activities: []activity{
			{
				kind: KindTagging, fraction: 0.60, instructions: 3000,
				text: span{500, 1500}, output: span{16, 40},
				deadline: 20 * time.Second,
			},
			{
				kind: KindCaseSummary, fraction: 0.15, instructions: 2500,
				dossiers: dossierPlan{
					active: 160, documents: span{3, 12}, tokens: span{2000, 6000},
					skew: 0.7, turnover: 1.0 / 30, growth: 0.05,
				},
				text: span{100, 400}, output: span{200, 500},
				streamed: 0.8, unrepeatable: 0.4, deadline: 60 * time.Second,
			},
			{
				kind: KindHearingNotice, fraction: 0.25, instructions: 4000,
				dossiers: dossierPlan{
					active: 24, documents: span{1, 1}, tokens: span{2000, 4000},
					skew: 0.5, turnover: 1.0 / 200, growth: 0,
				},
				text: span{300, 700}, output: span{40, 100},
				streamed: 0.1, unrepeatable: 0.1, deadline: 20 * time.Second,
			},
		},
		web: webActivity{
			kind: KindCalendarFetch, pages: 400, prefix: "/hearings/",
			fileRate: 0.1, deadline: 5 * time.Second,
		},
	}
}

// LakeshoreMix returns the schools' requests: questions about room clashes come
// most often, term grids and teacher audits share a school's data, and batch
// jobs draft grids without a stream. Deadlines are tighter and fewer requests
// are streamed than at the courts.
func LakeshoreMix() Mix {
	return Mix{
		Name: Lakeshore,
		Tenants: []Tenant{
			{Name: "north-high", Fraction: 0.24},
			{Name: "south-high", Fraction: 0.22},
			{Name: "night-batch", Fraction: 0.20},
			{Name: "elementary", Fraction: 0.12},
			{Name: "vocational", Fraction: 0.08},
			{Name: "registrars", Fraction: 0.06},
			{Name: "principals", Fraction: 0.05, Walled: true},
			{Name: "school-board", Fraction: 0.03, Walled: true},
		},
		ModelRate:    4,
		WebRate:      9,
		systemTokens: 800,
		activities: []activity{
			{
				kind: KindRoomClash, fraction: 0.50, instructions: 1500,
				dossiers: dossierPlan{
					active: 60, documents: span{1, 3}, tokens: span{1500, 3000},
					skew: 0.6, turnover: 1.0 / 60, growth: 0.02,
				},
				text: span{50, 200}, output: span{16, 60},
				deadline: 8 * time.Second,
			},
			{
				kind: KindTermGrid, fraction: 0.15, instructions: 2500,
				dossiers: dossierPlan{
					active: 80, documents: span{3, 8}, tokens: span{2000, 5000},
					skew: 0.6, turnover: 1.0 / 25, growth: 0.05,
				},
				text: span{100, 300}, output: span{200, 400},
				streamed: 0.5, unrepeatable: 0.4, deadline: 25 * time.Second,
			},
			{
				kind: KindTeacherAudit, fraction: 0.20, instructions: 2000,
				dossiers: dossierPlan{
					active: 50, documents: span{2, 5}, tokens: span{2000, 4000},
					skew: 0.6, turnover: 1.0 / 30, growth: 0.03,
				},
				text: span{100, 300}, output: span{80, 200},
				streamed: 0.2, unrepeatable: 0.2, deadline: 15 * time.Second,
			},
			{
				kind: KindBatchDraft, fraction: 0.15, instructions: 2500,
				dossiers: dossierPlan{
					active: 60, documents: span{3, 8}, tokens: span{2000, 5000},
					skew: 0.3, turnover: 1.0 / 20, growth: 0,
				},
				text: span{200, 600}, output: span{200, 400},
				deadline: 30 * time.Second,
			},
		},
		web: webActivity{
			kind: KindPortalExport, pages: 200, prefix: "/exports/",
			fileRate: 0.5, deadline: 3 * time.Second,
		},
	}
}
