package kvrouter_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

// serve sends a prompt to one of the fleet's replicas, whose first event takes a
// time.
func (f *timedFleet) serve(now time.Duration, at int, tokens uint32, took time.Duration) {
	all := f.candidates
	f.candidates = all[at : at+1]
	decision := f.choose(now, otherPrompt(fmt.Sprint(at, now), tokens))
	f.candidates = all
	decision.Reservation.FirstToken(now + took)
	decision.Reservation.Finish(now+took, true)
}

// expectedAt is the expected time to the first event of a prompt at a replica.
func (f *timedFleet) expectedAt(now time.Duration, at int, tokens uint32) time.Duration {
	all := f.candidates
	f.candidates = all[at : at+1]
	decision := f.choose(now, otherPrompt(fmt.Sprint("expected ", at, now), tokens))
	f.candidates = all
	decision.Reservation.Cancelled(now)
	return decision.ExpectedDelay
}

var _ = Describe("Observations of speed", func() {
	It("tell the other routers at once that a replica is slow", func() {
		here, elsewhere := newTimedFleet("a", "b"), newTimedFleet("a", "b")
		elsewhere.serve(late, 0, 1000, 45*time.Millisecond)
		elsewhere.serve(late+time.Second, 1, 1000, 45*time.Millisecond)
		here.serve(late, 0, 8000, 220*time.Millisecond)
		here.serve(late+time.Second, 1, 8000, 440*time.Millisecond)
		observations := here.router.OwnObservations()
		Expect(observations).To(ContainElement(HaveField("Address", "b")))
		Expect(here.router.OwnObservations()).To(BeEmpty(), "told once")
		for _, observed := range observations {
			elsewhere.router.ObserveElsewhere(late+2*time.Second, observed)
		}
		at := late + 3*time.Second
		slow, usual := elsewhere.expectedAt(at, 1, 8000), elsewhere.expectedAt(at, 0, 8000)
		Expect(slow.Seconds()).To(BeNumerically(">", 1.3*usual.Seconds()))
	})

	It("are not made of a replica that had other requests", func() {
		f := newTimedFleet("a")
		before := f.expectedAt(late, 0, 8000)
		f.router.RemoteLoad(late, "other", "a", kvrouter.SharedLoad{Requests: 1, DecodeTokens: 100})
		f.serve(late, 0, 8000, 3*before)
		Expect(f.router.OwnObservations()).To(BeEmpty())
	})

	It("are not made when another router's request joined while the prompt was read", func() {
		f := newTimedFleet("a")
		decision := f.choose(late, otherPrompt("x", 8000))
		f.router.RemoteLoad(late+50*time.Millisecond, "other", "a", kvrouter.SharedLoad{Requests: 1})
		decision.Reservation.FirstToken(late + time.Second)
		Expect(f.router.OwnObservations()).To(BeEmpty())
	})

	It("are told only if the time was not expected", func() {
		f := newTimedFleet("a")
		for round := range 30 {
			f.serve(late+time.Duration(round)*time.Second, 0, 8000, 300*time.Millisecond)
		}
		f.router.OwnObservations()
		f.serve(late+time.Minute, 0, 8000, 300*time.Millisecond)
		Expect(f.router.OwnObservations()).To(BeEmpty())
		f.serve(late+2*time.Minute, 0, 8000, 450*time.Millisecond)
		Expect(f.router.OwnObservations()).To(HaveLen(1))
	})

	It("of unknown replicas or models are passed over", func() {
		f := newTimedFleet("a")
		f.router.ObserveElsewhere(late, kvrouter.Observation{Address: "gone", Model: "other", Tokens: 8000, Milliseconds: 1})
		Expect(f.router.Addresses()).To(BeEmpty())
	})
})
