package membership_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

// heartbeatsWithRecord runs the network for the given duration and counts the heartbeats that
// a node sends, and those among them that contain its record.
func (net *network) heartbeatsWithRecord(name string, duration time.Duration) (all, withRecord int) {
	net.onSend = func(from string, out membership.Outbound) {
		if from != name || out.Message.Type != membership.MessageHeartbeat {
			return
		}
		all++
		withRecord += min(1, len(out.Message.Records))
	}
	net.runUntil(net.now + duration)
	net.onSend = nil
	return all, withRecord
}

// distinctTables returns the number of different tables among all running nodes.
func (net *network) distinctTables() int {
	return len(lo.UniqBy(net.running(), func(n *node) uint64 { return n.machine.Digest() }))
}

func (net *network) running() []*node {
	return lo.Filter(net.all, func(n *node, _ int) bool { return n.machine != nil })
}

var _ = Describe("a fleet without faults", func() {
	It("sends heartbeats without records once the monitors have them", func() {
		net := fleetOf(1, 9, 3)
		net.runUntil(4 * time.Second)
		all, withRecord := net.heartbeatsWithRecord("n04", 2*time.Second)
		Expect(all).To(BeNumerically(">=", 27))
		Expect(withRecord).To(BeZero())
	})

	It("sends a node's record again to a monitor that restarted without a table, so that the node declares the new process as its monitor within 1 s", func() {
		net := fleetOf(1, 9, 3)
		net.runUntil(4 * time.Second)
		monitor := recordOf(net, "n04").Monitors[0]
		net.start(string(monitor))
		boot := net.nodes[string(monitor)].incarnation
		net.runUntil(net.now + time.Second)
		record := recordOf(net, "n04")
		at := lo.IndexOf(record.Monitors, monitor)
		Expect(at).To(BeNumerically(">=", 0))
		Expect(record.MonitorBoots[at]).To(Equal(boot))
		Expect(net.violations).To(BeEmpty())
	})

	It("converges to equal tables after many nodes start at once, despite message loss", func() {
		// Even after the faults, nodes that return to monitors which had left heartbeats
		// unanswered change their records, so that tables differ for a short time.
		// Therefore the test waits for the first time at which all tables are equal,
		// instead of checking at a fixed time.
		const step, bound = 50 * time.Millisecond, time.Second
		for seed := range uint64(20) {
			net := newNetwork(seed)
			net.loss = 0.1
			net.startFleet(60, 5)
			net.runUntil(3 * time.Second)
			net.endFaults()
			for end := net.now + bound; net.distinctTables() > 1 && net.now < end; {
				net.runUntil(net.now + step)
			}
			Expect(net.distinctTables()).To(Equal(1), "seed %d", seed)
			net.runUntil(6 * time.Second)
			net.expectAllServing(fmt.Sprintf("seed %d", seed))
		}
	})

	It("leaves a bulk change to anti-entropy, which sends all records in one message", func() {
		const joiners = 400
		machine := membership.New(membership.Config{Self: member.Info{ID: "a", Incarnation: 1}}, 0)
		from := member.Info{ID: "j000", Address: "j000"}
		gossiped := 0
		count := func(outbox []membership.Outbound) {
			for _, out := range outbox {
				gossiped += len(out.Message.Records)
			}
		}
		for number := range joiners {
			name := fmt.Sprintf("j%03d", number)
			record := membership.Record{Info: member.Info{ID: member.ID(name), Address: name, Incarnation: 5}, State: membership.StateAlive, Version: 1}
			count(machine.Step(time.Millisecond, membership.Message{Type: membership.MessageGossip, From: from, Records: []membership.Record{record}}))
		}
		for now := 20 * time.Millisecond; now < time.Second; now += 20 * time.Millisecond {
			count(machine.Tick(now))
		}
		Expect(gossiped).To(BeNumerically("<=", 24))

		summaries := machine.Step(time.Second, membership.Message{Type: membership.MessageGossip, From: from, Buckets: make([]uint32, 64)})
		Expect(summaries).To(HaveLen(1))
		summary := summaries[0].Message.Summary
		Expect(summary).To(HaveLen(joiners + 1))
		requested := lo.Map(summary, func(digest membership.RecordDigest, _ int) uint32 { return digest.Member })
		slices.Sort(requested)
		replies := machine.Step(time.Second, membership.Message{Type: membership.MessageGossip, From: from, Requested: requested})
		Expect(replies).To(HaveLen(1))
		Expect(replies[0].Message.Records).To(HaveLen(joiners + 1))
	})

	It("transfers little more than the differing record to repair one difference", func() {
		pair := newMachinePair(200)
		pair.exchange()
		Expect(pair.first.Digest()).To(Equal(pair.second.Digest()), "after the first exchange")
		newer := newRecord("m007")
		newer.Version++
		pair.first.Step(pair.now, membership.Message{Type: membership.MessageGossip, From: member.Info{ID: "m001"}, Records: []membership.Record{newer}})
		Expect(pair.first.Digest()).NotTo(Equal(pair.second.Digest()))
		cost := pair.exchange()
		Expect(pair.first.Digest()).To(Equal(pair.second.Digest()))
		Expect(cost.digests).To(BeNumerically("<", 12))
		Expect(cost.records).To(BeNumerically("<=", 2))
	})
})

