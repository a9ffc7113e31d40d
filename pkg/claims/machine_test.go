package claims_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/claims"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// quiet is how long a home grants nothing after its start.
const quiet = remember + remember/8

var _ = Describe("Machine", func() {
	key := claims.KeyOf("court", "request-1")
	var c *cluster

	BeforeEach(func() {
		c = newCluster(1, 5)
		c.advance(quiet + step)
	})

	// settle returns what was decided of the newest submission of a node.
	settle := func(p *peer) claims.Outcome {
		before := c.outcomes
		c.outcomes = map[claims.Outcome]int{}
		c.submit(p, key)
		c.advance(claims.DefaultDecisionTimeout + 2*step)
		Expect(c.outcomes).To(HaveLen(1))
		for outcome := range c.outcomes {
			c.outcomes = before
			return outcome
		}
		return claims.Undecided
	}

	It("lets one node run a request, and refuses it everywhere else", func() {
		Expect(settle(c.peers[0])).To(Equal(claims.Acquired))
		for _, other := range c.peers {
			Expect(settle(other)).To(Equal(claims.AlreadyClaimed))
		}
		Expect(c.runs[key]).To(HaveLen(1))
	})

	It("remembers a run for a while after its end, and then no more", func() {
		Expect(settle(c.peers[0])).To(Equal(claims.Acquired))
		c.advance(c.runs[key][0].end - c.now + remember/2)
		Expect(settle(c.peers[1])).To(Equal(claims.AlreadyClaimed))
		c.advance(remember)
		Expect(settle(c.peers[1])).To(Equal(claims.Acquired))
	})

	It("gives a key back whose request has certainly not run", func() {
		number := c.submit(c.peers[0], key)
		c.send("a", c.peers[0].machine.End(c.now, number, false))
		delete(c.peers[0].open, number)
		c.advance(100 * time.Millisecond)
		Expect(settle(c.peers[1])).To(Equal(claims.Acquired))
	})

	It("decides without a home that has failed, and refuses at once without two", func() {
		c.freeze(c.peers[4], time.Hour)
		c.freeze(c.peers[3], time.Hour)
		held, undecided := 0, 0
		for number := range 60 {
			key = claims.KeyOf("court", fmt.Sprintf("failing-%d", number))
			if settle(c.peers[0]) == claims.Acquired {
				held++
			} else {
				undecided++
			}
		}
		// Of ten sets of three homes, three have both of the frozen ones.
		Expect(held).To(BeNumerically(">", 30))
		Expect(undecided).To(BeNumerically(">", 5))
	})

	It("grants nothing after a start until all that may have been granted is forgotten", func() {
		Expect(settle(c.peers[0])).To(Equal(claims.Acquired))
		for _, p := range c.peers {
			c.restart(p)
		}
		c.advance(quiet - 2*claims.DefaultDecisionTimeout)
		Expect(settle(c.peers[1])).To(Equal(claims.Undecided))
		c.advance(2 * claims.DefaultDecisionTimeout)
		Expect(settle(c.peers[1])).To(Equal(claims.Acquired))
	})

	It("keeps what still runs over restarts of all homes, one after the other", func() {
		number := c.submit(c.peers[0], key)
		c.advance(100 * time.Millisecond)
		c.runs[key][0].end = c.now + time.Hour
		for range 3 {
			for _, home := range c.peers[1:] {
				c.restart(home)
				c.advance(quiet)
			}
		}
		Expect(c.peers[0].machine.MayRun(c.now, number)).To(BeTrue())
		Expect(settle(c.peers[1])).To(Equal(claims.AlreadyClaimed))
	})

	It("takes the claim from a node that was frozen for long", func() {
		number := c.submit(c.peers[0], key)
		c.advance(30 * time.Millisecond)
		c.freeze(c.peers[0], 2*remember)
		c.advance(2*remember - 100*time.Millisecond)
		Expect(settle(c.peers[1])).To(Equal(claims.Acquired))
		Expect(c.peers[0].machine.MayRun(c.now, number)).To(BeFalse())
	})

	It("refuses a claimant whose directory is out of date", func() {
		newer := []claims.Set{{Epoch: 2, Members: []member.ID{"a", "b", "c"}}}
		for _, p := range c.peers[1:] {
			p.machine.SetDirectory(newer)
		}
		Expect(settle(c.peers[0])).To(Equal(claims.Undecided))
		Expect(settle(c.peers[1])).To(Equal(claims.Acquired))
	})

	It("says that it has no directory", func() {
		_, _, err := claims.New(claims.Config{Self: "a"}, 0).Claim(0, key)
		Expect(err).To(MatchError(claims.ErrNoDirectory))
	})

	It("forgets nothing for lack of room", func() {
		home := claims.New(claims.Config{Self: "a", Retention: remember, MaxEntries: 2}, 0)
		ask := func(now time.Duration, number claims.Number) claims.Kind {
			name := claims.KeyOf("court", fmt.Sprint(number))
			out := home.Step(now, "b", claims.Message{Kind: claims.Acquire, Key: name, Number: number, Epoch: 1})
			return out[0].Message.Kind
		}
		Expect(ask(quiet, 1)).To(Equal(claims.Granted))
		Expect(ask(quiet, 2)).To(Equal(claims.Granted))
		Expect(ask(quiet, 3)).To(Equal(claims.Full))
		Expect(ask(quiet, 1)).To(Equal(claims.Granted))
		Expect(ask(quiet+remember, 3)).To(Equal(claims.Granted))
		Expect(home.EntryCount()).To(Equal(1))
	})

	It("tells tenants apart whose names and identities run into each other", func() {
		Expect(claims.KeyOf("a", "bc")).NotTo(Equal(claims.KeyOf("ab", "c")))
	})
})

