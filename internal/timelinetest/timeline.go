// Package timelinetest reads timelines: text files that describe what happens to several
// nodes in a spec, and what the spec expects of them. The specs of coordination packages use
// them.
//
// A timeline consists of rows whose cells are separated by "|". Lines that begin with # and
// empty lines are ignored. The first row names the columns after its first cell; a column
// usually stands for a node. Each further row is an instant: its first cell is the time since
// the start, and the other cells contain the steps of their columns, separated by commas. A
// step is a verb, or a verb with an argument: isolate, block(b), start(a b).
//
//	at  | a | b
//	0s  | start | start
//	3s  | serving, alive(b) | isolate
//
// The package does not interpret verbs: its callers define what each verb does or checks.
package timelinetest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Timeline is a parsed timeline.
type Timeline struct {
	// Name is the file name without its extension.
	Name    string
	Columns []string
	// Instants are in chronological order.
	Instants []Instant
}

// Instant is one row of a timeline after the first row.
type Instant struct {
	At    time.Duration
	Steps []Step
}

// Step is one action or check.
type Step struct {
	// Column is the position of the step's column in Timeline.Columns.
	Column int
	Verb   string
	// Argument is the text in parentheses after the verb; empty if there is none.
	Argument string
	// Where is the line number, column name and text of the step, for messages.
	Where string
}

// ReadAll reads the timelines in a folder: all files whose names end in .txt. It returns an
// error if there are none.
func ReadAll(folder string) ([]Timeline, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.txt"))
	if err != nil {
		return nil, errors.Wrap(err, "timelines")
	}
	if len(paths) == 0 {
		return nil, errors.Errorf("no timelines in %s: add a .txt file or correct the folder name", folder)
	}
	var timelines []Timeline
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "timeline")
		}
		timeline, err := Parse(string(text))
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		timeline.Name = strings.TrimSuffix(filepath.Base(path), ".txt")
		timelines = append(timelines, timeline)
	}
	return timelines, nil
}

// Parse reads the text of one timeline.
func Parse(text string) (Timeline, error) {
	var timeline Timeline
	previous := time.Duration(0)
	for index, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" || strings.HasPrefix(line, "#") {
			continue
		}
		first, cells := splitRow(line)
		if timeline.Columns == nil {
			timeline.Columns = cells
			continue
		}
		at, err := time.ParseDuration(first)
		if err != nil {
			return Timeline{}, errors.Wrapf(err, "line %d", index+1)
		}
		if at < previous {
			return Timeline{}, errors.Errorf("line %d: %v is before %v", index+1, at, previous)
		}
		previous = at
		if len(cells) > len(timeline.Columns) {
			return Timeline{}, errors.Errorf("line %d has more cells than there are columns", index+1)
		}
		timeline.Instants = append(timeline.Instants, Instant{At: at, Steps: parseSteps(timeline.Columns, cells, index+1)})
	}
	if len(timeline.Instants) == 0 {
		return Timeline{}, errors.New("no instants")
	}
	return timeline, nil
}

// splitRow returns the first cell of a row and the other cells, each without surrounding
// spaces.
func splitRow(line string) (first string, others []string) {
	cells := strings.Split(line, "|")
	for at, cell := range cells {
		cells[at] = strings.TrimSpace(cell)
	}
	return cells[0], cells[1:]
}

func parseSteps(columns, cells []string, line int) []Step {
	var steps []Step
	for column, cell := range cells {
		for text := range strings.SplitSeq(cell, ",") {
			text = strings.TrimSpace(text)
			if text == "" {
				continue
			}
			verb, argument, _ := strings.Cut(strings.TrimSuffix(text, ")"), "(")
			steps = append(steps, Step{
				Column:   column,
				Verb:     verb,
				Argument: argument,
				Where:    fmt.Sprintf("line %d, %s: %s", line, columns[column], text),
			})
		}
	}
	return steps
}
