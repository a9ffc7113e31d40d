package kvrouter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

var _ = Describe("A snapshot of what a replica keeps", func() {
	const address = "replica"
	const incarnation = 77
	var full, started *kvrouter.Router
	BeforeEach(func() {
		full = kvrouter.New(kvrouter.Options{})
		started = kvrouter.New(kvrouter.Options{})
	})

	// report tells a router of the change with a number.
	report := func(router *kvrouter.Router, sequence uint64, part, tokens int) {
		router.PartsReported(0, address, kvrouter.Feed{Incarnation: incarnation, From: sequence - 1, Next: sequence},
			[]kvrouter.PartChange{{Sequence: sequence, ID: fmt.Sprint(part), Tokens: uint32(tokens), Removed: tokens == 0}})
	}
	// known returns what a router knows, and whether that is all.
	known := func(router *kvrouter.Router) (map[uint64]uint32, bool) {
		at, parts, present := router.PartsSnapshot(address)
		Expect(present).To(BeTrue())
		kept := make(map[uint64]uint32)
		for _, part := range parts {
			kept[uint64(part.Name)] = part.Tokens
		}
		return kept, !at.Lost
	}
	// same expects that the started router knows all that the other one does.
	same := func() {
		wanted, _ := known(full)
		got, complete := known(started)
		ExpectWithOffset(1, got).To(Equal(wanted))
		ExpectWithOffset(1, complete).To(BeTrue())
	}
	adopt := func(router *kvrouter.Router, at kvrouter.Feed, parts []kvrouter.PartChange) kvrouter.FeedStatus {
		return router.AdoptParts(0, address, at, parts)
	}

	It("is unknown for a replica that has reported nothing", func() {
		_, _, present := full.PartsSnapshot(address)
		Expect(present).To(BeFalse())
	})

	It("is all that a router knows that has heard nothing itself, and later changes follow it", func() {
		report(full, 1, 1, 10)
		report(full, 2, 2, 20)
		at, parts, _ := full.PartsSnapshot(address)
		Expect(adopt(started, at, parts)).To(Equal(kvrouter.Accepted))
		same()
		for _, router := range []*kvrouter.Router{full, started} {
			report(router, 3, 1, 0)
			report(router, 4, 3, 30)
		}
		same()
	})

	It("fits beneath the changes that a started router has followed, at whatever time it is made", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			full, started = kvrouter.New(kvrouter.Options{}), kvrouter.New(kvrouter.Options{})
			const changes = 60
			begins := 2 + random.IntN(changes-2)
			made := begins - 1 + random.IntN(changes-begins+1)
			taken := max(begins, made) + random.IntN(changes-max(begins, made)+1)
			var at kvrouter.Feed
			var parts []kvrouter.PartChange
			for sequence := 1; sequence <= changes; sequence++ {
				part, tokens := random.IntN(8), random.IntN(3)*50
				report(full, uint64(sequence), part, tokens)
				if sequence == made {
					at, parts, _ = full.PartsSnapshot(address)
				}
				if sequence >= begins {
					report(started, uint64(sequence), part, tokens)
				}
				if sequence == taken {
					Expect(adopt(started, at, parts)).To(Equal(kvrouter.Accepted), "begins %d, made %d, taken %d", begins, made, taken)
				}
			}
			same()
		}
	})

	It("is stale if changes between it and those that were followed are missing", func() {
		report(full, 1, 1, 10)
		at, parts, _ := full.PartsSnapshot(address)
		report(started, 3, 2, 20)
		Expect(adopt(started, at, parts)).To(Equal(kvrouter.Stale))
		kept, complete := known(started)
		Expect(kept).To(HaveLen(1))
		Expect(complete).To(BeFalse())
	})

	It("is stale for a router that has followed every change", func() {
		report(full, 1, 1, 10)
		at, parts, _ := full.PartsSnapshot(address)
		report(started, 1, 1, 10)
		report(started, 2, 1, 0)
		Expect(adopt(started, at, parts)).To(Equal(kvrouter.Stale))
		kept, _ := known(started)
		Expect(kept).To(BeEmpty())
	})

	It("is stale if it is of another start of the replica", func() {
		report(full, 1, 1, 10)
		at, parts, _ := full.PartsSnapshot(address)
		at.Incarnation++
		report(started, 3, 2, 20)
		Expect(adopt(started, at, parts)).To(Equal(kvrouter.Stale))
		Expect(adopt(started, kvrouter.Feed{Incarnation: incarnation, Next: 3}, parts)).To(Equal(kvrouter.Accepted))
	})

	It("stays incomplete if the router that made it has missed something", func() {
		report(full, 5, 1, 10)
		at, parts, _ := full.PartsSnapshot(address)
		Expect(at.Lost).To(BeTrue())
		Expect(adopt(started, at, parts)).To(Equal(kvrouter.Accepted))
		kept, complete := known(started)
		Expect(kept).To(HaveLen(1))
		Expect(complete).To(BeFalse())
	})

	It("cannot be taken beneath changes of which some were lost", func() {
		report(full, 1, 1, 10)
		report(full, 2, 2, 10)
		at, parts, _ := full.PartsSnapshot(address)
		report(started, 2, 2, 10)
		started.PartsReported(time.Second, address, kvrouter.Feed{Incarnation: incarnation, From: 5, Next: 6, Lost: true}, nil)
		Expect(adopt(started, at, parts)).To(Equal(kvrouter.Stale))
	})
})
