// Package timelinetest reads the timelines in which specs of coordination packages state
// what happens to several nodes, and what is expected of them.
//
// A timeline is a text of rows whose cells are separated by "|". Lines that begin with #
// and empty ones are remarks. The first row names the columns behind its first cell, mostly
// a node each. Each further row is an instant: its first cell is the time since the start,
// and the others hold the steps of their columns, separated by commas. A step is a verb, or
// a verb with an argument: isolate, block(b), start(a b).
//
//	at  | a | b
//	0s  | start | start
//	3s  | serving, alive(b) | isolate
//
// The package knows no verb: its users say what each does, or checks.
package timelinetest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Timeline is a timeline that was read.
type Timeline struct {
	// Name is that of the file, without its ending.
	Name    string
	Columns []string
	// Instants are in the order of time.
	Instants []Instant
}

// Instant is one row.
type Instant struct {
	At    time.Duration
	Steps []Step
}

// Step is one thing to do, or to check.
type Step struct {
	// Column is the position of the step's column in Timeline.Columns.
	Column int
	Verb   string
	// Argument is what stands in brackets behind the verb.
	Argument string
	// Where names line, column and text of the step in messages.
	Where string
}

// ReadAll reads the timelines of a folder: its files that end in .txt. It is an error if
// there is none.
func ReadAll(folder string) ([]Timeline, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.txt"))
	if err != nil {
		return nil, errors.Wrap(err, "timelines")
	}
	if len(paths) == 0 {
		return nil, errors.Errorf("no timelines in %s: add one, or mend the name", folder)
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

// splitRow returns the first cell of a row and the others, without spaces around them.
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
