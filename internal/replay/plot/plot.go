package plot

import (
	"fmt"
	"html"
	"html/template"
	"math"
	"strings"
)

// colours of the series, which differ also in lightness.
var colours = []string{"#1f5fa8", "#d9822b", "#4a9a6a", "#9a4a7a"}

// Series is one line.
type Series struct {
	Name string
	// Values stand at equal distances. NaN leaves a gap.
	Values []float64
}

// Lines describes a plot of lines.
type Lines struct {
	Title string
	// Unit labels the vertical axis.
	Unit string
	// Labels name positions of the horizontal axis, at equal distances from its
	// beginning to its end.
	Labels []string
	Series []Series
}

// Bar is one bar.
type Bar struct {
	Label string
	Value float64
}

// Bars describes a plot of bars.
type Bars struct {
	Title string
	Unit  string
	// Axis labels the horizontal axis; it may be empty.
	Axis string
	Bars []Bar
}

// SVG draws the lines.
func (l Lines) SVG() template.HTML {
	largest := 0.0
	for _, series := range l.Series {
		for _, value := range series.Values {
			if !math.IsNaN(value) {
				largest = max(largest, value)
			}
		}
	}
	top, step := niceTop(largest)
	d := &drawing{}
	d.open(l.Title, l.Unit)
	d.verticalTicks(top, step)
	for position, label := range l.Labels {
		fraction := 0.0
		if len(l.Labels) > 1 {
			fraction = float64(position) / float64(len(l.Labels)-1)
		}
		d.text(plotX(fraction), plotY(0)+18, "middle", "mark", label)
	}
	for position, series := range l.Series {
		colour := colours[position%len(colours)]
		d.polyline(series.Values, top, colour)
		d.legend(len(l.Series)-position, series.Name, colour)
	}
	return d.close()
}

// SVG draws the bars. Labels are slanted when there are many.
func (b Bars) SVG() template.HTML {
	const slantFrom = 7
	largest := 0.0
	for _, bar := range b.Bars {
		largest = max(largest, bar.Value)
	}
	top, step := niceTop(largest)
	d := &drawing{}
	d.open(b.Title, b.Unit)
	d.verticalTicks(top, step)
	slot := 1 / float64(max(len(b.Bars), 1))
	for position, bar := range b.Bars {
		left, right := plotX((float64(position)+0.1)*slot), plotX((float64(position)+0.9)*slot)
		upper := plotY(bar.Value / top)
		d.printf(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"><title>%s: %s</title></rect>`,
			left, upper, right-left, plotY(0)-upper, colours[0], html.EscapeString(bar.Label), number(bar.Value))
		middle := (left + right) / 2
		if len(b.Bars) < slantFrom {
			d.text(middle, plotY(0)+16, "middle", "mark", bar.Label)
			continue
		}
		d.printf(`<text x="%.1f" y="%.1f" class="mark" text-anchor="end" transform="rotate(-28 %.1f %.1f)">%s</text>`,
			middle+4, plotY(0)+12, middle+4, plotY(0)+12, html.EscapeString(bar.Label))
	}
	d.text(width-marginRight, marginTop-12, "end", "mark", b.Axis)
	if largest == 0 {
		d.text(plotX(0.5), plotY(0.5), "middle", "mark", "none")
	}
	return d.close()
}

// drawing collects the elements of one picture.
type drawing struct {
	out strings.Builder
}

func (d *drawing) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(&d.out, format+"\n", arguments...)
}

func (d *drawing) open(title, unit string) {
	d.printf(`<svg viewBox="0 0 %.0f %.0f" role="img" aria-label="%s">`, width, height, html.EscapeString(title))
	d.text(marginLeft, 14, "start", "title", title)
	d.text(marginLeft-8, marginTop-8, "end", "mark", unit)
}

func (d *drawing) close() template.HTML {
	d.printf("</svg>")
	// All texts were escaped when they were written.
	return template.HTML(d.out.String())
}

func (d *drawing) text(x, y float64, anchor, class, text string) {
	d.printf(`<text x="%.1f" y="%.1f" text-anchor="%s" class="%s">%s</text>`, x, y, anchor, class, html.EscapeString(text))
}

func (d *drawing) verticalTicks(top, step float64) {
	for count := 0; float64(count)*step <= top*(1+1e-9); count++ {
		value := float64(count) * step
		y := plotY(value / top)
		d.printf(`<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" class="grid"/>`, plotX(0), y, plotX(1), y)
		d.text(marginLeft-8, y+4, "end", "mark", number(value))
	}
}

// polyline draws the runs of values between gaps. A value without neighbours is a
// dot.
func (d *drawing) polyline(values []float64, top float64, colour string) {
	var run []string
	finish := func() {
		if len(run) == 1 {
			x, y, _ := strings.Cut(run[0], ",")
			d.printf(`<circle cx="%s" cy="%s" r="2" fill="%s"/>`, x, y, colour)
		} else if len(run) > 1 {
			d.printf(`<polyline points="%s" fill="none" stroke="%s" stroke-width="1.8"/>`, strings.Join(run, " "), colour)
		}
		run = nil
	}
	for position, value := range values {
		if math.IsNaN(value) {
			finish()
			continue
		}
		fraction := (float64(position) + 0.5) / float64(len(values))
		run = append(run, fmt.Sprintf("%.1f,%.1f", plotX(fraction), plotY(value/top)))
	}
	finish()
}

// legend names a line, in a place counted from the right edge.
func (d *drawing) legend(row int, name, colour string) {
	const slot = 110.0
	x := width - marginRight - slot*float64(row)
	d.printf(`<line x1="%.1f" y1="14" x2="%.1f" y2="14" stroke="%s" stroke-width="3"/>`, x, x+18, colour)
	d.text(x+24, 18, "start", "mark", name)
}
