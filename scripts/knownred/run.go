package main

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// Output is what a program printed.
type Output struct {
	// Standard is its standard output alone.
	Standard string
	// All is its standard output and its standard error. go tells on the latter
	// which modules it downloads.
	All string
}

// GoCommand runs go with arguments and returns what it printed. An exit status
// other than zero is an error.
type GoCommand func(arguments ...string) (Output, error)

// Runner runs all tests and passes over the failures of listed ones.
type Runner struct {
	// Alone contains the packages whose tests nothing else may run beside, such as
	// ./pkg/lease. They run last, one after the other.
	Alone []string
	// Go runs the go command.
	Go GoCommand
	// Out takes the output of the tests and the account of listed ones.
	Out io.Writer
}

// Run runs every package. It returns an error when a test outside the list
// fails, or when an entry does not select exactly one test.
func (runner Runner) Run(entries []Failure) error {
	if len(entries) == 0 && len(runner.Alone) == 0 {
		return runner.print(runner.Go("test", "./..."))
	}
	outcomes, err := runner.runKnownFailures(entries)
	if err != nil {
		return err
	}
	err = runner.runOthers(entries)
	for _, outcome := range outcomes {
		if _, printErr := fmt.Fprintln(runner.Out, outcome); printErr != nil && err == nil {
			err = errors.Wrap(printErr, "print the account of a listed test")
		}
	}
	return err
}

// runKnownFailures runs each listed test alone. Whether one passes does not change the
// verdict, but each entry has to select exactly one test, so that none hides
// more than it names.
func (runner Runner) runKnownFailures(entries []Failure) ([]Outcome, error) {
	var outcomes []Outcome
	for _, entry := range entries {
		outcome := runner.runAlone(entry)
		if outcome.Selected != 1 {
			return nil, errors.Errorf("%s :: %s selects %d tests, want 1:\n%s",
				entry.Package, entry.Test, outcome.Selected, outcome.Output)
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes, nil
}

// runAlone runs one listed test. A test that takes the whole process with it
// leaves no account, and is then counted without being run.
func (runner Runner) runAlone(entry Failure) Outcome {
	output, _ := runner.Go(aloneArguments(entry)...)
	outcome := readOutcome(entry, output.All)
	if outcome.Selected == 0 && !entry.IsPlain() {
		output, _ = runner.Go(countArguments(entry)...)
		outcome = readOutcome(entry, output.All)
		outcome.Passed = false
	}
	return outcome
}

// runOthers runs all tests that are not listed.
func (runner Runner) runOthers(entries []Failure) error {
	byPackage := lo.GroupBy(entries, func(entry Failure) string { return entry.Package })
	folders, err := runner.foldersWithout(lo.Union(lo.Keys(byPackage), runner.Alone))
	if err != nil {
		return err
	}
	var failed error
	if len(folders) > 0 {
		failed = runner.print(runner.Go(append([]string{"test"}, folders...)...))
	}
	alone := lo.Without(runner.Alone, lo.Keys(byPackage)...)
	for _, folder := range append(sortedKeys(byPackage), alone...) {
		err := runner.print(runner.Go(suiteArguments(folder, byPackage[folder])...))
		if err != nil {
			failed = err
		}
	}
	return failed
}

// foldersWithout returns the import paths of all packages but those in folders.
func (runner Runner) foldersWithout(folders []string) ([]string, error) {
	all, err := runner.Go("list", "./...")
	if err != nil {
		return nil, errors.Wrapf(err, "list the packages:\n%s", all.All)
	}
	failures, err := runner.Go(append([]string{"list"}, folders...)...)
	if err != nil {
		return nil, errors.Wrapf(err, "list the packages of known failures:\n%s", failures.All)
	}
	without, _ := lo.Difference(strings.Fields(all.Standard), strings.Fields(failures.Standard))
	return without, nil
}

// print passes on the output of a run of tests. The error is that of the run, if any.
func (runner Runner) print(output Output, err error) error {
	_, printErr := fmt.Fprint(runner.Out, output.All)
	if err != nil {
		return errors.Wrap(err, "tests failed")
	}
	return errors.Wrap(printErr, "print the output of the tests")
}

// sortedKeys returns the packages in the order in which they run.
func sortedKeys(byPackage map[string][]Failure) []string {
	keys := lo.Keys(byPackage)
	sort.Strings(keys)
	return keys
}
