package listing

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// excludedWithin is the time after the platform's list first shows a replica draining within
// which every connected node stops sending requests to it.
const excludedWithin = 2 * time.Second

// injectFault injects a fault into one node and returns the name of the fault.
func (s *simulation) injectFault(kind int, target *testNode) string {
	switch kind {
	case 0:
		s.kill(target)
		return "killed"
	case 1:
		target.frozen = true
		target.silentSince = s.now
		return "frozen"
	case 2:
		s.setPartitioned(target, true)
		return "isolated"
	default:
		target.failing = true
		return "failing"
	}
}

var _ = Describe("the distribution of the platform's list", func() {
	It("excludes a draining replica on every connected node within two seconds, whatever fault the reader has", func() {
		for seed := range uint64(160) {
			s := newSimulation(seed)
			s.deployment(3+2*int(seed%2), 2+int(seed%20))
			s.loss = []float64{0, 0.02}[seed/2%2]
			s.runUntil(4 * time.Second)
			Expect(s.readers()).To(Equal(1), "seed %d", seed)
			reader := s.reader()
			kind := int(seed / 4 % 4)
			drainsAt := s.now + s.randomDuration(time.Second)
			s.after(drainsAt-s.now, func() { s.setReplica("x", func(one *Replica) { one.Draining = true }) })
			s.after(s.randomDuration(1200*time.Millisecond), func() { s.injectFault(kind, reader) })
			s.runUntil(drainsAt + excludedWithin)
			for _, one := range s.nodes {
				faulty := one == reader && kind < 3
				Expect(faulty || !admits(one, "x")).To(BeTrue(), "seed %d: %s, reader %s, kind %d", seed, one.id, reader.id, kind)
			}
		}
	})

	It("never admits an excluded replica again, although partitions change the reader", func() {
		for seed := range uint64(80) {
			s := newSimulation(1000 + seed)
			s.deployment(3, 3+int(seed%8))
			s.runUntil(3 * time.Second)
			s.after(time.Second+s.randomDuration(4*time.Second), func() { s.removeReplica("y") })
			s.after(time.Second+s.randomDuration(4*time.Second), func() { s.setReplica("x", func(one *Replica) { one.Draining = true }) })
			for range 4 {
				target := s.nodes[s.random.IntN(len(s.nodes))]
				s.after(s.randomDuration(6*time.Second), func() { s.setPartitioned(target, true) })
				s.after(s.randomDuration(8*time.Second), func() { s.setPartitioned(target, false) })
			}
			s.after(9*time.Second, func() {
				for _, one := range s.nodes {
					s.setPartitioned(one, false)
				}
			})
			for range 750 {
				s.runUntil(s.now + tickEvery)
				for _, one := range s.nodes {
					for address := range one.excluded {
						Expect(admits(one, address)).To(BeFalse(), "seed %d: %s admits %s again at %v", seed, one.id, address, s.now)
					}
				}
			}
			Expect(s.readers()).To(Equal(1), "seed %d", seed)
			for _, one := range s.nodes {
				Expect(admits(one, "x") || admits(one, "y")).To(BeFalse(), "seed %d: %s", seed, one.id)
				Expect(admits(one, "z")).To(BeTrue(), "seed %d: %s", seed, one.id)
			}
		}
	})

	It("calls the platform once a second and sends few bytes while the list does not change", func() {
		for _, nodes := range []int{12, 80} {
			s := newSimulation(uint64(nodes))
			for number := range 140 {
				s.replicas = append(s.replicas, Replica{
					Service: service, Address: fmt.Sprintf("10.128.0.%d:8080", number), Zone: "hall-north",
					Instance: fmt.Sprintf("i-7f3a9%03d", number), WeightVersion: "1", Slots: 64,
				})
			}
			s.deployment(5, nodes-5)
			s.runUntil(15 * time.Second)
			s.calls, s.bytes, s.messages = 0, 0, 0
			s.runUntil(25 * time.Second)
			Expect(s.calls).To(BeNumerically("<=", 10))
			Expect(s.messages).To(BeNumerically("<=", 10*nodes))
			fresh := s.bytes / s.messages
			s.bytes = 0
			s.setReplica("x", func(one *Replica) { one.Draining = true })
			s.runUntil(26100 * time.Millisecond)
			changed := s.bytes / nodes
			AddReportEntry("bytes of payload", fmt.Sprintf("%d nodes: refresh %d, second with one change %d a node", nodes, fresh, changed))
			Expect(fresh).To(BeNumerically("<", 64))
			Expect(changed).To(BeNumerically("<", 200))
		}
	})

	It("keeps the last list while the platform is down, and calls the platform less often", func() {
		s := newSimulation(5)
		s.deployment(3, 9)
		s.runUntil(4 * time.Second)
		for _, one := range s.nodes {
			one.failing = true
		}
		s.runUntil(10 * time.Second)
		s.calls = 0
		s.runUntil(20 * time.Second)
		Expect(s.calls).To(BeNumerically("<=", 12*3))
		for _, one := range s.nodes {
			Expect(admits(one, "x")).To(BeTrue())
			one.failing = false
		}
		s.setReplica("x", func(one *Replica) { one.Draining = true })
		s.runUntil(25 * time.Second)
		Expect(s.readers()).To(Equal(1))
		for _, one := range s.nodes {
			Expect(admits(one, "x")).To(BeFalse())
		}
	})
})
