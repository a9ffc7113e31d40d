package main

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// ranSpecs matches ginkgo's account of how many specs it selected.
var ranSpecs = regexp.MustCompile(`(?m)^Ran (\d+) of \d+ Specs? in`)

// passedOne matches ginkgo's account of one spec that passed.
var passedOne = regexp.MustCompile(`(?m)^SUCCESS! -- 1 Passed \| 0 Failed \|`)

// Outcome is what a listed test did when it ran alone.
type Outcome struct {
	// Entry is the line of the list.
	Entry Failure
	// Selected is how many tests the entry selects.
	Selected int
	// Passed is false also for a test that did not end.
	Passed bool
	// Output is what go printed.
	Output string
}

// String is the line that CI prints.
func (outcome Outcome) String() string {
	verdict := "KNOWN RED"
	if outcome.Passed {
		verdict = "KNOWN RED PASSED, take it off the list if it keeps passing"
	}
	entry := outcome.Entry
	return fmt.Sprintf("%s: %s :: %s (%s; %s)", verdict, entry.Package, entry.Test, entry.Cause, entry.Issue)
}

// readOutcome reads the output of aloneArguments.
func readOutcome(entry Failure, output string) Outcome {
	if entry.IsPlain() {
		return readPlainOutcome(entry, output)
	}
	outcome := Outcome{Entry: entry, Output: output, Passed: passedOne.MatchString(output)}
	if found := ranSpecs.FindStringSubmatch(output); found != nil {
		outcome.Selected, _ = strconv.Atoi(found[1])
	}
	return outcome
}

// readPlainOutcome reads what go prints of a test without ginkgo.
func readPlainOutcome(entry Failure, output string) Outcome {
	lines := "\n" + output
	return Outcome{
		Entry:    entry,
		Output:   output,
		Selected: strings.Count(lines, "\n=== RUN   "+entry.Test+"\n"),
		Passed:   strings.Contains(lines, "\n--- PASS: "+entry.Test+" "),
	}
}
