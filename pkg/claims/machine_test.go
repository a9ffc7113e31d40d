package claims_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/claims"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// startupWait is how long a home grants no new claims after its start.
const startupWait = retention + retention/8

var _ = Describe("Machine", func() {
	key := claims.KeyOf("court", "request-1")
	var c *cluster

	BeforeEach(func() {
		c = newCluster(1, 5)
		c.advance(startupWait + tickInterval)
	})

	// outcomeOf submits the request to a node and returns the outcome of the claim.
	outcomeOf := func(p *peer) claims.Outcome {
		before := c.outcomes
		c.outcomes = map[claims.Outcome]int{}
		c.submit(p, key)
		c.advance(claims.DefaultDecisionTimeout + 2*tickInterval)
		Expect(c.outcomes).To(HaveLen(1))
		for outcome := range c.outcomes {
			c.outcomes = before
			return outcome
		}
		return claims.Undecided
	}

	It("allows one node to run a request, and rejects the request on all nodes after that", func() {
		Expect(outcomeOf(c.peers[0])).To(Equal(claims.Acquired))
		for _, other := range c.peers {
			Expect(outcomeOf(other)).To(Equal(claims.AlreadyClaimed))
		}
		Expect(c.runs[key]).To(HaveLen(1))
	})

	It("remembers the key of a request until the retention has passed since its end", func() {
		Expect(outcomeOf(c.peers[0])).To(Equal(claims.Acquired))
		c.advance(c.runs[key][0].end - c.now + retention/2)
		Expect(outcomeOf(c.peers[1])).To(Equal(claims.AlreadyClaimed))
		c.advance(retention)
		Expect(outcomeOf(c.peers[1])).To(Equal(claims.Acquired))
	})

	It("releases a key whose request has certainly not run", func() {
		number := c.submit(c.peers[0], key)
		c.send("a", c.peers[0].machine.End(c.now, number, false))
		delete(c.peers[0].submissions, number)
		c.advance(100 * time.Millisecond)
		Expect(outcomeOf(c.peers[1])).To(Equal(claims.Acquired))
	})

	It("acquires claims if one of three homes has failed, and leaves them undecided if two have failed", func() {
		c.freeze(c.peers[4], time.Hour)
		c.freeze(c.peers[3], time.Hour)
		acquired, undecided := 0, 0
		for number := range 60 {
			key = claims.KeyOf("court", fmt.Sprintf("failing-%d", number))
			if outcomeOf(c.peers[0]) == claims.Acquired {
				acquired++
			} else {
				undecided++
			}
		}
		// Five nodes have ten subsets of three homes. Three of these contain both frozen nodes.
		Expect(acquired).To(BeNumerically(">", 30))
		Expect(undecided).To(BeNumerically(">", 5))
	})

	It("grants no claims after a start until all claims granted before it have expired", func() {
		Expect(outcomeOf(c.peers[0])).To(Equal(claims.Acquired))
		for _, p := range c.peers {
			c.restart(p)
		}
		c.advance(startupWait - 2*claims.DefaultDecisionTimeout)
		Expect(outcomeOf(c.peers[1])).To(Equal(claims.Undecided))
		c.advance(2 * claims.DefaultDecisionTimeout)
		Expect(outcomeOf(c.peers[1])).To(Equal(claims.Acquired))
	})

	It("preserves the claims of running requests when all homes restart one after the other", func() {
		number := c.submit(c.peers[0], key)
		c.advance(100 * time.Millisecond)
		c.runs[key][0].end = c.now + time.Hour
		for range 3 {
			for _, home := range c.peers[1:] {
				c.restart(home)
				c.advance(startupWait)
			}
		}
		Expect(c.peers[0].machine.MayRun(c.now, number)).To(BeTrue())
		Expect(outcomeOf(c.peers[1])).To(Equal(claims.AlreadyClaimed))
	})

	It("invalidates the claim of a node that was frozen for longer than the retention", func() {
		number := c.submit(c.peers[0], key)
		c.advance(30 * time.Millisecond)
		c.freeze(c.peers[0], 2*retention)
		c.advance(2*retention - 100*time.Millisecond)
		Expect(outcomeOf(c.peers[1])).To(Equal(claims.Acquired))
		Expect(c.peers[0].machine.MayRun(c.now, number)).To(BeFalse())
	})

	It("grants nothing to a claimant whose directory is out of date", func() {
		newer := []claims.Set{{Epoch: 2, Members: []member.ID{"a", "b", "c"}}}
		for _, p := range c.peers[1:] {
			p.machine.SetDirectory(newer)
		}
		Expect(outcomeOf(c.peers[0])).To(Equal(claims.Undecided))
		Expect(outcomeOf(c.peers[1])).To(Equal(claims.Acquired))
	})

	It("returns ErrNoDirectory if it has no directory", func() {
		_, _, err := claims.New(claims.Config{Self: "a"}, 0).Claim(0, key)
		Expect(err).To(MatchError(claims.ErrNoDirectory))
	})

	It("removes no unexpired entry when it is full", func() {
		home := claims.New(claims.Config{Self: "a", Retention: retention, MaxEntries: 2}, 0)
		acquire := func(now time.Duration, number claims.Number) claims.Kind {
			name := claims.KeyOf("court", fmt.Sprint(number))
			out := home.Step(now, "b", claims.Message{Kind: claims.Acquire, Key: name, Number: number, Epoch: 1})
			return out[0].Message.Kind
		}
		Expect(acquire(startupWait, 1)).To(Equal(claims.Granted))
		Expect(acquire(startupWait, 2)).To(Equal(claims.Granted))
		Expect(acquire(startupWait, 3)).To(Equal(claims.Full))
		Expect(acquire(startupWait, 1)).To(Equal(claims.Granted))
		Expect(acquire(startupWait+retention, 3)).To(Equal(claims.Granted))
		Expect(home.EntryCount()).To(Equal(1))
	})

	It("distinguishes keys whose tenant and request ID concatenate to the same text", func() {
		Expect(claims.KeyOf("a", "bc")).NotTo(Equal(claims.KeyOf("ab", "c")))
	})
})

