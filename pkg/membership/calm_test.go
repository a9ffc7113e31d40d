package membership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
	"github.com/samber/lo"
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
		for seed := range uint64(3) {
			w := newNetwork(seed)
			w.loss = 0.1
			w.startFleet(60, 5)
			w.runUntil(3 * time.Second)
			w.calm()
			w.runUntil(w.now + 3*time.Second)
			Expect(w.tables()).To(Equal(1), "seed %d", seed)
			w.expectAllServing(fmt.Sprintf("seed %d", seed))
		}
	})

	It("sends a burst of news in few messages", func() {
		const joiners = 400
		machine := membership.New(membership.Config{Self: member.Info{ID: "a", Incarnation: 1}}, 0)
		sent := 0
		told := map[member.ID]bool{}
		note := func(outbox []membership.Outbound) {
			for _, out := range outbox {
				if out.Message.Type != membership.MessageGossip || len(out.Message.Records) == 0 {
					continue
				}
				sent++
				for _, record := range out.Message.Records {
					told[record.Info.ID] = true
				}
			}
		}
		for number := range joiners {
			name := fmt.Sprintf("j%03d", number)
			record := membership.Record{Info: member.Info{ID: member.ID(name), Address: name, Incarnation: 5}, State: membership.StateAlive, Version: 1}
			from := member.Info{ID: "j000", Address: "j000"}
			note(machine.Step(time.Millisecond, membership.Message{Type: membership.MessageGossip, From: from, Records: []membership.Record{record}}))
		}
		for now := 20 * time.Millisecond; now < time.Second; now += 20 * time.Millisecond {
			note(machine.Tick(now))
		}
		Expect(told).To(HaveLen(joiners + 1))
		Expect(sent).To(BeNumerically("<=", 24))
	})
})

func rowOf(w *network, name string) membership.Record {
	return lo.Must(lo.Find(w.nodes[name].machine.Members(), func(r membership.Record) bool { return r.Info.ID == member.ID(name) }))
}
