package kvrouter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
)

var _ = Describe("Load", func() {
	blocks := func(prefill, decode, requests float64) kvrouter.Load {
		return kvrouter.Load{PrefillBlocks: prefill, DecodeBlocks: decode, ActiveRequests: requests}
	}

	It("contains the load of the router's own reservations", func() {
		f := newFleet(slowLinks, "a")
		f.caches("a", links(prompt(10))[:4])
		reservation := f.choose(baseTime, prompt(10)).Reservation
		Expect(f.router.Load(baseTime, "a")).To(Equal(blocks(6, 10, 1)))
		reservation.FirstToken(baseTime + time.Second)
		reservation.FirstToken(baseTime + time.Second)
		Expect(f.router.Load(baseTime, "a")).To(Equal(blocks(0, 10, 1)))
		reservation.Progress(baseTime+2*time.Second, 3*blockTokens)
		reservation.Progress(baseTime+2*time.Second, 2*blockTokens)
		Expect(f.router.Load(baseTime, "a")).To(Equal(blocks(0, 13, 1)))
		reservation.Finish(baseTime+3*time.Second, true)
		reservation.Finish(baseTime+3*time.Second, true)
		reservation.FirstToken(baseTime + 3*time.Second)
		reservation.Progress(baseTime+3*time.Second, 100)
		Expect(f.router.Load(baseTime, "a")).To(Equal(blocks(0, 0, 0)))
	})

	It("adds the load that a delayed report shows beyond the local load at the reported instant", func() {
		f := newFleet(slowLinks, "a")
		first := f.choose(baseTime, prompt(10)).Reservation
		f.choose(baseTime+2*time.Second, prompt(20))
		first.Finish(baseTime+3*time.Second, false)
		// The report describes an instant when the replica had only the first request of this
		// router, and 30 blocks of another router.
		f.router.Report(baseTime+4*time.Second, "a", kvrouter.Report{
			ActivePrefillTokens: 10 * blockTokens,
			ActiveDecodeTokens:  (10 + 30) * blockTokens,
			ActiveRequests:      2,
			WeightVersion:       version,
			Incarnation:         firstIncarnation,
			Age:                 3 * time.Second,
		})
		Expect(f.router.Load(baseTime+2*time.Second, "a")).To(Equal(blocks(20, 20+30, 2)))
	})

	It("reduces the reported load of others as the report ages, and ignores older reports", func() {
		f := newFleet(slowLinks, "a")
		f.isBusyWith(baseTime, "a", 0, 80, 4)
		f.router.Report(baseTime, "a", kvrouter.Report{WeightVersion: version, Incarnation: firstIncarnation, Age: time.Second})
		Expect(f.router.Load(baseTime+2*time.Second, "a")).To(Equal(blocks(0, 80, 4)))
		Expect(f.router.Load(baseTime+6*time.Second, "a")).To(Equal(blocks(0, 40, 2)))
		Expect(f.router.Load(baseTime+10*time.Second, "a")).To(Equal(blocks(0, 0, 0)))
	})

	It("contains the load that a replica reported to a new router, until the replica restarts", func() {
		f := newFleet(slowLinks, "a", "b")
		f.isBusyWith(baseTime, "a", 50, 90, 3)
		Expect(f.choose(baseTime, prompt(10)).Address).To(Equal("b"))
		f.router.Stored(baseTime, "a", firstIncarnation+1, 1, nil)
		Expect(f.router.Load(baseTime, "a")).To(Equal(blocks(0, 0, 0)))
	})

	It("does not mix the state of a forgotten replica with that of its successor", func() {
		f := newFleet(slowLinks, "a")
		reservation := f.choose(baseTime, prompt(10)).Reservation
		f.router.Forget("a")
		f.router.Forget("a")
		Expect(f.router.Addresses()).To(BeEmpty())
		f.router.Report(baseTime, "b", kvrouter.Report{WeightVersion: version, Incarnation: firstIncarnation})
		reservation.Finish(baseTime, true)
		f.candidates[0].Address = "b"
		Expect(f.overlap(baseTime, "b", prompt(10))).To(BeZero())
	})
})

var _ = Describe("Active requests", func() {
	It("are the sum of the local ones and those announced by other routers", func() {
		router := kvrouter.New(kvrouter.Options{})
		Expect(router.ActiveRequests(0, "a:1")).To(BeZero())
		decision, err := router.Select(kvrouter.Request{Model: "m", SaltFor: func(string) string { return "salt" }, Settings: kvrouter.DefaultSettings()},
			[]kvrouter.Candidate{{Address: "a:1", WeightVersion: "w"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(router.ActiveRequests(0, "a:1")).To(Equal(1.0))
		router.SetRemoteLoad(0, "other", "a:1", replicaload.SharedLoad{Requests: 3})
		Expect(router.ActiveRequests(0, "a:1")).To(Equal(4.0))
		decision.Reservation.Finish(time.Millisecond, true)
		Expect(router.ActiveRequests(time.Millisecond, "a:1")).To(Equal(3.0))
	})
})
