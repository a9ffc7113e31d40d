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
	// ModelRate and WebRate are the default rates in requests per second.
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
	// fraction is the activity's fraction of all model requests; the fractions of a mix
	// sum to 1.
	fraction float64
	// instructions is the length of the tenant's instructions, which are part of every
	// prompt, in tokens.
	instructions uint32
	dossiers     dossierPlan
	// text is the length of the caller's own text, which differs in every request, and
	// output is the length of the response, both in tokens.
	text   span
	output span
	// streamed is the fraction of requests that are streamed, and unrepeatable the
	// fraction of the streamed requests that must not run twice.
	streamed     float64
	unrepeatable float64
	// deadline is the longest time that a caller waits.
	deadline time.Duration
}

// dossierPlan describes the documents that requests of an activity share.
type dossierPlan struct {
	// active is the number of dossiers, of all tenants together, that are in use at a
	// time; 0 for an activity without dossiers.
	active int
	// documents is the number of documents of a new dossier, and tokens the length of
	// each document.
	documents span
	tokens    span
	// skew is the exponent of the Zipf distribution by which requests use dossiers.
	skew float64
	// turnover is the probability that a request is the last one of its dossier, which a
	// new dossier then replaces.
	turnover float64
	// growth is the probability that a request adds a document to its dossier.
	growth float64
}

// webActivity describes the requests to the web service.
type webActivity struct {
	kind Kind
	// pages is the number of pages, whose paths begin with prefix. Each is also a file.
	pages  int
	prefix string
	// fileRate is the fraction of fetches that are for a file.
	fileRate float64
	deadline time.Duration
}

// ByName returns the mix with a name, or an error if there is none.
func ByName(name string) (Mix, error) {
	switch MixName(name) {
	case Hivatal:
		return HivatalMix(), nil
	case Lakeshore:
		return LakeshoreMix(), nil
	}
	return Mix{}, errors.Errorf("mix %q is unknown; use %s or %s", name, Hivatal, Lakeshore)
}

// HivatalMix returns the mix of the courts: tagging of single documents is the most
// frequent activity, case summaries have the longest shared prefixes, and hearing notices
// are checked against the day's list. A case file has 3 to 12 documents of 2,000 to 6,000
// tokens, about 50 pages on average. Clerks and lawyers ask about 30 questions on a case
// file while it is in use; 160 case files are in use at a time.
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

// LakeshoreMix returns the mix of the schools: questions about room clashes are the most
// frequent activity, term grids and teacher audits share a school's data, and batch jobs
// draft term grids without streaming. Deadlines are tighter and fewer requests
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
