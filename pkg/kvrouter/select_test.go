package kvrouter_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// slowLinks is a configuration with which every pull is slower than prefill.
var slowLinks = kvrouter.Options{LinkBytesPerSecond: 1}

var _ = Describe("Select", func() {
	It("reproduces the costs and the selection of the paper's figure with three workers", func() {
		f := newFleet(slowLinks, "worker-1", "worker-2", "worker-3")
		f.settings.BusyThresholdBlocks = 100
		allLinks := links(prompt(60))
		f.caches("worker-1", allLinks[:48])
		f.caches("worker-2", allLinks[:20])
		f.caches("worker-3", allLinks)
		f.isBusyWith(baseTime, "worker-1", 0, 46, 1)
		f.isBusyWith(baseTime, "worker-2", 0, 8, 1)
		f.isBusyWith(baseTime, "worker-3", 0, 100, 1)
		chosen := f.choose(baseTime, prompt(60))
		Expect(chosen.Address).To(Equal("worker-2"))
		// The figure omits the 60 blocks that the request occupies on any worker.
		Expect(chosen.Cost).To(BeNumerically("~", 48+60))
		chosen.Reservation.Finish(baseTime, false)
		f.candidates = f.candidates[:1]
		Expect(f.choose(baseTime, prompt(60)).Cost).To(BeNumerically("~", 58+60))
	})

	It("selects the replica with the largest overlap when loads are equal", func() {
		f := newFleet(slowLinks, "a", "b")
		f.caches("b", links(prompt(10))[:4])
		chosen := f.choose(baseTime, prompt(10))
		Expect(chosen.Address).To(Equal("b"))
		Expect(chosen.OverlapTokens).To(BeEquivalentTo(4 * blockTokens))
		Expect(chosen.PromptTokens).To(BeEquivalentTo(10 * blockTokens))
		Expect(chosen.CacheSalt).To(Equal(salt(version)))
		Expect(chosen.Pull).To(BeNil())
	})

	It("weights the prefill term and the active requests as configured", func() {
		f := newFleet(slowLinks, "a", "b")
		f.caches("a", links(prompt(10)))
		f.isBusyWith(baseTime, "a", 0, 12, 2)
		Expect(f.choose(baseTime, prompt(10)).Address).To(Equal("b"))
		f.settings.PrefillLoadScale = 2
		Expect(f.choose(baseTime, prompt(10)).Address).To(Equal("a"))
		f.settings.RequestWeight = 20
		Expect(f.choose(baseTime, prompt(10)).Address).To(Equal("b"))
	})

	It("limits the credit so that the prefill term does not become negative", func() {
		f := newFleet(slowLinks, "a")
		f.caches("a", links(prompt(10)))
		f.settings.LocalCredit = 3
		f.isBusyWith(baseTime, "a", 5, 7, 1)
		Expect(f.choose(baseTime, prompt(10)).Cost).To(BeNumerically("~", 7+10))
	})

	It("reads a pool's configuration, with defaults for unset fields", func() {
		Expect(kvrouter.SettingsFrom(nil)).To(Equal(kvrouter.DefaultSettings()))
		wanted := kvrouter.DefaultSettings()
		wanted.PeerCredit, wanted.BusyThresholdBlocks, wanted.Temperature = 0.5, 100, 0.1
		Expect(kvrouter.SettingsFrom(&ridgeswitchv1.Routing{PeerCredit: 0.5, BusyThresholdBlocks: 100, Temperature: 0.1})).To(Equal(wanted))
	})

	It("never finds chunks cached under another weight version or sharing domain", func() {
		f := newFleet(kvrouter.Options{LinkBytesPerSecond: 1e15})
		f.add("old", "zone", "v1")
		f.add("new", "zone", "v2")
		f.caches("old", links(prompt(10)))
		chosen := f.choose(baseTime, prompt(10))
		Expect(chosen.Address).To(Equal("old"))
		chosen.Reservation.Finish(baseTime, false)

		f.candidates = f.candidates[1:]
		chosen = f.choose(baseTime, prompt(10))
		Expect(chosen.Address).To(Equal("new"))
		Expect(chosen.CacheSalt).To(Equal(salt("v2")))
		Expect(chosen.OverlapTokens).To(BeZero())
		Expect(chosen.Pull).To(BeNil())

		f = newFleet(kvrouter.Options{}, "a")
		f.caches("a", links(prompt(10)))
		walled := f.request(baseTime, prompt(10))
		walled.SaltFor = func(weightVersion string) string { return "walled/" + weightVersion }
		decision, err := f.router.Select(walled, f.candidates)
		Expect(err).NotTo(HaveOccurred())
		Expect(decision.OverlapTokens).To(BeZero())
	})

	It("breaks ties by active requests, then by a hash of address and prompt", func() {
		f := newFleet(slowLinks, "a", "b", "c")
		f.isBusyWith(baseTime, "a", 0, 0, 2)
		f.isBusyWith(baseTime, "b", 0, 0, 1)
		f.isBusyWith(baseTime, "c", 0, 0, 2)
		Expect(f.choose(baseTime, nil).Address).To(Equal("b"))

		counts := map[string]int{}
		f = newFleet(slowLinks, "a", "b", "c")
		for number := range 300 {
			other := []prefixindex.Chunk{{ID: fmt.Sprint(number), Tokens: 1}}
			chosen := f.choose(baseTime, other)
			chosen.Reservation.Finish(baseTime, false)
			again := f.choose(baseTime, other)
			again.Reservation.Finish(baseTime, false)
			Expect(again.Address).To(Equal(chosen.Address))
			counts[chosen.Address]++
		}
		Expect(counts).To(HaveLen(3))
		for _, count := range counts {
			Expect(count).To(BeNumerically("~", 100, 30))
		}
	})

	It("samples with the given source of random numbers when the temperature is above 0", func() {
		f := newFleet(slowLinks, "a", "b", "c")
		f.isBusyWith(baseTime, "b", 0, 50, 0)
		f.isBusyWith(baseTime, "c", 0, 100, 0)
		draw := func(temperature float64, seed uint64) (counts map[string]int, order string) {
			counts = map[string]int{}
			req := f.request(baseTime, prompt(1))
			req.Settings.Temperature = temperature
			req.Random = rand.New(rand.NewPCG(seed, 0))
			for range 600 {
				decision, err := f.router.Select(req, f.candidates)
				Expect(err).NotTo(HaveOccurred())
				decision.Reservation.Finish(baseTime, false)
				counts[decision.Address]++
				order += decision.Address
			}
			return counts, order
		}
		// The normalized costs are 0, 0.5 and 1, so that the weights are 1, e^-1 and e^-2.
		counts, order := draw(0.5, 1)
		Expect(counts["a"]).To(BeNumerically("~", 399, 40))
		Expect(counts["b"]).To(BeNumerically("~", 147, 40))
		Expect(counts["c"]).To(BeNumerically("~", 54, 30))
		_, again := draw(0.5, 1)
		Expect(again).To(Equal(order))
		counts, _ = draw(0, 1)
		Expect(counts).To(Equal(map[string]int{"a": 600}))
	})

	It("returns the reason why no replica can take a request", func() {
		f := newFleet(slowLinks, "a", "b")
		refusal := func(req kvrouter.Request, candidates []kvrouter.Candidate) kvrouter.Reason {
			_, err := f.router.Select(req, candidates)
			var refused *kvrouter.NoReplicaError
			Expect(err).To(BeAssignableToTypeOf(refused))
			Expect(errors.As(err, &refused)).To(BeTrue())
			Expect(refused.RetryAfter).To(BeNumerically(">", 0))
			Expect(refused.Error()).To(ContainSubstring("again after"))
			return refused.Reason
		}
		req := f.request(baseTime, prompt(1))
		Expect(refusal(req, nil)).To(Equal(kvrouter.NoCandidates))
		req.Exclude = func(string) bool { return true }
		Expect(refusal(req, f.candidates)).To(Equal(kvrouter.AllExcluded))
		f.settings.BusyThresholdBlocks = 10
		f.isBusyWith(baseTime, "a", 4, 6, 1)
		req = f.request(baseTime, prompt(1))
		req.Exclude = func(address string) bool { return address == "b" }
		Expect(refusal(req, f.candidates)).To(Equal(kvrouter.AllBusy))
		Expect(f.choose(baseTime, prompt(1)).Address).To(Equal("b"))
	})
})

