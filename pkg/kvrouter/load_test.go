package kvrouter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

var _ = Describe("Load", func() {
	blocks := func(prefill, decode, requests float64) kvrouter.Load {
		return kvrouter.Load{PrefillBlocks: prefill, DecodeBlocks: decode, ActiveRequests: requests}
	}

	It("follows the reservations of the router itself", func() {
		f := newFleet(slowLinks, "a")
		f.caches("a", links(prompt(10))[:4])
		reservation := f.choose(late, prompt(10)).Reservation
		Expect(f.router.Load(late, "a")).To(Equal(blocks(6, 10, 1)))
		reservation.FirstToken(late + time.Second)
		reservation.FirstToken(late + time.Second)
		Expect(f.router.Load(late, "a")).To(Equal(blocks(0, 10, 1)))
		reservation.Progress(late+2*time.Second, 3*blockTokens)
		reservation.Progress(late+2*time.Second, 2*blockTokens)
		Expect(f.router.Load(late, "a")).To(Equal(blocks(0, 13, 1)))
		reservation.Finish(late+3*time.Second, true)
		reservation.Finish(late+3*time.Second, true)
		reservation.FirstToken(late + 3*time.Second)
		reservation.Progress(late+3*time.Second, 100)
		Expect(f.router.Load(late, "a")).To(Equal(blocks(0, 0, 0)))
	})

	It("adds what a late report shows in excess of the local load of its time", func() {
		f := newFleet(slowLinks, "a")
		first := f.choose(late, prompt(10)).Reservation
		f.choose(late+2*time.Second, prompt(20))
		first.Finish(late+3*time.Second, false)
		// The report describes the time when only the first request was there,
		// together with 30 blocks of another router.
		f.router.Report(late+4*time.Second, "a", kvrouter.Report{
			ActivePrefillTokens: 10 * blockTokens,
			ActiveDecodeTokens:  (10 + 30) * blockTokens,
			ActiveRequests:      2,
			WeightVersion:       version,
			Incarnation:         firstIncarnation,
			Age:                 3 * time.Second,
		})
		Expect(f.router.Load(late+2*time.Second, "a")).To(Equal(blocks(20, 20+30, 2)))
	})

	It("lets the work of others fade as the report ages, and ignores older reports", func() {
		f := newFleet(slowLinks, "a")
		f.isBusyWith(late, "a", 0, 80, 4)
		f.router.Report(late, "a", kvrouter.Report{WeightVersion: version, Incarnation: firstIncarnation, Age: time.Second})
		Expect(f.router.Load(late+2*time.Second, "a")).To(Equal(blocks(0, 80, 4)))
		Expect(f.router.Load(late+6*time.Second, "a")).To(Equal(blocks(0, 40, 2)))
		Expect(f.router.Load(late+10*time.Second, "a")).To(Equal(blocks(0, 0, 0)))
	})

	It("adopts the load that a new router finds", func() {
		f := newFleet(slowLinks, "a", "b")
		f.isBusyWith(late, "a", 50, 90, 3)
		Expect(f.choose(late, prompt(10)).Address).To(Equal("b"))
		f.router.Stored(late, "a", firstIncarnation+1, 1, nil)
		Expect(f.router.Load(late, "a")).To(Equal(blocks(0, 0, 0)))
	})

	It("separates the load of a replica that was forgotten from its successor's", func() {
		f := newFleet(slowLinks, "a")
		reservation := f.choose(late, prompt(10)).Reservation
		f.router.Forget("a")
		f.router.Forget("a")
		Expect(f.router.Addresses()).To(BeEmpty())
		f.router.Report(late, "b", kvrouter.Report{WeightVersion: version, Incarnation: firstIncarnation})
		reservation.Finish(late, true)
		f.candidates[0].Address = "b"
		Expect(f.overlap(late, "b", prompt(10))).To(BeZero())
	})
})

var _ = Describe("Predictions", func() {
	It("stand for 120 s in for a replica that never reports what it caches", func() {
		f := newFleet(slowLinks, "a")
		f.choose(late, prompt(10)).Reservation.Finish(late, true)
		Expect(f.overlap(late+119*time.Second, "a", prompt(10))).To(BeEquivalentTo(10 * blockTokens))
		Expect(f.overlap(late+120*time.Second, "a", prompt(10))).To(BeZero())
	})

	It("bridge the lag of a replica that does report", func() {
		f := newFleet(slowLinks, "a")
		f.caches("a", nil)
		reservation := f.choose(late, prompt(10)).Reservation
		Expect(f.overlap(late, "a", prompt(10))).To(BeZero())
		reservation.FirstToken(late)
		Expect(f.overlap(late+4*time.Second, "a", prompt(10))).To(BeEquivalentTo(10 * blockTokens))
		reservation.Finish(late+4*time.Second, true)
		Expect(f.overlap(late+5*time.Second, "a", prompt(10))).To(BeZero())
	})

	It("are not made for attempts that failed or that a restart has overtaken", func() {
		f := newFleet(slowLinks, "a")
		f.choose(late, prompt(10)).Reservation.Finish(late, false)
		Expect(f.overlap(late, "a", prompt(10))).To(BeZero())
		reservation := f.choose(late, prompt(10)).Reservation
		f.router.Report(late, "a", kvrouter.Report{WeightVersion: version, Incarnation: firstIncarnation + 1})
		reservation.Finish(late, true)
		Expect(f.overlap(2*late, "a", prompt(10))).To(BeZero())
	})

	It("earn less credit than reports", func() {
		f := newFleet(slowLinks, "a", "b")
		f.candidates = f.candidates[:1]
		f.choose(late, prompt(10)).Reservation.Finish(late, true)
		f.candidates = append(f.candidates, kvrouter.Candidate{Address: "b", Zone: "zone", WeightVersion: version})
		f.caches("b", links(prompt(10))[:8])
		Expect(f.choose(late, prompt(10)).Address).To(Equal("b"))
	})
})
