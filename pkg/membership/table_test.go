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
	It("does not depend on the order in which records arrive", func() {
		random := rand.New(rand.NewPCG(1, 1))
		for range 300 {
			records := randomRecords(random, 12)
			first := mergedRecordOfX(records)
			random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
			Expect(mergedRecordOfX(records)).To(Equal(first))
		}
	})

	DescribeTable("counts a time-out report only if it is about the declared monitor set and from the monitor processes in it",
		func(version uint64, firstBoot, secondBoot member.Incarnation, certain bool) {
			record := randomRecords(rand.New(rand.NewPCG(1, 1)), 1)[0]
			record.MonitorSetVersion = 2
			record.TimeoutReports = []membership.TimeoutReport{
				{Monitor: "m1", MonitorBoot: firstBoot, Incarnation: record.Info.Incarnation, MonitorSetVersion: version},
				{Monitor: "m2", MonitorBoot: secondBoot, Incarnation: record.Info.Incarnation, MonitorSetVersion: version},
			}
			Expect(mergedRecordOfX([]membership.Record{record}).State == membership.StateFenced).To(Equal(certain))
		},
		Entry("the declared set and processes", uint64(2), member.Incarnation(1), member.Incarnation(1), true),
		Entry("another process of one monitor", uint64(2), member.Incarnation(1), member.Incarnation(9), false),
		Entry("an earlier set", uint64(1), member.Incarnation(1), member.Incarnation(1), false),
		Entry("a later set whose record isn't known yet", uint64(3), member.Incarnation(1), member.Incarnation(1), false),
	)

	It("keeps at most two reports of a monitor that restarts repeatedly", func() {
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

	It("restarts a member's time-out when its new monitor set becomes known", func() {
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

	It("reports an ended incarnation as quiesced FenceMargin after its end became known", func() {
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
		Expect(machine.FormerIncarnationQuiesced("x")).To(BeTrue(), "an unknown member is quiesced")
		learn(time.Second)
		expectQuiescedAfter(time.Second)
		record.Version = 2
		learn(2 * time.Second)
		Expect(machine.FormerIncarnationQuiesced("x")).To(BeTrue(), "a new version of the same incarnation changes nothing")
		record.Info.Incarnation, record.Version = 6, 1
		learn(3 * time.Second)
		Expect(machine.IncarnationEnded("x", 5)).To(BeTrue())
		expectQuiescedAfter(3 * time.Second)
		record.State = membership.StateLeft
		learn(4 * time.Second)
		Expect(machine.IncarnationEnded("x", 6)).To(BeTrue())
		expectQuiescedAfter(4 * time.Second)
	})

	It("drops the records of fenced members after ForgetAfter, but still reports their incarnations as ended", func() {
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

	It("lets a process that started with too small an incarnation supersede the one in the table", func() {
		net := fleetOf(5, 5, 5)
		net.runUntil(2 * time.Second)
		net.kill("n04")
		net.nodes["n04"].incarnation -= 1500
		net.start("n04", "n00")
		net.runUntil(5 * time.Second)
		net.expectAllServing("after a restart with a smaller incarnation")
		incarnation, _ := net.nodes["n00"].machine.Incarnation("n04")
		Expect(incarnation).To(BeNumerically(">", 1000))
	})

	It("discovers fenced members again that restarted at once and know only each other", func() {
		// The probes of fenced members go to the three in turn, so that the five other
		// nodes need one or two probes each. If only the probes of random members existed,
		// they could miss all three restarted members for seconds.
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
					Expect(net.nodes[name].machine.Alive(member.ID(restarted))).To(BeTrue(), "seed %d: %s considers %s alive", seed, name, restarted)
				}
			}
		}
	})

	It("contacts a seed again after the member that listened at its address has left", func() {
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

	It("refuses to remove this node, an unknown member and an incarnation that isn't the newest", func() {
		net := fleetOf(9, 3, 3)
		net.runUntil(2 * time.Second)
		for id, reason := range map[member.ID]membership.RemoveReason{
			"n00": membership.RemoveSelf, "n01": membership.RemoveOtherIncarnation, "x": membership.RemoveUnknown,
		} {
			_, err := net.nodes["n00"].machine.Remove(net.clock(net.nodes["n00"]), id, 7)
			Expect(err).To(Equal(&membership.RemoveError{ID: id, Reason: reason}))
		}
	})

	It("chooses the monitors of each member from different zones", func() {
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

// randomRecords returns random records of member x, as different tables may contain them.
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

// mergedRecordOfX merges the records into a new table and returns the resulting record of x.
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
