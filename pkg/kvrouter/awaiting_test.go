package kvrouter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// withOwn is a prompt of shared parts with one of its own at the end.
func withOwn(shared int, own string) []prefixindex.Part {
	return append(longPrompt(shared), prefixindex.Part{ID: own, Tokens: 500})
}

var _ = Describe("A prompt whose beginning is being read", func() {
	soon := late + 50*time.Millisecond

	It("waits until the replica has read it", func() {
		f := newTimedFleet("a")
		first := f.choose(late, withOwn(8, "first"))
		Expect(first.Awaited).To(BeNil())
		second := f.choose(soon, withOwn(8, "second"))
		Expect(second.Awaited).NotTo(BeNil())
		Expect(second.OverlapTokens).To(Equal(uint32(8000)))
		Expect(second.Awaited.Over(soon)).To(BeFalse())
		changed := second.Awaited.Changed()
		Expect(changed).NotTo(BeClosed())
		read := late + 250*time.Millisecond
		first.Reservation.FirstToken(read)
		Expect(changed).To(BeClosed())
		Expect(second.Awaited.Over(read)).To(BeTrue())
		Expect(f.choose(read, withOwn(8, "third")).Awaited).To(BeNil())
	})

	It("waits for prompts that other routers told of, until the replica reports the parts", func() {
		f := newTimedFleet("a")
		f.keeps("a", 1)
		links := kvrouter.Named.Links(model, salt(version), longPrompt(8))
		f.router.ObserveLinks(late, "a", links)
		decision := f.choose(soon, withOwn(8, "own"))
		Expect(decision.Awaited).NotTo(BeNil())
		Expect(decision.Awaited.Over(soon)).To(BeFalse())
		changed := decision.Awaited.Changed()
		var changes []kvrouter.PartChange
		for part := range 8 {
			changes = append(changes, held(uint64(part+2), part, 1000))
		}
		f.router.PartsReported(soon, "a", batch(1, 9), changes)
		Expect(changed).To(BeClosed())
		Expect(decision.Awaited.Over(soon)).To(BeTrue())
	})

	It("goes on when the earlier request ends without having been read", func() {
		f := newTimedFleet("a")
		first := f.choose(late, withOwn(8, "first"))
		second := f.choose(soon, withOwn(8, "second"))
		changed := second.Awaited.Changed()
		first.Reservation.Cancelled(soon)
		Expect(changed).To(BeClosed())
		Expect(second.Awaited.Over(soon)).To(BeTrue())
	})

	It("goes on when the replica begins a new life", func() {
		f := newTimedFleet("a")
		f.choose(late, withOwn(8, "first"))
		second := f.choose(soon, withOwn(8, "second"))
		changed := second.Awaited.Changed()
		f.candidates[0].Instance = "second"
		f.choose(soon, longPrompt(1))
		Expect(changed).To(BeClosed())
		Expect(second.Awaited.Over(soon)).To(BeTrue())
	})

	It("waits no longer than half as long again as expected, nor than the request may", func() {
		f := newTimedFleet("a")
		f.choose(late, withOwn(8, "first"))
		second := f.choose(late, withOwn(8, "second"))
		Expect(second.Awaited.Until() - late).To(BeNumerically("~", 420*time.Millisecond, 10*time.Millisecond))
		Expect(second.Awaited.Over(second.Awaited.Until())).To(BeTrue())
		f.change = func(request *kvrouter.Request) { request.MaxWait = 30 * time.Millisecond }
		third := f.choose(late, withOwn(8, "third"))
		Expect(third.Awaited.Until() - late).To(Equal(30 * time.Millisecond))
	})

	It("waits no longer than two seconds, however much the replica has to read", func() {
		f := newTimedFleet("a")
		f.choose(late, append(longPrompt(60), prefixindex.Part{ID: "first", Tokens: 500}))
		f.hasBacklog(late, "a", 5, 20_000)
		f.change = func(request *kvrouter.Request) { request.MaxWait = time.Minute }
		second := f.choose(late, append(longPrompt(60), prefixindex.Part{ID: "second", Tokens: 500}))
		Expect(second.Awaited.Until() - late).To(Equal(2 * time.Second))
	})

	It("does not wait when the parts have little in common", func() {
		f := newTimedFleet("a")
		f.choose(late, []prefixindex.Part{{ID: "short", Tokens: 200}, {ID: "x", Tokens: 8000}})
		Expect(f.choose(soon, []prefixindex.Part{{ID: "short", Tokens: 200}, {ID: "y", Tokens: 8000}}).Awaited).To(BeNil())
	})

	It("does not wait for less urgent prompts that take longer than the wait saves", func() {
		f := newTimedFleet("a")
		f.change = func(request *kvrouter.Request) { request.Priority = 7 }
		f.choose(late, append(longPrompt(2), prefixindex.Part{ID: "long", Tokens: 40_000}))
		f.change = func(request *kvrouter.Request) { request.Priority = 0 }
		f.settings.LessUrgentWeight = 0.1
		urgent := f.choose(late, withOwn(2, "urgent"))
		Expect(urgent.Awaited).To(BeNil())
		Expect(urgent.OverlapTokens).To(BeZero())
	})

	It("does not wait at a replica that keeps the beginning already", func() {
		f := newTimedFleet("a")
		f.keeps("a", 8)
		f.choose(late, withOwn(8, "first"))
		Expect(f.choose(soon, withOwn(8, "second")).Awaited).To(BeNil())
	})
})
