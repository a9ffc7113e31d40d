package sim

import (
	"fmt"
	"strings"
	"time"
)

// worldColumn is the column of what happens on no node.
const worldColumn = -1

const (
	columnWidth = 13
	timeWidth   = 10
)

// timeline is a drawing of a run: a line for an instant, a column a node.
type timeline struct {
	entries []timelineEntry
}

type timelineEntry struct {
	at     time.Duration
	column int
	text   string
}

// logf writes into the column of this node.
func (n *node) logf(format string, arguments ...any) {
	n.world.logf(n.index, format, arguments...)
}

// logf writes into a column, if a timeline is kept.
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

// writeEntry writes one note. What is longer than its column runs on into the next
// ones, as nothing else stands on its line.
func (t *timeline) writeEntry(text *strings.Builder, entry timelineEntry, columns int) {
	column := entry.column
	if column == worldColumn {
		column = columns
	}
	fmt.Fprintf(text, "%-*.3f%s%s\n", timeWidth, entry.at.Seconds(), strings.Repeat(" ", column*columnWidth), entry.text)
}
