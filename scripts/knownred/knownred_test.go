package main

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
)

func TestKnownRed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "known red suite")
}

// sample is a package with two tests that fail, which ./... leaves out.
const sample = "./testdata/sample"

const (
	redSpec  = sample + " :: a sample fails (always) :: sample :: issue 1\n"
	redPlain = sample + " :: TestPlainRed :: sample :: issue 2\n"
	green    = sample + " :: a sample passes :: sample :: issue 3\n"
)

// goOnSample runs go, with the sample as the whole module.
func goOnSample(arguments ...string) (Output, error) {
	onSample := lo.Map(arguments, func(argument string, _ int) string {
		return strings.Replace(argument, "./...", sample, 1)
	})
	return runGo(onSample...)
}

// play runs the sample with a list, and returns what was printed.
func play(list string) (string, error) {
	entries, err := ParseFailures(list)
	Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	err = Runner{Go: goOnSample, Out: &out}.Run(entries)
	return out.String(), err
}

var _ = Describe("running tests with a list of known failures", func() {
	It("fails without a list", func() {
		_, err := play("")
		Expect(err).To(HaveOccurred())
	})

	It("fails on a failure that is not listed", func() {
		_, err := play(redPlain)
		Expect(err).To(HaveOccurred())
		_, err = play(redSpec)
		Expect(err).To(HaveOccurred())
	})

	It("passes over the listed failures, prints them, and says which one passes", func() {
		out, err := play(redSpec + redPlain + green)
		Expect(err).NotTo(HaveOccurred(), out)
		Expect(out).To(ContainSubstring("KNOWN RED: ./testdata/sample :: a sample fails (always) (sample; issue 1)"))
		Expect(out).To(ContainSubstring("KNOWN RED: ./testdata/sample :: TestPlainRed (sample; issue 2)"))
		Expect(out).To(ContainSubstring("KNOWN RED PASSED, take it off the list if it keeps passing: ./testdata/sample :: a sample passes"))
	})

	It("runs a package by itself, last, and fails with it", func() {
		var runs []string
		goStandIn := func(arguments ...string) (Output, error) {
			if arguments[0] == "list" && arguments[1] == "./..." {
				return Output{Standard: "example.org/a\nexample.org/alone\n"}, nil
			}
			if arguments[0] == "list" {
				return Output{Standard: "example.org/alone\n"}, nil
			}
			runs = append(runs, strings.Join(arguments, " "))
			if arguments[1] == "./alone" {
				return Output{All: "FAIL"}, errors.New("exit status 1")
			}
			return Output{}, nil
		}
		err := Runner{Go: goStandIn, Out: &bytes.Buffer{}, Alone: []string{"./alone"}}.Run(nil)
		Expect(err).To(HaveOccurred())
		Expect(runs).To(Equal([]string{"test example.org/a", "test ./alone"}))
	})

	DescribeTable("refuses an entry that does not select exactly one test",
		func(test string) {
			_, err := play(sample + " :: " + test + " :: cause :: issue")
			Expect(err).To(MatchError(ContainSubstring("want 1")))
		},
		Entry("no such spec", "a sample sleeps"),
		Entry("no such Go test", "TestNothing"),
		Entry("part of a spec's text", "a sample"),
		Entry("the end of two texts", "ends with twice"),
	)
})

var _ = Describe("the packages to run", func() {
	It("are read from standard output alone", func() {
		// A stand-in for go with an empty module cache, which tells on standard error
		// what it downloads.
		goStandIn := func(arguments ...string) (Output, error) {
			return runProgram("./testdata/go-downloading", arguments...)
		}
		folders, err := Runner{Go: goStandIn}.foldersWithout([]string{"./b"})
		Expect(err).NotTo(HaveOccurred())
		Expect(folders).To(ConsistOf("example.org/a", "example.org/c"))
	})

	It("come with all that go printed when it fails", func() {
		failing := func(arguments ...string) (Output, error) {
			return runProgram("./testdata/go-downloading", "fail")
		}
		_, err := Runner{Go: failing}.foldersWithout([]string{"./b"})
		Expect(err).To(MatchError(ContainSubstring("no such module")))
	})
})

var _ = Describe("the test command of the README", func() {
	It("passes over the listed tests", func() {
		plan, err := runProgram("make", "--dry-run", "--directory=../..", "test")
		Expect(err).NotTo(HaveOccurred(), plan.All)
		Expect(strings.Split(plan.Standard, "\n")).To(ContainElement("go run ./scripts/knownred"))
		Expect(plan.Standard).NotTo(ContainSubstring("go test"))
	})

	It("is all that CI runs", func() {
		script, err := os.ReadFile("../../.ci/run")
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(strings.TrimSpace(string(script)), "\n")
		Expect(lines[len(lines)-1]).To(Equal("make test"))
		Expect(strings.Count(string(script), "make")).To(Equal(1))

		readme, err := os.ReadFile("../../README.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(readme)).To(ContainSubstring("\n    make test\n"))
	})
})

var _ = Describe("the list", func() {
	It("is empty when the file is absent", func() {
		entries, err := ReadFailures("testdata/absent.txt")
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(BeEmpty())
	})

	It("passes over empty lines and remarks", func() {
		entries, err := ParseFailures("# a remark\n\n ./a :: b c :: d :: e \n")
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(1))
		Expect(entries[0].Test).To(Equal("b c"))
		Expect(entries[0].Issue).To(Equal("e"))
	})

	DescribeTable("refuses lines that are not of its form",
		func(line string) {
			_, err := ParseFailures(line)
			Expect(err).To(HaveOccurred())
		},
		Entry("too few fields", "./a :: b :: c"),
		Entry("an empty field", "./a :: b ::  :: d"),
		Entry("many packages", "./... :: b :: c :: d"),
		Entry("an import path", "a/b :: b :: c :: d"),
		Entry("one test twice", "./a :: b :: c :: d\n./a :: b :: e :: f"),
	)

	It("of the repository is of its form", func() {
		_, err := ReadFailures("../../" + failuresPath)
		Expect(err).NotTo(HaveOccurred())
	})
})
