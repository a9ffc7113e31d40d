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

// draw returns the timeline as text, with the columns of the given nodes.
func (t *timeline) draw(nodes []*node) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-*s", timeWidth, "time")
	for _, one := range nodes {
		fmt.Fprintf(&text, "%-*s", columnWidth, fmt.Sprintf("%s/%s", one.info.ID, one.info.Zone))
	}
	text.WriteString("deployment\n")
	for _, entry := range t.entries {
		t.writeEntry(&text, entry, len(nodes))
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
