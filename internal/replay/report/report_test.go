package report_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/replay/recording"
	"github.com/ridgeswitch/ridgeswitch/internal/replay/report"
)

const ms = time.Millisecond

// hour is a run over the first hour of a day.
var hour = report.Run{
	Source: report.SourceFleet, Target: "1 nodes", Records: "day", Speed: 10,
	Started: time.Date(2026, time.March, 2, 0, 0, 0, 0, time.UTC), UntilMS: time.Hour.Milliseconds(),
}

// samples are two tenants' requests to one pool, and one of the public to a web
// service.
func samples() []report.Sample {
	return []report.Sample{
		{
			At: 0, Tenant: "court", Destination: "cases", Streamed: true, Outcome: recording.Completed,
			PromptTokens: 1000, ReusedTokens: 250, FirstToken: 100 * ms, Total: 900 * ms, Deadline: time.Second,
		},
		{
			At: 30 * time.Minute, Tenant: "court", Destination: "cases", Outcome: recording.Completed, Retries: 2,
			PromptTokens: 1000, ReusedTokens: 750, FirstToken: 1100 * ms, Total: 1100 * ms, Deadline: time.Second,
		},
		{
			At: 30 * time.Minute, Tenant: "court", Destination: "cases", Outcome: recording.Refused, Problem: "queue_full",
			PromptTokens: 5000, Total: 5 * ms,
		},
		{
			At: 59 * time.Minute, Tenant: "school", Destination: "cases", Streamed: true, Outcome: recording.Completed,
			PromptTokens: 2000, ReusedTokens: 0, FirstToken: 300 * ms, Total: 500 * ms,
		},
		{At: 59 * time.Minute, Tenant: "school", Destination: "cases", Outcome: recording.Truncated, Total: ms},
		{At: 59 * time.Minute, Destination: "web calendar", Web: true, Outcome: recording.Completed, Total: 3 * ms},
	}
}

