package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/plot"
)

//go:embed page.html
var pageText string

// dayLabels is how many times of day the plots name.
const dayLabels = 7

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent,
	"span":    quantilePair,
	"short":   short,
}).Parse(pageText))

// tile is a figure at the top of the page.
type tile struct {
	Name  string
	Value string
}

// groupTable is a table of groups.
type groupTable struct {
	Title  string
	Column string
	Groups []Group
}

// page is what the template shows.
type page struct {
	Report     *Report
	Day        string
	Span       string
	Speed      string
	Tiles      []tile
	DayPlots   []template.HTML
	GroupPlots []template.HTML
	Tables     []groupTable
}

// WriteHTML writes the report as one page that needs no other file.
func (r *Report) WriteHTML(target io.Writer) error {
	shown := page{
		Report:     r,
		Day:        r.Run.Started.UTC().Format(time.DateOnly),
		Span:       clockTime(r.Run, r.Run.FromMS) + " to " + clockTime(r.Run, r.Run.UntilMS) + " UTC",
		Speed:      short(r.Run.Speed),
		Tiles:      r.tiles(),
		DayPlots:   r.dayPlots(),
		GroupPlots: r.groupPlots(),
		Tables: []groupTable{
			{Title: "By tenant (requests to models)", Column: "tenant", Groups: r.Tenants},
			{Title: "By destination", Column: "pool or web service", Groups: r.Destinations},
		},
	}
	return errors.Wrap(pageTemplate.Execute(target, shown), "write the page")
}

func (r *Report) tiles() []tile {
	models := r.Models
	return []tile{
		{"requests to models", strconv.Itoa(models.Requests)},
		{"answered", strconv.Itoa(models.Completed)},
		{"refused", strconv.Itoa(models.Refused)},
		{"retries", strconv.Itoa(models.Retries)},
		{"prompt tokens reused", percent(models.ReuseRatio)},
		{"first token p50 / p99 ms", quantilePair(models.FirstToken)},
		{"total p50 / p99 ms", quantilePair(models.Total)},
		{"faulty lines", strconv.Itoa(r.Run.Faults.Total())},
	}
}

func (r *Report) dayPlots() []template.HTML {
	labels := r.timeLabels()
	line := func(name string, value func(Interval) float64) plot.Series {
		return plot.Series{Name: name, Values: lo.Map(r.Series, func(i Interval, _ int) float64 { return value(i) })}
	}
	plots := []plot.Lines{
		{Title: "Requests", Unit: "count", Labels: labels, Series: []plot.Series{
			line("requests", func(i Interval) float64 { return float64(i.Requests) }),
			line("refused", func(i Interval) float64 { return float64(i.Refused) }),
			line("retries", func(i Interval) float64 { return float64(i.Retries) }),
		}},
		{Title: "First token of streamed answers", Unit: "ms", Labels: labels, Series: []plot.Series{
			line("p50", func(i Interval) float64 { return orGap(i.FirstTokenP50, i.Streamed) }),
			line("p99", func(i Interval) float64 { return orGap(i.FirstTokenP99, i.Streamed) }),
		}},
		{Title: "Whole answer", Unit: "ms", Labels: labels, Series: []plot.Series{
			line("p50", func(i Interval) float64 { return orGap(i.TotalP50MS, i.Completed) }),
			line("p99", func(i Interval) float64 { return orGap(i.TotalP99MS, i.Completed) }),
		}},
		{Title: "Prompt tokens reused", Unit: "%", Labels: labels, Series: []plot.Series{
			line("reused", func(i Interval) float64 { return orGap(100*i.ReuseRatio, i.Completed) }),
		}},
	}
	return lo.Map(plots, func(lines plot.Lines, _ int) template.HTML { return lines.SVG() })
}

// orGap leaves a gap where a figure stands for no request.
func orGap(value float64, requests int) float64 {
	if requests == 0 {
		return math.NaN()
	}
	return value
}

func (r *Report) groupPlots() []template.HTML {
	tenants := func(value func(Group) float64) []plot.Bar {
		return lo.Map(r.Tenants, func(group Group, _ int) plot.Bar {
			return plot.Bar{Label: group.Name, Value: value(group)}
		})
	}
	plots := []plot.Bars{
		{Title: "First token of streamed answers", Unit: "count", Axis: "up to ms", Bars: histogramBars(r.Models.FirstToken)},
		{Title: "Whole answer", Unit: "count", Axis: "up to ms", Bars: histogramBars(r.Models.Total)},
		{Title: "Prompt tokens reused, by tenant", Unit: "%", Bars: tenants(func(g Group) float64 { return 100 * g.ReuseRatio })},
		{Title: "Refused, by tenant", Unit: "count", Bars: tenants(func(g Group) float64 { return float64(g.Refused) })},
		{Title: "Retries, by tenant", Unit: "count", Bars: tenants(func(g Group) float64 { return float64(g.Retries) })},
		{Title: "Whole answer p99, by tenant", Unit: "ms", Bars: tenants(func(g Group) float64 { return g.Total.P99MS })},
	}
	return lo.Map(plots, func(bars plot.Bars, _ int) template.HTML { return bars.SVG() })
}

// histogramBars leaves out the empty buckets before the first one.
func histogramBars(latencies Latencies) []plot.Bar {
	filled := lo.DropWhile(latencies.Histogram, func(bucket Bucket) bool { return bucket.Count == 0 })
	return lo.Map(filled, func(bucket Bucket, _ int) plot.Bar {
		return plot.Bar{Label: short(bucket.UpToMS), Value: float64(bucket.Count)}
	})
}

// timeLabels name times of day at equal distances.
func (r *Report) timeLabels() []string {
	span := r.Run.UntilMS - r.Run.FromMS
	return lo.Times(dayLabels, func(position int) string {
		return clockTime(r.Run, r.Run.FromMS+span*int64(position)/(dayLabels-1))
	})
}

// clockTime names a time of the day, with seconds where the replayed part is
// short.
func clockTime(run Run, sinceStartMS int64) string {
	const shortSpan = time.Hour
	at := run.Started.UTC().Add(time.Duration(sinceStartMS) * time.Millisecond)
	if time.Duration(run.UntilMS-run.FromMS)*time.Millisecond < shortSpan {
		return at.Format(time.TimeOnly)
	}
	return at.Round(time.Minute).Format("15:04")
}

func percent(ratio float64) string {
	return fmt.Sprintf("%.1f%%", 100*ratio)
}

func quantilePair(latencies Latencies) string {
	if latencies.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f / %.0f", latencies.P50MS, latencies.P99MS)
}
