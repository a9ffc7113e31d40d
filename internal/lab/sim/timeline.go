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
	notes []note
}

type note struct {
	at     time.Duration
	column int
	text   string
}

// note writes into the column of this node.
func (n *node) note(format string, arguments ...any) {
	n.world.note(n.index, format, arguments...)
}

// note writes into a column, if a timeline is kept.
func (w *simulation) note(column int, format string, arguments ...any) {
	if w.timeline == nil {
		return
	}
	w.timeline.notes = append(w.timeline.notes, note{at: w.now, column: column, text: fmt.Sprintf(format, arguments...)})
}

// draw returns the timeline as text.
func (t *timeline) draw(w *simulation) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-*s", timeWidth, "time")
	for _, one := range w.all {
		fmt.Fprintf(&text, "%-*s", columnWidth, fmt.Sprintf("%s/%s", one.info.ID, one.info.Zone))
	}
	text.WriteString("deployment\n")
	for _, note := range t.notes {
		t.line(&text, note, len(w.all))
	}
	return text.String()
}

// line writes one note. What is longer than its column runs on into the next
// ones, as nothing else stands on its line.
func (t *timeline) line(text *strings.Builder, note note, columns int) {
	column := note.column
	if column == worldColumn {
		column = columns
	}
	fmt.Fprintf(text, "%-*.3f%s%s\n", timeWidth, note.at.Seconds(), strings.Repeat(" ", column*columnWidth), note.text)
}
