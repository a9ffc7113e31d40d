package kvrouter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

var _ = Describe("Pull", func() {
	const (
		blocks         = 100
		tokens         = blocks * blockTokens
		tokensToBytes  = 1000
		prefillSpeed   = 1000.0
		fastLink       = 10 * prefillSpeed * tokensToBytes
		slowLink       = prefillSpeed * tokensToBytes
		prefillSeconds = tokens / prefillSpeed
	)
	var (
		f       *fleet
		options kvrouter.Options
	)

	BeforeEach(func() {
		options = kvrouter.Options{
			BytesPerToken:          tokensToBytes,
			LinkBytesPerSecond:     fastLink,
			PrefillTokensPerSecond: prefillSpeed,
			LinkLatency:            time.Millisecond,
		}
		f = newFleet(options, "source", "target")
		f.caches("source", links(prompt(blocks)))
	})

	// observeBandwidth records a bandwidth in the router at the time of the requests.
	observeBandwidth := func(from string, bytesPerSecond float64) {
		f.isBusyWith(baseTime, "target", 0, 0, 0)
		f.router.ObserveLinkBandwidth(from, "zone", bytesPerSecond)
	}

	// selectTarget puts load on the source, so that the target is selected although the source
	// caches the prompt.
	selectTarget := func() kvrouter.Decision {
		req := f.request(baseTime, prompt(blocks))
		f.isBusyWith(baseTime, "source", 0, 10*blocks, 1)
		decision, err := f.router.Select(req, f.candidates)
		Expect(err).NotTo(HaveOccurred())
		Expect(decision.Address).To(Equal("target"))
		return decision
	}

	DescribeTable("limits the credit of a pull to the fraction of prefill time that it saves", func(speedup, credited float64) {
		observeBandwidth("zone", speedup*slowLink)
		const promptAndMemory = 2 * blocks
		Expect(selectTarget().Cost).To(BeNumerically("~", promptAndMemory-credited*blocks, 0.2))
	},
		Entry("for half the prefill time, multiplied by the pull advantage 1.25", 2.0, 1-1.25/2),
		Entry("for a quarter of the prefill time, multiplied by the pull advantage 1.25", 4.0, 1-1.25/4),
		Entry("for a tenth of the prefill time, where the peer credit is the limit", 10.0, kvrouter.DefaultPeerCredit))

	It("fetches the chunks after the replica's overlap, up to the end of the source's overlap", func() {
		f.caches("target", links(prompt(blocks))[:30])
		f.router.Removed(0, "source", firstIncarnation, 2, hashes(links(prompt(blocks))[90:91]))
		pull := selectTarget().Pull
		Expect(pull).To(HaveValue(And(
			HaveField("Source", "source"),
			HaveField("FirstChunk", 30),
			HaveField("LastChunk", 89),
			HaveField("Tokens", uint32(60*blockTokens)),
		)))
		seconds := 60 * blockTokens * tokensToBytes / fastLink
		Expect(pull.EstimatedTime.Seconds()).To(BeNumerically("~", seconds+0.001, 1e-6))
	})

	It("counts the fetched chunks with the peer credit, and not as prefill load", func() {
		decision := selectTarget()
		Expect(decision.Cost).To(BeNumerically("~", blocks-kvrouter.DefaultPeerCredit*blocks+blocks))
		Expect(f.router.Load(baseTime, "target").PrefillBlocks).To(BeZero())
	})

	It("plans prefill when the measured bandwidth of the link is too low", func() {
		observeBandwidth("zone", slowLink)
		decision := selectTarget()
		Expect(decision.Pull).To(BeNil())
		Expect(f.router.Load(baseTime, "target").PrefillBlocks).To(BeEquivalentTo(blocks))
		observeBandwidth("zone", 20*fastLink)
		Expect(selectTarget().Pull).NotTo(BeNil())
	})

	It("tries a slow link again when its measurement has expired", func() {
		observeBandwidth("zone", slowLink)
		Expect(selectTarget().Pull).To(BeNil())
		f.isBusyWith(baseTime+31*time.Second, "source", 0, 10*blocks, 1)
		Expect(f.choose(baseTime+31*time.Second, prompt(blocks)).Pull).NotTo(BeNil())
	})

	It("infers from late first tokens that the link is slow, and stops pulling", func() {
		for range 8 {
			decision := selectTarget()
			if decision.Pull == nil {
				return
			}
			decision.Reservation.FirstToken(baseTime + 4*time.Duration(prefillSeconds*float64(time.Second)))
			decision.Reservation.Finish(baseTime, false)
			f.router.Removed(baseTime, "target", firstIncarnation, 1, nil)
			f.router.Reset(baseTime, "target", firstIncarnation, 2, nil)
		}
		Fail("the router still plans pulls over a slow link after 8 late first tokens")
	})

	It("plans prefill when the replica's learned prefill speed is high", func() {
		f.candidates = f.candidates[1:]
		other := []prefixindex.Chunk{{ID: "other", Tokens: 10_000}}
		f.choose(baseTime, other).Reservation.FirstToken(baseTime + 100*time.Millisecond)
		f.candidates = append(f.candidates, kvrouter.Candidate{Address: "source", Zone: "zone", WeightVersion: version})
		Expect(selectTarget().Pull).To(BeNil())
	})

	It("pulls from another zone only if the pull saves more time", func() {
		f.candidates[0].Zone = "far"
		observeBandwidth("far", 1.6*slowLink)
		Expect(selectTarget().Pull).To(BeNil())
		f.candidates[0].Zone = "zone"
		observeBandwidth("zone", 1.6*slowLink)
		Expect(selectTarget().Pull).NotTo(BeNil())
	})

	It("does not pull from sources that are busy, uncertain, or at their limit of pulls", func() {
		for range kvrouter.DefaultMaxPullsPerSource {
			Expect(selectTarget().Pull).NotTo(BeNil())
		}
		last := selectTarget()
		Expect(last.Pull).To(BeNil())

		f = newFleet(options, "source", "target")
		f.caches("source", links(prompt(blocks)))
		f.settings.BusyThresholdBlocks = 10 * blocks
		Expect(selectTarget().Pull).To(BeNil())

		f = newFleet(options, "source", "target")
		f.caches("source", links(prompt(blocks)))
		f.router.Stored(baseTime, "source", firstIncarnation, 3, nil)
		Expect(selectTarget().Pull).To(BeNil())
	})

	It("no longer counts a pull at its source after the first token or the end of the attempt", func() {
		for round := range 3 * kvrouter.DefaultMaxPullsPerSource {
			decision := selectTarget()
			Expect(decision.Pull).NotTo(BeNil(), "round %d", round)
			decision.Reservation.Finish(baseTime, false)
		}
		for range kvrouter.DefaultMaxPullsPerSource + 1 {
			f.router.Reset(baseTime, "target", firstIncarnation, 1, nil)
			decision := selectTarget()
			Expect(decision.Pull).NotTo(BeNil())
			decision.Reservation.FirstToken(baseTime + decision.Pull.EstimatedTime)
		}
	})

	It("pulls from the store, but does not select the store to run the request", func() {
		f = newFleet(options, "target")
		f.router.Stored(0, "store", 1, 1, links(prompt(blocks)))
		req := f.request(baseTime, prompt(blocks))
		req.Store, req.StoreZone = "store", "zone"
		decision, err := f.router.Select(req, f.candidates)
		Expect(err).NotTo(HaveOccurred())
		Expect(decision.Address).To(Equal("target"))
		Expect(decision.Pull).To(HaveValue(HaveField("Source", "store")))
		Expect(decision.Cost).To(BeNumerically("~", blocks-kvrouter.DefaultStoreCredit*blocks+blocks))
		// A store that restarts without chunks has a new incarnation.
		f.router.Reset(baseTime, "store", 2, 1, nil)
		decision, err = f.router.Select(req, f.candidates)
		Expect(err).NotTo(HaveOccurred())
		Expect(decision.Pull).To(BeNil())
	})
})
