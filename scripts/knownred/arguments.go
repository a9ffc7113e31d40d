package main

import (
	"strings"

	"github.com/samber/lo"
)

// timeoutAlone bounds one listed test that is run alone.
const timeoutAlone = "-timeout=5m"

// suiteArguments are the arguments of go for all tests of a package but the
// listed ones.
func suiteArguments(folder string, failures []Failure) []string {
	arguments := []string{"test"}
	plain, specs := lo.FilterReject(failures, func(entry Failure, _ int) bool { return entry.IsPlain() })
	if len(plain) > 0 {
		arguments = append(arguments, "-skip="+joinPatterns(plain))
	}
	arguments = append(arguments, folder)
	if len(specs) > 0 {
		arguments = append(arguments, "-ginkgo.skip="+joinPatterns(specs))
	}
	return arguments
}

// aloneArguments are the arguments of go for one listed test and nothing else
// of its kind.
func aloneArguments(entry Failure) []string {
	if entry.IsPlain() {
		return []string{"test", "-count=1", "-v", timeoutAlone, "-run=" + entry.Pattern(), entry.Package}
	}
	return []string{
		"test", "-count=1", "-v", timeoutAlone, entry.Package,
		"-ginkgo.no-color", "-ginkgo.focus=" + entry.Pattern(),
	}
}

// countArguments are the arguments of go that count the specs which an entry
// selects, without running them.
func countArguments(entry Failure) []string {
	return append(aloneArguments(entry), "-ginkgo.dry-run")
}

// joinPatterns returns the regular expression that matches any of the entries.
func joinPatterns(entries []Failure) string {
	patterns := lo.Map(entries, func(entry Failure, _ int) string { return entry.Pattern() })
	return strings.Join(patterns, "|")
}
