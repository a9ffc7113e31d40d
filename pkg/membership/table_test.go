package membership_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

var _ = Describe("the table", func() {
	It("does not depend on the order in which records come", func() {
		random := rand.New(rand.NewPCG(1, 1))
		for range 300 {
			records := randomRecords(random, 12)
			first := mergedRecordOfX(records)
			random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
			Expect(mergedRecordOfX(records)).To(Equal(first))
		}
	})

	DescribeTable("counts a time-out report only under the set and from the processes that the member named",
		func(version uint64, firstBoot, secondBoot member.Incarnation, certain bool) {
			record := randomRecords(rand.New(rand.NewPCG(1, 1)), 1)[0]
			record.MonitorSetVersion = 2
			record.TimeoutReports = []membership.TimeoutReport{
				{Monitor: "m1", MonitorBoot: firstBoot, Incarnation: record.Info.Incarnation, MonitorSetVersion: version},
				{Monitor: "m2", MonitorBoot: secondBoot, Incarnation: record.Info.Incarnation, MonitorSetVersion: version},
			}
			Expect(mergedRecordOfX([]membership.Record{record}).State == membership.StateFenced).To(Equal(certain))
		},
		Entry("both", uint64(2), member.Incarnation(1), member.Incarnation(1), true),
		Entry("one monitor restarted", uint64(2), member.Incarnation(1), member.Incarnation(9), false),
		Entry("an earlier set", uint64(1), member.Incarnation(1), member.Incarnation(1), false),
		Entry("a later set, not yet known", uint64(3), member.Incarnation(1), member.Incarnation(1), false),
	)

	It("keeps at most two reports of a monitor that restarts again and again", func() {
		random := rand.New(rand.NewPCG(1, 1))
		record := randomRecords(random, 1)[0]
		record.MonitorSetVersion = 2
		report := func(boot member.Incarnation) membership.TimeoutReport {
			return membership.TimeoutReport{Monitor: "m1", MonitorBoot: boot, Incarnation: record.Info.Incarnation, MonitorSetVersion: 2}
		}
		var records []membership.Record
		for boot := member.Incarnation(1); boot <= 9; boot++ {
			record.TimeoutReports = []membership.TimeoutReport{report(boot)}
			records = append(records, record)
		}
		for range 20 {
			random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
			merged := mergedRecordOfX(records)
			Expect(merged.State).To(Equal(membership.StateSuspect))
			Expect(merged.TimeoutReports).To(Equal([]membership.TimeoutReport{report(1), report(9)}))
		}
	})

	It("grants a member the full time-out from when its new monitor set is learnt", func() {
		monitor := membership.New(membership.Config{Self: member.Info{ID: "m1", Incarnation: 1}}, 0)
		record := membership.Record{
			Info:              member.Info{ID: "x", Address: "x", Incarnation: 5},
			MonitorSetVersion: 1,
			Monitors:          []member.ID{"m1", "m2", "m3"},
			MonitorBoots:      []member.Incarnation{1, 1, 1},
			Version:           1,
		}
		var reportedAt time.Duration
		for now := time.Duration(0); reportedAt == 0; now += 100 * time.Millisecond {
			if now == time.Second {
				record.MonitorSetVersion, record.Version = 2, 2
			}
			gossip := membership.Message{Type: membership.MessageGossip, From: record.Info, Records: []membership.Record{record}}
			monitor.Step(now, gossip)
			monitor.Tick(now)
			if recordOfX(monitor).State == membership.StateSuspect {
				reportedAt = now
			}
		}
		Expect(reportedAt).To(Equal(2200 * time.Millisecond))
	})

	It("tells when all that a member sent in an ended incarnation has arrived", func() {
		machine := membership.New(membership.Config{Self: member.Info{ID: "o", Incarnation: 1}}, 0)
		record := membership.Record{Info: member.Info{ID: "x", Address: "x", Incarnation: 5}, Version: 1}
		learn := func(now time.Duration) {
			machine.Step(now, membership.Message{Type: membership.MessageGossip, From: record.Info, Records: []membership.Record{record}})
		}
		expectQuiescedAfter := func(from time.Duration) {
			machine.Tick(from + membership.DefaultFenceMargin - 1)
			ExpectWithOffset(1, machine.FormerIncarnationQuiesced("x")).To(BeFalse())
			machine.Tick(from + membership.DefaultFenceMargin)
			ExpectWithOffset(1, machine.FormerIncarnationQuiesced("x")).To(BeTrue())
		}
		Expect(machine.FormerIncarnationQuiesced("x")).To(BeTrue(), "of an unknown member")
		learn(time.Second)
		expectQuiescedAfter(time.Second)
		record.Version = 2
		learn(2 * time.Second)
		Expect(machine.FormerIncarnationQuiesced("x")).To(BeTrue(), "the same incarnation")
		record.Info.Incarnation, record.Version = 6, 1
		learn(3 * time.Second)
		Expect(machine.IncarnationEnded("x", 5)).To(BeTrue())
		expectQuiescedAfter(3 * time.Second)
		record.State = membership.StateLeft
		learn(4 * time.Second)
		Expect(machine.IncarnationEnded("x", 6)).To(BeTrue())
		expectQuiescedAfter(4 * time.Second)
	})

	It("forgets ended incarnations, and remembers that they ended", func() {
		net := newNetwork(3)
		net.config.ForgetAfter = 5 * time.Second
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			net.add(name, name)
		}
		for _, name := range net.names {
			net.start(name, "a", "b")
		}
		net.runUntil(2 * time.Second)
		incarnation := net.nodes["e"].incarnation
		net.kill("e")
		net.runUntil(20 * time.Second)
		for _, name := range []string{"a", "b", "c", "d"} {
			machine := net.nodes[name].machine
			Expect(machine.Members()).To(HaveLen(4))
			Expect(machine.CertainlyFenced("e")).To(BeTrue())
			Expect(machine.IncarnationEnded("e", incarnation)).To(BeTrue())
		}
		net.start("e", "b")
		net.runUntil(22 * time.Second)
		Expect(net.nodes["a"].machine.Alive("e")).To(BeTrue())
		Expect(net.nodes["a"].machine.CertainlyFenced("e")).To(BeFalse())
		Expect(net.nodes["a"].machine.IncarnationEnded("e", incarnation)).To(BeTrue())
	})

	It("lets a process that started with an old incarnation supersede the one in the table", func() {
		net := fleetOf(5, 5, 5)
		net.runUntil(2 * time.Second)
		net.kill("n04")
		net.nodes["n04"].incarnation -= 1500
		net.start("n04", "n00")
		net.runUntil(5 * time.Second)
		net.expectAllServing("restarted with an older incarnation")
		incarnation, _ := net.nodes["n00"].machine.Incarnation("n04")
		Expect(incarnation).To(BeNumerically(">", 1000))
	})

	It("finds members again that all began anew at once, and know nobody but each other", func() {
		// Each probe names the next of the three, so that five others take a probe or two
		// each; a probe of any member at random may miss all three for seconds.
		const probesNeeded = 2
		for seed := range uint64(30) {
			net := fleetOf(seed, 8, 4)
			seeds := net.names[:3]
			net.runUntil(3 * time.Second)
			for _, name := range seeds {
				net.kill(name)
			}
			net.runUntil(6 * time.Second)
			for _, name := range seeds {
				net.start(name, seeds...)
			}
			probeEvery := 5 * membership.DefaultHeartbeatEvery
			net.runUntil(6*time.Second + probesNeeded*probeEvery)
			for _, name := range net.names[3:] {
				for _, restarted := range seeds {
					Expect(net.nodes[name].machine.Alive(member.ID(restarted))).To(BeTrue(), "seed %d: %s of %s", seed, name, restarted)
				}
			}
		}
	})

	It("asks a seed again on which a member listened that has left", func() {
		net := fleetOf(11, 6, 3)
		net.runUntil(3 * time.Second)
		net.isolate("n05", true)
		for _, name := range net.names[:5] {
			net.blocked[link{name, "n05"}] = false
			net.leave(name)
			net.runUntil(net.now + 50*time.Millisecond)
			net.kill(name)
		}
		net.runUntil(5 * time.Second)
		for _, name := range net.names[:5] {
			net.start(name, net.names[:3]...)
		}
		net.isolate("n05", false)
		net.runUntil(9 * time.Second)
		for _, name := range net.names[:5] {
			Expect(net.nodes["n05"].machine.Alive(member.ID(name))).To(BeTrue(), name)
			Expect(net.nodes[name].machine.Alive("n05")).To(BeTrue(), name)
		}
	})

	It("removes only the newest incarnation of another member", func() {
		net := fleetOf(9, 3, 3)
		net.runUntil(2 * time.Second)
		for id, reason := range map[member.ID]membership.RemoveReason{
			"n00": membership.RemoveSelf, "n01": membership.RemoveOtherIncarnation, "x": membership.RemoveUnknown,
		} {
			_, err := net.nodes["n00"].machine.Remove(net.clock(net.nodes["n00"]), id, 7)
			Expect(err).To(Equal(&membership.RemoveError{ID: id, Reason: reason}))
		}
	})

	It("spreads monitors over zones", func() {
		net := fleetOf(9, 17, 4)
		net.runUntil(4 * time.Second)
		for _, record := range net.nodes["n00"].machine.Members() {
			zones := map[string]bool{}
			for _, id := range record.Monitors {
				zones[net.nodes[string(id)].zone] = true
			}
			Expect(record.Monitors).To(HaveLen(3))
			Expect(zones).To(HaveLen(3))
		}
	})
})

