package timelinetest_test

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/timelinetest"
)

const text = `# two nodes
time | a@z1 | b

0s   | start(a b) | start
2s   |       | serving, alive(b)
2s   | kill
`

var _ = Describe("Timelines", func() {
	It("are parsed in the order of their rows, with the position of each step", func() {
		timeline, err := timelinetest.Parse(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(timeline.Columns).To(Equal([]string{"a@z1", "b"}))
		Expect(timeline.Instants).To(Equal([]timelinetest.Instant{
			{At: 0, Steps: []timelinetest.Step{
				{Column: 0, Verb: "start", Argument: "a b", Where: "line 4, a@z1: start(a b)"},
				{Column: 1, Verb: "start", Where: "line 4, b: start"},
			}},
			{At: 2 * time.Second, Steps: []timelinetest.Step{
				{Column: 1, Verb: "serving", Where: "line 5, b: serving"},
				{Column: 1, Verb: "alive", Argument: "b", Where: "line 5, b: alive(b)"},
			}},
			{At: 2 * time.Second, Steps: []timelinetest.Step{
				{Column: 0, Verb: "kill", Where: "line 6, a@z1: kill"},
			}},
		}))
	})

	DescribeTable("are rejected",
		func(rows, message string) {
			_, err := timelinetest.Parse(rows)
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("without a row after the first", "time | a\n", "no instants"),
		Entry("with an invalid time", "time | a\nsoon | start\n", "line 2"),
		Entry("with a time before zero", "time | a\n-1s | start\n", "line 2: -1s is before 0s"),
		Entry("whose times decrease", "time | a\n2s | start\n1s | kill\n", "line 3: 1s is before 2s"),
		Entry("with a cell that has no column", "time | a\n1s | start | kill\n", "line 2 has more cells"),
	)

	It("in a folder are named after their files", func() {
		folder := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(folder, "leave.txt"), []byte(text), 0o600)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(folder, "notes.md"), nil, 0o600)).To(Succeed())
		timelines, err := timelinetest.ReadAll(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(timelines).To(HaveLen(1))
		Expect(timelines[0].Name).To(Equal("leave"))
	})

	It("must exist in the folder", func() {
		_, err := timelinetest.ReadAll(GinkgoT().TempDir())
		Expect(err).To(MatchError(ContainSubstring("no timelines")))
	})
})