var _ = Describe("A report", func() {
	It("has the figures that can be counted by hand", func() {
		made := report.Build(hour, samples())
		Expect(made.Models).To(And(HaveField("Requests", 5), HaveField("Completed", 3), HaveField("Refused", 1),
			HaveField("Truncated", 1), HaveField("Late", 1), HaveField("Retries", 2)))
		Expect(made.Models.PromptTokens).To(Equal(uint64(4000)))
		Expect(made.Models.ReuseRatio).To(Equal(0.25))
		Expect(made.Models.RefusedBy).To(Equal([]report.Refusals{{Kind: "queue_full", Count: 1}}))
		Expect(made.Models.Total.Count).To(Equal(int64(3)))
		Expect(made.Models.Total.MeanMS).To(BeNumerically("~", 2500.0/3, 1))
		Expect(made.Models.Total.P50MS).To(BeNumerically("~", 900, 1))
		Expect(made.Models.Total.P99MS).To(BeNumerically("~", 1100, 1))
		Expect(made.Models.FirstToken.Count).To(Equal(int64(2)), "only streamed answers have a first token")
		Expect(made.Models.FirstToken.MaxMS).To(BeNumerically("~", 300, 1))
		Expect(made.Tenants).To(HaveLen(2))
		Expect(made.Tenants[0]).To(And(HaveField("Name", "court"), HaveField("ReuseRatio", 0.5)))
		Expect(made.Tenants[1]).To(And(HaveField("Name", "school"), HaveField("ReuseRatio", 0.0)))
		Expect(made.Destinations).To(HaveLen(2))
		Expect(made.Destinations[1]).To(And(HaveField("Name", "web calendar"), HaveField("Requests", 1)))
	})

	It("sorts latencies into buckets that double", func() {
		made := report.Build(hour, samples())
		last := made.Models.Total.Histogram[len(made.Models.Total.Histogram)-1]
		Expect(last).To(Equal(report.Bucket{UpToMS: 2048, Count: 1}))
		Expect(made.Models.Total.Histogram[9]).To(Equal(report.Bucket{UpToMS: 512, Count: 1}))
		Expect(made.Models.Total.Histogram[10]).To(Equal(report.Bucket{UpToMS: 1024, Count: 1}))
	})

	It("shows the requests over the day", func() {
		made := report.Build(hour, samples())
		Expect(made.Series).To(HaveLen(48))
		Expect(made.Series[0]).To(And(HaveField("Requests", 1), HaveField("ReuseRatio", 0.25)))
		Expect(made.Series[24]).To(And(HaveField("Requests", 2), HaveField("Refused", 1), HaveField("Retries", 2)))
		Expect(made.Series[47]).To(And(HaveField("Requests", 2), HaveField("Streamed", 1)))
	})

	It("takes what a recording tells of itself", func() {
		record := recording.Record{
			Tenant: "court", Pool: "cases", Streamed: true, Outcome: recording.Completed, Attempts: 3,
			ReusedTokens: 5, FirstUS: 2000, TotalUS: 4000, DeadlineMS: 1, Chunks: []recording.Chunk{{ID: "a", Tokens: 10}},
		}
		made := report.Build(hour, report.Recorded([]recording.Record{record}))
		Expect(made.Models).To(And(HaveField("Retries", 2), HaveField("ReuseRatio", 0.5), HaveField("Late", 1)))
		Expect(made.Models.FirstToken.P50MS).To(BeNumerically("~", 2, 0.01))
	})

	It("reads back what it wrote, and refuses other versions", func() {
		path := filepath.Join(GinkgoT().TempDir(), "report.json")
		made := report.Build(hour, samples())
		var out bytes.Buffer
		Expect(made.Write(&out)).To(Succeed())
		Expect(os.WriteFile(path, out.Bytes(), 0o600)).To(Succeed())
		Expect(report.Load(path)).To(Equal(made))
		Expect(os.WriteFile(path, []byte(`{"version":7}`), 0o600)).To(Succeed())
		_, err := report.Load(path)
		var version *report.VersionError
		Expect(errors.As(err, &version)).To(BeTrue())
		Expect(version.Found).To(Equal(7))
	})

	It("makes one page that needs no other file, with everything escaped", func() {
		all := samples()
		all[0].Tenant = "<script>"
		var page bytes.Buffer
		Expect(report.Build(hour, all).WriteHTML(&page)).To(Succeed())
		text := page.String()
		Expect(strings.Count(text, "<svg")).To(Equal(10))
		Expect(text).To(ContainSubstring("&lt;script&gt;"))
		Expect(text).NotTo(MatchRegexp(`<script|<link|src=|href=|https?://|\bNaN\b|\bInf\b`))
		Expect(text).To(ContainSubstring("queue_full 1"))
	})

	It("makes a page of no requests at all", func() {
		var page bytes.Buffer
		Expect(report.Build(hour, nil).WriteHTML(&page)).To(Succeed())
		Expect(page.String()).NotTo(MatchRegexp(`\bNaN\b|\bInf\b`))
	})
})

var _ = Describe("Compare", func() {
	It("finds nothing between equal reports", func() {
		made := report.Build(hour, samples())
		Expect(report.Compare(made, made)).To(BeEmpty())
		var out bytes.Buffer
		Expect(report.WriteComparison(&out, made, made)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("no figure differs"))
	})

	It("prints every figure that differs, also of groups that one report lacks", func() {
		changed := samples()
		changed[0].ReusedTokens = 1000
		a, b := report.Build(hour, samples()), report.Build(hour, changed[:3])
		differences := report.Compare(a, b)
		Expect(differences).To(ContainElement(report.Difference{Group: "tenant court", Figure: "reuse ratio", A: 0.5, B: 0.875}))
		Expect(differences).To(ContainElement(report.Difference{Group: "tenant school", Figure: "requests", A: 2, B: 0}))
		Expect(differences).NotTo(ContainElement(HaveField("Figure", "left")))
		var out bytes.Buffer
		Expect(report.WriteComparison(&out, a, b)).To(Succeed())
		Expect(out.String()).To(MatchRegexp(`tenant court +reuse ratio +0\.5 +0\.875 +0\.375 +\+75\.0%`))
	})
})