var _ = Describe("A deployment under faults", func() {
	DescribeTable("never runs a request twice while its key is remembered", func(seed uint64) {
		c := newCluster(seed, 5)
		c.loss, c.duplication, c.maxDelay = 0.05, 0.05, 60*time.Millisecond
		c.advance(startupWait)
		for range 1500 {
			c.injectFault()
			c.advance(time.Duration(c.random.IntN(4)) * tickInterval)
			target := c.peers[c.random.IntN(len(c.peers))]
			if target.frozenUntil <= c.now {
				c.submit(target, claims.KeyOf("court", fmt.Sprint(c.random.IntN(12))))
			}
		}
		c.advance(startupWait)
		repeated := c.checkRuns()
		GinkgoWriter.Printf("seed %d: %v, %d repeated runs, %d directories\n", seed, c.outcomes, repeated, len(c.directories))
		for _, outcome := range []claims.Outcome{claims.Acquired, claims.AlreadyClaimed, claims.Undecided} {
			Expect(c.outcomes[outcome]).To(BeNumerically(">", 0), outcome.String())
		}
		Expect(repeated).To(BeNumerically(">", 0), "the spec must include runs of a request after its key expired")
	},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)), Entry("seed 4", uint64(4)),
		Entry("seed 5", uint64(5)), Entry("seed 6", uint64(6)), Entry("seed 7", uint64(7)), Entry("seed 8", uint64(8)),
	)
})

// injectFault injects, with a small probability, one fault: a restart, a freeze, a blocked
// pair of nodes or a change of the directory. It also removes blocks.
func (c *cluster) injectFault() {
	p := c.peers[c.random.IntN(len(c.peers))]
	switch c.random.IntN(120) {
	case 0:
		c.restart(p)
	case 1:
		c.freeze(p, time.Duration(c.random.Int64N(int64(3*retention))))
	case 2:
		other := c.peers[c.random.IntN(len(c.peers))]
		c.blocked[[2]member.ID{p.id, other.id}] = true
	case 3, 4:
		clear(c.blocked)
	case 5:
		var members []member.ID
		for _, other := range c.peers {
			if c.random.IntN(4) > 0 {
				members = append(members, other.id)
			}
		}
		if len(members) >= 3 {
			c.changeDirectory(members)
		}
	}
}
