package main

import (
	"os"
	"regexp"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// separator stands between the fields of a line of the list.
const separator = " :: "

// fieldsPerEntry is how many fields each line has.
const fieldsPerEntry = 4

// plainTest matches names of tests that are written without ginkgo.
var plainTest = regexp.MustCompile(`^(Test|Fuzz|Example)\S*$`)

// Failure is one entry of the list: a test that is known to fail.
type Failure struct {
	// Package is the folder of the test's package, such as ./pkg/lease.
	Package string
	// Test is the full text of a ginkgo spec, or the name of a Go test.
	Test string
	// Cause says in a few words why it fails.
	Cause string
	// Issue names where the fault is followed.
	Issue string
}

// IsPlain reports whether the entry names a Go test outside ginkgo.
func (entry Failure) IsPlain() bool {
	return plainTest.MatchString(entry.Test)
}

// Pattern returns the regular expression that selects the test alone. Ginkgo
// matches it against the suite's description, a space and the spec's full text.
func (entry Failure) Pattern() string {
	if entry.IsPlain() {
		return "^" + regexp.QuoteMeta(entry.Test) + "$"
	}
	return " " + regexp.QuoteMeta(entry.Test) + "$"
}

// ReadFailures reads the list of known failures. A file that is absent is an empty
// list.
func ReadFailures(path string) ([]Failure, error) {
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the list of known failures")
	}
	return ParseFailures(string(content))
}

// ParseFailures reads the list's lines. Empty lines and lines that begin with # say
// nothing.
func ParseFailures(content string) ([]Failure, error) {
	var entries []Failure
	for index, line := range strings.Split(content, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		entry, err := parseEntry(line)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", index+1)
		}
		entries = append(entries, entry)
	}
	return entries, checkUnique(entries)
}

// parseEntry reads one line of the list.
func parseEntry(text string) (Failure, error) {
	fields := strings.Split(text, separator)
	if len(fields) != fieldsPerEntry {
		return Failure{}, errors.Errorf("%d fields, want package :: test :: cause :: issue", len(fields))
	}
	fields = lo.Map(fields, func(field string, _ int) string { return strings.TrimSpace(field) })
	if lo.Contains(fields, "") {
		return Failure{}, errors.New("an empty field")
	}
	if !strings.HasPrefix(fields[0], "./") || strings.Contains(fields[0], "...") {
		return Failure{}, errors.Errorf("package %q, want one folder that begins with ./", fields[0])
	}
	return Failure{Package: fields[0], Test: fields[1], Cause: fields[2], Issue: fields[3]}, nil
}

// checkUnique returns an error if a test is listed twice.
func checkUnique(entries []Failure) error {
	doubled := lo.FindDuplicatesBy(entries, func(entry Failure) Failure {
		return Failure{Package: entry.Package, Test: entry.Test}
	})
	if len(doubled) > 0 {
		return errors.Errorf("listed twice: %s :: %s", doubled[0].Package, doubled[0].Test)
	}
	return nil
}