var _ = Describe("A deployment under faults", func() {
	DescribeTable("never runs a request twice within its window", func(seed uint64) {
		c := newCluster(seed, 5)
		c.loss, c.twice, c.latest = 0.05, 0.05, 60*time.Millisecond
		c.advance(quiet)
		for range 1500 {
			c.disturb()
			c.advance(time.Duration(c.random.IntN(4)) * step)
			target := c.peers[c.random.IntN(len(c.peers))]
			if target.frozenUntil <= c.now {
				c.submit(target, claims.KeyOf("court", fmt.Sprint(c.random.IntN(12))))
			}
		}
		c.advance(quiet)
		twice := c.checkRuns()
		GinkgoWriter.Printf("seed %d: %v, run again later %d times, %d directories\n", seed, c.outcomes, twice, len(c.plans))
		for _, outcome := range []claims.Outcome{claims.Acquired, claims.AlreadyClaimed, claims.Undecided} {
			Expect(c.outcomes[outcome]).To(BeNumerically(">", 0), outcome.String())
		}
		Expect(twice).To(BeNumerically(">", 0), "windows have to pass, or nothing was tried")
	},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)), Entry("seed 4", uint64(4)),
		Entry("seed 5", uint64(5)), Entry("seed 6", uint64(6)), Entry("seed 7", uint64(7)), Entry("seed 8", uint64(8)),
	)
})

// disturb brings a fault now and then.
func (c *cluster) disturb() {
	p := c.peers[c.random.IntN(len(c.peers))]
	switch c.random.IntN(120) {
	case 0:
		c.restart(p)
	case 1:
		c.freeze(p, time.Duration(c.random.Int64N(int64(3*remember))))
	case 2:
		other := c.peers[c.random.IntN(len(c.peers))]
		c.cut[[2]member.ID{p.id, other.id}] = true
	case 3, 4:
		clear(c.cut)
	case 5:
		var members []member.ID
		for _, one := range c.peers {
			if c.random.IntN(4) > 0 {
				members = append(members, one.id)
			}
		}
		if len(members) >= 3 {
			c.changeDirectory(members)
		}
	}
}
