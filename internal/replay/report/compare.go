package report

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// Difference is one figure of two reports.
type Difference struct {
	// Group says whose figure it is, such as "tenant civil-court".
	Group  string
	Figure string
	A      float64
	B      float64
}

// Change returns the relative change from A to B, and false if A is zero.
func (d Difference) Change() (float64, bool) {
	if d.A == 0 {
		return 0, false
	}
	return (d.B - d.A) / d.A, true
}

// figure reads one number of a group.
type figure struct {
	name string
	of   func(Group) float64
}

// figures are compared in this order.
var figures = []figure{
	{"requests", func(g Group) float64 { return float64(g.Requests) }},
	{"answered", func(g Group) float64 { return float64(g.Completed) }},
	{"refused", func(g Group) float64 { return float64(g.Refused) }},
	{"cut", func(g Group) float64 { return float64(g.Truncated) }},
	{"left", func(g Group) float64 { return float64(g.Disconnected) }},
	{"late", func(g Group) float64 { return float64(g.Late) }},
	{"retries", func(g Group) float64 { return float64(g.Retries) }},
	{"reuse ratio", func(g Group) float64 { return g.ReuseRatio }},
	{"first token p50 ms", func(g Group) float64 { return g.FirstToken.P50MS }},
	{"first token p99 ms", func(g Group) float64 { return g.FirstToken.P99MS }},
	{"total p50 ms", func(g Group) float64 { return g.Total.P50MS }},
	{"total p99 ms", func(g Group) float64 { return g.Total.P99MS }},
}

// Compare returns every figure in which two reports differ. A group that one of
// them lacks has figures of zero there.
func Compare(a, b *Report) []Difference {
	differences := compareGroups("models", a.Models, b.Models)
	differences = append(differences, compareByName("tenant", a.Tenants, b.Tenants)...)
	return append(differences, compareByName("destination", a.Destinations, b.Destinations)...)
}

func compareByName(kind string, a, b []Group) []Difference {
	named := func(groups []Group) map[string]Group {
		return lo.KeyBy(groups, func(group Group) string { return group.Name })
	}
	inA, inB := named(a), named(b)
	names := lo.Union(lo.Keys(inA), lo.Keys(inB))
	slices.Sort(names)
	var differences []Difference
	for _, name := range names {
		differences = append(differences, compareGroups(strings.TrimSpace(kind+" "+name), inA[name], inB[name])...)
	}
	return differences
}

func compareGroups(name string, a, b Group) []Difference {
	var differences []Difference
	for _, figure := range figures {
		difference := Difference{Group: name, Figure: figure.name, A: figure.of(a), B: figure.of(b)}
		if difference.A != difference.B {
			differences = append(differences, difference)
		}
	}
	return differences
}

// WriteComparison prints the differences of two reports as a table.
func WriteComparison(target io.Writer, a, b *Report) error {
	table := tabwriter.NewWriter(target, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(target, "A: %s\nB: %s\n", a.Run.describe(), b.Run.describe())
	differences := Compare(a, b)
	if len(differences) == 0 {
		_, err := fmt.Fprintln(target, "no figure differs")
		return errors.WithStack(err)
	}
	_, _ = fmt.Fprintln(table, "group\tfigure\tA\tB\tB-A\tchange\t")
	for _, difference := range differences {
		change := "-"
		if relative, known := difference.Change(); known {
			change = fmt.Sprintf("%+.1f%%", 100*relative)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t\n", difference.Group, difference.Figure,
			short(difference.A), short(difference.B), short(difference.B-difference.A), change)
	}
	return errors.Wrap(table.Flush(), "print the comparison")
}

// describe names a run in one line.
func (r Run) describe() string {
	return fmt.Sprintf("%s (%s) of %s at speed %s", r.Source, r.Target, r.Records, short(r.Speed))
}

// short writes a number with at most three decimals.
func short(value float64) string {
	text := fmt.Sprintf("%.3f", value)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}
