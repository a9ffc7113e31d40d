package report

import (
	"encoding/json"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
)

// Version is the version of a report's JSON.
const Version = 1

// Source tells what the figures come from.
type Source string

// The sources.
const (
	SourceRecorded Source = "recorded"
	SourceFleet    Source = "fleet"
	SourceEmulator Source = "emulator"
)

// Run describes how the figures came about.
type Run struct {
	Source Source `json:"source"`
	// Target says what the requests went to.
	Target string `json:"target"`
	// Records names the recording.
	Records string `json:"records"`
	// Started is the wall clock time of the day's beginning.
	Started time.Time `json:"started"`
	// Speed is how many times faster than recorded requests arrived.
	Speed float64 `json:"speed"`
	// FromMS and UntilMS bound the replayed part of the day.
	FromMS  int64 `json:"from_ms"`
	UntilMS int64 `json:"until_ms"`
	// DroppedByNodes counts the requests that the recording lacks.
	DroppedByNodes int64 `json:"dropped_by_nodes"`
	// Skipped are the records that were not replayed.
	Skipped Skipped `json:"skipped"`
	// MaxLagMS is how late, at worst, a request was sent.
	MaxLagMS float64 `json:"max_lag_ms"`
	// Faults are the recording's lines that could not be used.
	Faults recording.Faults `json:"faults"`
}

// Skipped counts records that were not replayed, by cause.
type Skipped struct {
	// NoKey are requests of tenants without a key, MaxInFlight those above the
	// bound of requests that run at once, Unsupported those that the emulator
	// does not serve or that must not be sent.
	NoKey       int `json:"no_key"`
	MaxInFlight int `json:"max_in_flight"`
	Unsupported int `json:"unsupported"`
}

// Refusals counts the refusals of one kind.
type Refusals struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// Group is the figures of some of the requests.
type Group struct {
	Name         string `json:"name"`
	Requests     int    `json:"requests"`
	Completed    int    `json:"answered"`
	Refused      int    `json:"refused"`
	Truncated    int    `json:"cut"`
	Disconnected int    `json:"left"`
	// Late counts the answers that were complete only after the deadline.
	Late    int `json:"late"`
	Retries int `json:"retries"`
	// RefusedBy divides Refused by kind, the most frequent first.
	RefusedBy []Refusals `json:"refused_by"`
	// PromptTokens and ReusedTokens are those of answered requests, ReuseRatio
	// is their quotient.
	PromptTokens uint64  `json:"prompt_tokens"`
	ReusedTokens uint64  `json:"reused_tokens"`
	ReuseRatio   float64 `json:"reuse_ratio"`
	// FirstToken is over streamed answers, whose callers alone see a first
	// token; Total is over all answers.
	FirstToken Latencies `json:"first_token"`
	Total      Latencies `json:"total"`
}

// Report is the figures of a day.
type Report struct {
	Version int `json:"version"`
	Run     Run `json:"run"`
	// Models is over all requests to pools.
	Models       Group   `json:"models"`
	Tenants      []Group `json:"tenants"`
	Destinations []Group `json:"destinations"`
	// Series shows the requests to pools over the day.
	Series []Interval `json:"series"`
}

// Build makes the report of samples.
func Build(run Run, samples []Sample) *Report {
	models := lo.Reject(samples, func(sample Sample, _ int) bool { return sample.Web })
	return &Report{
		Version:      Version,
		Run:          run,
		Models:       newGroup("all", models),
		Tenants:      groupBy(models, func(sample Sample) string { return sample.Tenant }),
		Destinations: groupBy(samples, func(sample Sample) string { return sample.Destination }),
		Series:       newSeries(run, models),
	}
}

// groupBy returns the groups of samples with the same name, in the order of the names.
func groupBy(samples []Sample, name func(Sample) string) []Group {
	named := lo.GroupBy(samples, name)
	names := lo.Keys(named)
	slices.Sort(names)
	return lo.Map(names, func(name string, _ int) Group { return newGroup(name, named[name]) })
}

func newGroup(name string, samples []Sample) Group {
	group := Group{Name: name, Requests: len(samples)}
	refused := map[string]int{}
	firstToken, total := newDistribution(), newDistribution()
	for _, sample := range samples {
		group.Retries += sample.Retries
		switch sample.Outcome {
		case recording.Completed:
			group.Completed++
			group.PromptTokens += sample.PromptTokens
			group.ReusedTokens += sample.ReusedTokens
			total.add(sample.Total)
			if sample.Streamed {
				firstToken.add(sample.FirstToken)
			}
		case recording.Refused:
			group.Refused++
			refused[sample.Problem]++
		case recording.Truncated:
			group.Truncated++
		case recording.Disconnected:
			group.Disconnected++
		}
		if sample.late() {
			group.Late++
		}
	}
	for kind, count := range refused {
		group.RefusedBy = append(group.RefusedBy, Refusals{Kind: kind, Count: count})
	}
	slices.SortFunc(group.RefusedBy, func(a, b Refusals) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		return lo.Ternary(a.Kind < b.Kind, -1, 1)
	})
	group.ReuseRatio = ratio(group.ReusedTokens, group.PromptTokens)
	group.FirstToken = firstToken.latencies()
	group.Total = total.latencies()
	return group
}

// ratio returns a quotient, or 0 if the denominator is 0.
func ratio(numerator, denominator uint64) float64 {
	if denominator == 0 {
		return 0
	}
	return float64(numerator) / float64(denominator)
}

// Write writes the report as JSON.
func (r *Report) Write(target io.Writer) error {
	encoder := json.NewEncoder(target)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write the report")
}

// VersionError says that a file is no report that this program can read.
type VersionError struct {
	Path  string
	Found int
}

// Error names the remedy.
func (e *VersionError) Error() string {
	return errors.Errorf("%s is a report of version %d; only version %d is known: make it again with this program",
		e.Path, e.Found, Version).Error()
}

// Load reads a report written by Write.
func Load(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the report")
	}
	loaded := &Report{}
	if err := json.Unmarshal(data, loaded); err != nil {
		return nil, errors.Wrapf(err, "%s is no report: give the file of --report", path)
	}
	if loaded.Version != Version {
		return nil, &VersionError{Path: path, Found: loaded.Version}
	}
	return loaded, nil
}