// newRecord returns the record of a member without a machine.
func newRecord(name string) membership.Record {
	return membership.Record{Info: member.Info{ID: member.ID(name), Address: name, Zone: "other", Incarnation: 5}, State: membership.StateAlive, Version: 1}
}

// machinePair contains two machines, with initially different tables, that exchange records.
type machinePair struct {
	now           time.Duration
	first, second *membership.Machine
}

// exchangeCost counts the digests and records in the messages of an exchange.
type exchangeCost struct{ digests, records int }

func newMachinePair(members int) *machinePair {
	pair := &machinePair{
		first:  membership.New(membership.Config{Self: member.Info{ID: "first", Address: "first", Zone: "one", Incarnation: 1}}, 0),
		second: membership.New(membership.Config{Self: member.Info{ID: "second", Address: "second", Zone: "two", Incarnation: 1}}, 0),
	}
	for number := range members {
		record := newRecord(fmt.Sprintf("m%03d", number))
		gossip := membership.Message{Type: membership.MessageGossip, From: record.Info, Records: []membership.Record{record}}
		pair.first.Step(0, gossip)
		if number%2 == 0 {
			pair.second.Step(0, gossip)
		}
	}
	return pair
}

// exchange sends a probe of the first machine to the second, ticks the second machine for
// 1 s, and delivers the gossip that follows between them. It returns what the messages
// contained.
func (p *machinePair) exchange() exchangeCost {
	var cost exchangeCost
	p.now += 5 * time.Second
	p.first.Tick(p.now)
	p.second.Tick(p.now)
	probe := membership.Message{Type: membership.MessageGossip, From: member.Info{ID: "first", Address: "first"}, Digest: p.first.Digest()}
	out := p.second.Step(p.now, probe)
	for range 20 {
		p.now += 50 * time.Millisecond
		out = append(out, p.second.Tick(p.now)...)
		for len(out) > 0 {
			message := out[0]
			out = out[1:]
			switch message.Address {
			case "first":
				out = append(out, p.step(p.first, message, &cost)...)
			case "second":
				out = append(out, p.step(p.second, message, &cost)...)
			}
		}
	}
	return cost
}

func (p *machinePair) step(to *membership.Machine, sent membership.Outbound, cost *exchangeCost) []membership.Outbound {
	if sent.Message.Type != membership.MessageGossip {
		return nil
	}
	cost.digests += len(sent.Message.Summary)
	cost.records += len(sent.Message.Records)
	return to.Step(p.now, sent.Message)
}

func recordOf(net *network, name string) membership.Record {
	return lo.Must(lo.Find(net.nodes[name].machine.Members(), func(r membership.Record) bool { return r.Info.ID == member.ID(name) }))
}
