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

// heartbeatsWithRow counts the heartbeats of one node in some time, and those
// among them that held its row.
func (w *network) heartbeatsWithRow(name string, duration time.Duration) (all, withRow int) {
	w.onSend = func(from string, out membership.Outbound) {
		if from != name || out.Message.Type != membership.MessageHeartbeat {
			return
		}
		all++
		withRow += min(1, len(out.Message.Records))
	}
	w.runUntil(w.now + duration)
	w.onSend = nil
	return all, withRow
}

// tables counts the different tables of all running members.
func (w *network) tables() int {
	return len(lo.UniqBy(w.running(), func(n *node) uint64 { return n.machine.Digest() }))
}

func (w *network) running() []*node {
	return lo.Filter(w.all, func(n *node, _ int) bool { return n.machine != nil })
}

var _ = Describe("a calm fleet", func() {
	It("sends heartbeats without rows", func() {
		w := fleetOf(1, 9, 3)
		w.runUntil(4 * time.Second)
		all, withRow := w.heartbeatsWithRow("n04", 2*time.Second)
		Expect(all).To(BeNumerically(">=", 27))
		Expect(withRow).To(BeZero())
	})

	It("sends its row again to a monitor that started without a table, which acknowledges it soon", func() {
		w := fleetOf(1, 9, 3)
		w.runUntil(4 * time.Second)
		monitor := rowOf(w, "n04").Monitors[0]
		w.start(string(monitor))
		boot := w.nodes[string(monitor)].incarnation
		w.runUntil(w.now + time.Second)
		row := rowOf(w, "n04")
		at := lo.IndexOf(row.Monitors, monitor)
		Expect(at).To(BeNumerically(">=", 0))
		Expect(row.MonitorBoots[at]).To(Equal(boot))
		Expect(w.violations).To(BeEmpty())
	})

	It("comes to one table after many start at once, whatever is lost", func() {
		// Later, some return to monitors that had left heartbeats unanswered, which is
		// news for an instant; so the first instant of agreement is looked for, and not
		// whether all agree at a given one.
		const step, bound = 50 * time.Millisecond, time.Second
		for seed := range uint64(20) {
			w := newNetwork(seed)
			w.loss = 0.1
			w.startFleet(60, 5)
			w.runUntil(3 * time.Second)
			w.calm()
			for end := w.now + bound; w.tables() > 1 && w.now < end; {
				w.runUntil(w.now + step)
			}
			Expect(w.tables()).To(Equal(1), "seed %d", seed)
			w.runUntil(6 * time.Second)
			w.expectAllServing(fmt.Sprintf("seed %d", seed))
		}
	})

	It("leaves a burst of news to exchanges, which tell all of it in one message", func() {
		const joiners = 400
		machine := membership.New(membership.Config{Self: member.Info{ID: "a", Incarnation: 1}}, 0)
		from := member.Info{ID: "j000", Address: "j000"}
		news := 0
		note := func(outbox []membership.Outbound) {
			for _, out := range outbox {
				news += len(out.Message.Records)
			}
		}
		for number := range joiners {
			name := fmt.Sprintf("j%03d", number)
			record := membership.Record{Info: member.Info{ID: member.ID(name), Address: name, Incarnation: 5}, State: membership.StateAlive, Version: 1}
			note(machine.Step(time.Millisecond, membership.Message{Type: membership.MessageGossip, From: from, Records: []membership.Record{record}}))
		}
		for now := 20 * time.Millisecond; now < time.Second; now += 20 * time.Millisecond {
			note(machine.Tick(now))
		}
		Expect(news).To(BeNumerically("<=", 24))

		asked := machine.Step(time.Second, membership.Message{Type: membership.MessageGossip, From: from, Buckets: make([]uint32, 64)})
		Expect(asked).To(HaveLen(1))
		summary := asked[0].Message.Summary
		Expect(summary).To(HaveLen(joiners + 1))
		wanted := lo.Map(summary, func(one membership.RecordDigest, _ int) uint32 { return one.Member })
		slices.Sort(wanted)
		told := machine.Step(time.Second, membership.Message{Type: membership.MessageGossip, From: from, Wanted: wanted})
		Expect(told).To(HaveLen(1))
		Expect(told[0].Message.Records).To(HaveLen(joiners + 1))
	})

	It("costs two nodes that differ in one record little more than that record", func() {
		pair := newPair(200)
		pair.exchange()
		Expect(pair.first.Digest()).To(Equal(pair.second.Digest()), "after the first exchange")
		newer := recordNamed("m007")
		newer.Version++
		pair.first.Step(pair.now, membership.Message{Type: membership.MessageGossip, From: member.Info{ID: "m001"}, Records: []membership.Record{newer}})
		Expect(pair.first.Digest()).NotTo(Equal(pair.second.Digest()))
		cost := pair.exchange()
		Expect(pair.first.Digest()).To(Equal(pair.second.Digest()))
		Expect(cost.digests).To(BeNumerically("<", 12))
		Expect(cost.records).To(BeNumerically("<=", 2))
	})
})

// recordNamed is a record of a member that doesn't run.
func recordNamed(name string) membership.Record {
	return membership.Record{Info: member.Info{ID: member.ID(name), Address: name, Zone: "other", Incarnation: 5}, State: membership.StateAlive, Version: 1}
}

// pair is two machines with tables of their own, which play exchanges.
type pair struct {
	now           time.Duration
	first, second *membership.Machine
}

// exchangeCost counts what the messages of an exchange hold.
type exchangeCost struct{ digests, records int }

func newPair(members int) *pair {
	made := &pair{
		first:  membership.New(membership.Config{Self: member.Info{ID: "first", Address: "first", Zone: "one", Incarnation: 1}}, 0),
		second: membership.New(membership.Config{Self: member.Info{ID: "second", Address: "second", Zone: "two", Incarnation: 1}}, 0),
	}
	for number := range members {
		record := recordNamed(fmt.Sprintf("m%03d", number))
		gossip := membership.Message{Type: membership.MessageGossip, From: record.Info, Records: []membership.Record{record}}
		made.first.Step(0, gossip)
		if number%2 == 0 {
			made.second.Step(0, gossip)
		}
	}
	return made
}

// exchange has the second machine notice that the first one's table differs, and
// carries their messages until none is left.
func (p *pair) exchange() exchangeCost {
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

func (p *pair) step(to *membership.Machine, sent membership.Outbound, cost *exchangeCost) []membership.Outbound {
	if sent.Message.Type != membership.MessageGossip {
		return nil
	}
	cost.digests += len(sent.Message.Summary)
	cost.records += len(sent.Message.Records)
	return to.Step(p.now, sent.Message)
}

func rowOf(w *network, name string) membership.Record {
	return lo.Must(lo.Find(w.nodes[name].machine.Members(), func(r membership.Record) bool { return r.Info.ID == member.ID(name) }))
}
