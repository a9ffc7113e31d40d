package listing

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// excludedWithin is how soon after the list shows it every node in touch stops
// sending to a replica.
const excludedWithin = 2 * time.Second

// disturb does something to one node, and tells what.
func (w *simulation) disturb(kind int, victim *testNode) string {
	switch kind {
	case 0:
		w.kill(victim)
		return "killed"
	case 1:
		victim.frozen = true
		victim.silent = w.now
		return "frozen"
	case 2:
		w.setPartitioned(victim, true)
		return "isolated"
	default:
		victim.failing = true
		return "failing"
	}
}

var _ = Describe("the list", func() {
	It("leaves every node in touch within two seconds, whatever happens to the reader", func() {
		for seed := range uint64(160) {
			w := newSimulation(seed)
			w.deployment(3+2*int(seed%2), 2+int(seed%20))
			w.loss = []float64{0, 0.02}[seed/2%2]
			w.runUntil(4 * time.Second)
			Expect(w.readers()).To(Equal(1), "seed %d", seed)
			reader := w.reader()
			kind := int(seed / 4 % 4)
			drainsAt := w.now + w.upTo(time.Second)
			w.after(drainsAt-w.now, func() { w.setReplica("x", func(one *Replica) { one.Draining = true }) })
			w.after(w.upTo(1200*time.Millisecond), func() { w.disturb(kind, reader) })
			w.runUntil(drainsAt + excludedWithin)
			for _, one := range w.nodes {
				disturbed := one == reader && kind < 3
				Expect(disturbed || !admits(one, "x")).To(BeTrue(), "seed %d: %s, reader %s, kind %d", seed, one.id, reader.id, kind)
			}
		}
	})

	It("never comes back once it excluded a replica, with readers that come and go", func() {
		for seed := range uint64(80) {
			w := newSimulation(1000 + seed)
			w.deployment(3, 3+int(seed%8))
			w.runUntil(3 * time.Second)
			w.after(time.Second+w.upTo(4*time.Second), func() { w.removeReplica("y") })
			w.after(time.Second+w.upTo(4*time.Second), func() { w.setReplica("x", func(one *Replica) { one.Draining = true }) })
			for range 4 {
				victim := w.nodes[w.random.IntN(len(w.nodes))]
				w.after(w.upTo(6*time.Second), func() { w.setPartitioned(victim, true) })
				w.after(w.upTo(8*time.Second), func() { w.setPartitioned(victim, false) })
			}
			w.after(9*time.Second, func() {
				for _, one := range w.nodes {
					w.setPartitioned(one, false)
				}
			})
			for range 750 {
				w.runUntil(w.now + tickEvery)
				for _, one := range w.nodes {
					for address := range one.excluded {
						Expect(admits(one, address)).To(BeFalse(), "seed %d: %s admits %s again at %v", seed, one.id, address, w.now)
					}
				}
			}
			Expect(w.readers()).To(Equal(1), "seed %d", seed)
			for _, one := range w.nodes {
				Expect(admits(one, "x") || admits(one, "y")).To(BeFalse(), "seed %d: %s", seed, one.id)
				Expect(admits(one, "z")).To(BeTrue(), "seed %d: %s", seed, one.id)
			}
		}
	})

	It("costs one call a second and few bytes while nothing changes", func() {
		for _, nodes := range []int{12, 80} {
			w := newSimulation(uint64(nodes))
			for number := range 140 {
				w.replicas = append(w.replicas, Replica{
					Service: service, Address: fmt.Sprintf("10.128.0.%d:8080", number), Zone: "hall-north",
					Instance: fmt.Sprintf("i-7f3a9%03d", number), WeightVersion: "1", Slots: 64,
				})
			}
			w.deployment(5, nodes-5)
			w.runUntil(15 * time.Second)
			w.calls, w.bytes, w.messages = 0, 0, 0
			w.runUntil(25 * time.Second)
			Expect(w.calls).To(BeNumerically("<=", 10))
			Expect(w.messages).To(BeNumerically("<=", 10*nodes))
			fresh := w.bytes / w.messages
			w.bytes = 0
			w.setReplica("x", func(one *Replica) { one.Draining = true })
			w.runUntil(26100 * time.Millisecond)
			changed := w.bytes / nodes
			AddReportEntry("bytes of payload", fmt.Sprintf("%d nodes: refresh %d, second with one change %d a node", nodes, fresh, changed))
			Expect(fresh).To(BeNumerically("<", 64))
			Expect(changed).To(BeNumerically("<", 200))
		}
	})

	It("goes on with the last one while the platform is down, and calls it less often", func() {
		w := newSimulation(5)
		w.deployment(3, 9)
		w.runUntil(4 * time.Second)
		for _, one := range w.nodes {
			one.failing = true
		}
		w.runUntil(10 * time.Second)
		w.calls = 0
		w.runUntil(20 * time.Second)
		Expect(w.calls).To(BeNumerically("<=", 12*3))
		for _, one := range w.nodes {
			Expect(admits(one, "x")).To(BeTrue())
			one.failing = false
		}
		w.setReplica("x", func(one *Replica) { one.Draining = true })
		w.runUntil(25 * time.Second)
		Expect(w.readers()).To(Equal(1))
		for _, one := range w.nodes {
			Expect(admits(one, "x")).To(BeFalse())
		}
	})
})
