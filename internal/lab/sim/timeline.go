package sim

import (
	"fmt"
	"strings"
	"time"
)

// worldColumn is the column of events that belong to no node.
const worldColumn = -1

const (
	columnWidth = 13
	timeWidth   = 10
)

// timeline is a drawing of a run: a row for each instant, a column for each node.
type timeline struct {
	entries []timelineEntry
}

type timelineEntry struct {
	at     time.Duration
	column int
	text   string
}

// logf adds an entry to the column of this node.
func (n *node) logf(format string, arguments ...any) {
	n.world.logf(n.index, format, arguments...)
}

// logf adds an entry to a column, if a timeline is recorded.
func (w *simulation) logf(column int, format string, arguments ...any) {
	if w.timeline == nil {
		return
	}
	w.timeline.entries = append(w.timeline.entries, timelineEntry{at: w.now, column: column, text: fmt.Sprintf(format, arguments...)})
}

// draw returns the timeline as text.
func (t *timeline) draw(w *simulation) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-*s", timeWidth, "time")
	for _, one := range w.everyNode {
		fmt.Fprintf(&text, "%-*s", columnWidth, fmt.Sprintf("%s/%s", one.info.ID, one.info.Zone))
	}
	text.WriteString("deployment\n")
	for _, entry := range t.entries {
		t.writeEntry(&text, entry, len(w.everyNode))
	}
	return text.String()
}

// writeEntry writes one entry. A text that is longer than its column runs on into
// the next ones, since nothing else stands in its row.
func (t *timeline) writeEntry(text *strings.Builder, entry timelineEntry, columns int) {
	column := entry.column
	if column == worldColumn {
		column = columns
	}
	fmt.Fprintf(text, "%-*.3f%s%s\n", timeWidth, entry.at.Seconds(), strings.Repeat(" ", column*columnWidth), entry.text)
}
