package kvrouter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

var _ = Describe("Predictions", func() {
	It("last 120 s on a replica that never reports what it caches", func() {
		f := newFleet(slowLinks, "a")
		f.choose(baseTime, prompt(10)).Reservation.Finish(baseTime, true)
		Expect(f.overlap(baseTime+119*time.Second, "a", prompt(10))).To(BeEquivalentTo(10 * blockTokens))
		Expect(f.overlap(baseTime+120*time.Second, "a", prompt(10))).To(BeZero())
	})

	It("last from the first token until a report is due on a replica that reports what it caches", func() {
		f := newFleet(slowLinks, "a")
		f.caches("a", nil)
		reservation := f.choose(baseTime, prompt(10)).Reservation
		Expect(f.overlap(baseTime, "a", prompt(10))).To(BeZero())
		reservation.FirstToken(baseTime)
		Expect(f.overlap(baseTime+4*time.Second, "a", prompt(10))).To(BeEquivalentTo(10 * blockTokens))
		reservation.Finish(baseTime+4*time.Second, true)
		Expect(f.overlap(baseTime+5*time.Second, "a", prompt(10))).To(BeZero())
	})

	It("are not made for attempts that failed or that began before a restart of the replica", func() {
		f := newFleet(slowLinks, "a")
		f.choose(baseTime, prompt(10)).Reservation.Finish(baseTime, false)
		Expect(f.overlap(baseTime, "a", prompt(10))).To(BeZero())
		reservation := f.choose(baseTime, prompt(10)).Reservation
		f.router.Report(baseTime, "a", kvrouter.Report{WeightVersion: version, Incarnation: firstIncarnation + 1})
		reservation.Finish(baseTime, true)
		Expect(f.overlap(2*baseTime, "a", prompt(10))).To(BeZero())
	})

	It("receive less credit than reports", func() {
		f := newFleet(slowLinks, "a", "b")
		f.candidates = f.candidates[:1]
		f.choose(baseTime, prompt(10)).Reservation.Finish(baseTime, true)
		f.candidates = append(f.candidates, kvrouter.Candidate{Address: "b", Zone: "zone", WeightVersion: version})
		f.caches("b", links(prompt(10))[:8])
		Expect(f.choose(baseTime, prompt(10)).Address).To(Equal("b"))
	})
})

var _ = DescribeTable("Prediction on a replica that reports",
	func(lag time.Duration, atFirstToken, atLag uint32) {
		const blocks = 10
		f := newFleet(kvrouter.Options{PredictionLag: lag}, "a")
		f.caches("a", links(prompt(1)))
		reservation := f.choose(baseTime, prompt(blocks)).Reservation
		reservation.FirstToken(baseTime)
		reservation.Finish(baseTime, true)
		Expect(f.overlap(baseTime, "a", prompt(blocks))).To(Equal(atFirstToken * blockTokens))
		Expect(f.overlap(baseTime+kvrouter.DefaultReportLag, "a", prompt(blocks))).To(Equal(atLag * blockTokens))
	},
	Entry("lasts for ReportLag by default", time.Duration(0), uint32(10), uint32(1)),
	Entry("lasts as long as configured", time.Minute, uint32(10), uint32(10)),
	Entry("is not made when disabled", -time.Second, uint32(1), uint32(1)))
