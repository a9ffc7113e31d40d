package slowstart_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/slowstart"
)

func TestSlowStart(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slowstart")
}

const requestsPerSecond = 5.0

// simulation sends one replica as many requests as the limiters of all nodes allow.
type simulation struct {
	random   *rand.Rand
	names    []string
	limiters map[string]*slowstart.Limiter
	sent     []time.Duration
	// maxPerSecond is the largest number of requests in any second.
	maxPerSecond int
}

func newSimulation(seed uint64, nodes int) *simulation {
	t := &simulation{random: rand.New(rand.NewPCG(seed, 1)), limiters: map[string]*slowstart.Limiter{}}
	for number := range nodes {
		t.names = append(t.names, fmt.Sprint("node-", number))
	}
	for _, name := range t.names {
		t.limiters[name] = slowstart.New(slowstart.Options{Node: name, PerSecond: requestsPerSecond})
		t.limiters[name].SetNodes(0, t.names)
		t.limiters[name].Allowed(0, "replica")
	}
	return t
}

func (t *simulation) send(now time.Duration) {
	for _, name := range t.names {
		for t.limiters[name].TryAcquire(now, "replica") {
			t.sent = append(t.sent, now)
		}
	}
	for len(t.sent) > 0 && t.sent[0] <= now-time.Second {
		t.sent = t.sent[1:]
	}
	t.maxPerSecond = max(t.maxPerSecond, len(t.sent))
}

// namesWithout returns all names but a number of randomly drawn ones.
func (t *simulation) namesWithout(missing int) []string {
	names := append([]string(nil), t.names...)
	t.random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	return names[missing:]
}

var _ = Describe("Limiter", func() {
	It("lets the nodes send up to the rate when they agree on the live nodes", func() {
		t := newSimulation(1, 9)
		total := 0
		for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
			before := len(t.sent)
			t.send(now)
			total += max(0, len(t.sent)-before)
		}
		Expect(t.maxPerSecond).To(BeNumerically("<=", requestsPerSecond))
		Expect(t.maxPerSecond).To(BeNumerically(">=", 4))
	})

	DescribeTable("sends at most 1.5 times the rate plus 5 while the nodes disagree on the live nodes", func(seed uint64, nodes, missing int) {
		t := newSimulation(seed, nodes)
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			if t.random.IntN(50) == 0 {
				name := t.names[t.random.IntN(nodes)]
				t.limiters[name].SetNodes(now, append(t.namesWithout(missing), name))
			}
			t.send(now)
		}
		Expect(t.maxPerSecond).To(BeNumerically("<=", requestsPerSecond*1.5+5))
	},
		Entry("9 nodes, each of which misses 1 node", uint64(1), 9, 1),
		Entry("9 nodes, each of which misses 2 nodes", uint64(2), 9, 2),
		Entry("72 nodes, each of which misses 6 nodes", uint64(3), 72, 6))

	It("makes a node that becomes an owner wait for the ownership delay before it sends", func() {
		limiter := slowstart.New(slowstart.Options{Node: "a", PerSecond: requestsPerSecond, Owners: 1})
		nodes := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		limiter.SetNodes(0, nodes)
		address := ""
		for number := 0; ; number++ {
			address = fmt.Sprint("replica-", number)
			if limiter.Allowed(time.Hour, address); !limiter.Allowed(2*time.Hour, address) {
				break
			}
		}
		limiter.SetNodes(3*time.Hour, []string{"a"})
		Expect(limiter.TryAcquire(3*time.Hour+999*time.Millisecond, address)).To(BeFalse())
		for range int(requestsPerSecond) {
			Expect(limiter.TryAcquire(3*time.Hour+time.Second, address)).To(BeTrue())
		}
		Expect(limiter.TryAcquire(3*time.Hour+time.Second, address)).To(BeFalse())
		Expect(limiter.TryAcquire(3*time.Hour+2*time.Second, address)).To(BeTrue())
	})

	It("selects a single owner if the rate is below one request for each owner", func() {
		limiter := slowstart.New(slowstart.Options{Node: "a", PerSecond: 1})
		limiter.Allowed(0, "replica")
		Expect(limiter.TryAcquire(time.Second, "replica")).To(BeTrue())
		Expect(limiter.TryAcquire(time.Second, "replica")).To(BeFalse())
	})
})