// randomRecords draws what many tables may say of one member.
func randomRecords(random *rand.Rand, count int) []membership.Record {
	monitors := []member.ID{"m1", "m2", "m3"}
	boots := []member.Incarnation{1, 1, 1}
	var records []membership.Record
	for range count {
		incarnation := member.Incarnation(1 + random.IntN(2))
		version := uint64(1 + random.IntN(3))
		record := membership.Record{
			Info:              member.Info{ID: "x", Incarnation: incarnation},
			State:             membership.StateAlive,
			MonitorSetVersion: version,
			Monitors:          monitors,
			MonitorBoots:      boots,
			Version:           version,
		}
		for range random.IntN(3) {
			record.TimeoutReports = append(record.TimeoutReports, membership.TimeoutReport{
				Monitor:           monitors[random.IntN(len(monitors))],
				MonitorBoot:       member.Incarnation(1 + random.IntN(2)),
				Incarnation:       member.Incarnation(1 + random.IntN(2)),
				MonitorSetVersion: uint64(1 + random.IntN(3)),
			})
		}
		records = append(records, record)
	}
	return records
}

func mergedRecordOfX(records []membership.Record) membership.Record {
	machine := membership.New(membership.Config{Self: member.Info{ID: "o", Incarnation: 1}}, 0)
	for _, record := range records {
		machine.Step(0, membership.Message{
			Type:    membership.MessageGossip,
			From:    member.Info{ID: "y", Address: "y"},
			Records: []membership.Record{record},
		})
	}
	return recordOfX(machine)
}

func recordOfX(machine *membership.Machine) membership.Record {
	isX := func(record membership.Record) bool { return record.Info.ID == "x" }
	return lo.Must(lo.Find(machine.Members(), isX))
}