var _ = Describe("Slow start", func() {
	// admitted returns the number of requests that the replicas take at once, up to 1,000.
	admitted := func(f *fleet, now time.Duration) (count int) {
		var reservations []*kvrouter.Reservation
		for count < 1000 {
			decision, err := f.router.Select(f.request(now, nil), f.candidates)
			if err != nil {
				break
			}
			reservations = append(reservations, decision.Reservation)
			count++
		}
		for _, reservation := range reservations {
			reservation.Finish(now, false)
		}
		return count
	}

	It("limits the requests of a replica that is new, restarted or warming, and raises the limit with time", func() {
		f := newFleet(kvrouter.Options{}, "a")
		Expect(admitted(f, 0)).To(Equal(4))
		Expect(admitted(f, 5*time.Second)).To(Equal(24))
		Expect(admitted(f, 10*time.Second)).To(Equal(1000))

		f.router.Report(baseTime, "a", kvrouter.Report{WeightVersion: version, Incarnation: firstIncarnation, Warming: true})
		Expect(admitted(f, baseTime)).To(Equal(4))
		Expect(admitted(f, baseTime+10*time.Second)).To(Equal(1000))

		f.router.Reset(2*baseTime, "a", firstIncarnation+1, 1, nil)
		Expect(admitted(f, 2*baseTime)).To(Equal(4))
	})
})
