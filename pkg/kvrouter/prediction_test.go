package kvrouter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

var _ = DescribeTable("Prediction on a replica that reports",
	func(lag time.Duration, atFirstToken, atLag uint32) {
		const blocks = 10
		f := newFleet(kvrouter.Options{PredictionLag: lag}, "a")
		f.caches("a", links(prompt(1)))
		reservation := f.choose(late, prompt(blocks)).Reservation
		reservation.FirstToken(late)
		reservation.Finish(late, true)
		Expect(f.overlap(late, "a", prompt(blocks))).To(Equal(atFirstToken * blockTokens))
		Expect(f.overlap(late+kvrouter.DefaultReportLag, "a", prompt(blocks))).To(Equal(atLag * blockTokens))
	},
	Entry("lasts as long as reports may be late", time.Duration(0), uint32(10), uint32(1)),
	Entry("lasts as long as configured", time.Minute, uint32(10), uint32(10)),
	Entry("is not made when disabled", -time.Second, uint32(1), uint32(1)))
