package coldshare_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/coldshare"
)

func TestColdShare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coldshare")
}

const perSecond = 5.0

// trial sends as much as nodes with differing views let through, and returns the
// most requests in any second.
type trial struct {
	random *rand.Rand
	names  []string
	bounds map[string]*coldshare.Limiter
	sent   []time.Duration
	peak   int
}

func newTrial(seed uint64, nodes int) *trial {
	t := &trial{random: rand.New(rand.NewPCG(seed, 1)), bounds: map[string]*coldshare.Limiter{}}
	for number := range nodes {
		t.names = append(t.names, fmt.Sprint("node-", number))
	}
	for _, name := range t.names {
		t.bounds[name] = coldshare.New(coldshare.Options{Node: name, PerSecond: perSecond})
		t.bounds[name].SetNodes(0, t.names)
		t.bounds[name].Allowed(0, "replica")
	}
	return t
}

func (t *trial) send(now time.Duration) {
	for _, name := range t.names {
		for t.bounds[name].TryAcquire(now, "replica") {
			t.sent = append(t.sent, now)
		}
	}
	for len(t.sent) > 0 && t.sent[0] <= now-time.Second {
		t.sent = t.sent[1:]
	}
	t.peak = max(t.peak, len(t.sent))
}

// namesWithout returns the names but for some that are drawn.
func (t *trial) namesWithout(missing int) []string {
	names := append([]string(nil), t.names...)
	t.random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	return names[missing:]
}

var _ = Describe("Bound", func() {
	It("lets the fleet send the whole rate, and no more, when views agree", func() {
		t := newTrial(1, 9)
		total := 0
		for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
			before := len(t.sent)
			t.send(now)
			total += max(0, len(t.sent)-before)
		}
		Expect(t.peak).To(BeNumerically("<=", perSecond))
		Expect(t.peak).To(BeNumerically(">=", 4))
	})

	DescribeTable("stays below one and a half times the rate and five while views differ", func(seed uint64, nodes, missing int) {
		t := newTrial(seed, nodes)
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			if t.random.IntN(50) == 0 {
				name := t.names[t.random.IntN(nodes)]
				t.bounds[name].SetNodes(now, append(t.namesWithout(missing), name))
			}
			t.send(now)
		}
		Expect(t.peak).To(BeNumerically("<=", perSecond*1.5+5))
	},
		Entry("nine nodes, one of which others miss", uint64(1), 9, 1),
		Entry("nine nodes, two of which others miss", uint64(2), 9, 2),
		Entry("seventy-two nodes, six of which others miss", uint64(3), 72, 6))

	It("makes a node that becomes an owner wait until others know", func() {
		bound := coldshare.New(coldshare.Options{Node: "a", PerSecond: perSecond, Owners: 1})
		others := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		bound.SetNodes(0, others)
		address := ""
		for number := 0; ; number++ {
			address = fmt.Sprint("replica-", number)
			if bound.Allowed(time.Hour, address); !bound.Allowed(2*time.Hour, address) {
				break
			}
		}
		bound.SetNodes(3*time.Hour, []string{"a"})
		Expect(bound.TryAcquire(3*time.Hour+999*time.Millisecond, address)).To(BeFalse())
		for range int(perSecond) {
			Expect(bound.TryAcquire(3*time.Hour+time.Second, address)).To(BeTrue())
		}
		Expect(bound.TryAcquire(3*time.Hour+time.Second, address)).To(BeFalse())
		Expect(bound.TryAcquire(3*time.Hour+2*time.Second, address)).To(BeTrue())
	})

	It("gives all to one node where the rate is below one for each owner", func() {
		bound := coldshare.New(coldshare.Options{Node: "a", PerSecond: 1})
		bound.Allowed(0, "replica")
		Expect(bound.TryAcquire(time.Second, "replica")).To(BeTrue())
		Expect(bound.TryAcquire(time.Second, "replica")).To(BeFalse())
	})
})
