package replication_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

var _ = Describe("invalid input", func() {
	It("is rejected when no correct member could have sent it, and changes nothing", func() {
		g := newMember("n1", "n1", "n2", "n3")
		var rejected *replication.MessageError
		Expect(g.Step(0, "n2", replication.Message{Type: replication.MessageHeartbeat})).To(BeAssignableToTypeOf(rejected))
		Expect(g.Step(0, "n2", appendMessage(1, 0, 0, 2, entry(1, 1), entry(2, 1)))).To(Succeed())
		before := g.Status()
		for _, m := range []replication.Message{
			{Type: 99, Term: 1},
			{Type: replication.MessageSnapshot, Term: 1},
			{Type: replication.MessageSnapshot, Term: 1, Snapshot: &replication.Snapshot{Index: 9, Term: 1}},
			appendMessage(1, 2, 1, 2, entry(4, 1)),
			appendMessage(1, 0, 0, 2, entry(1, 1), entry(2, 0)),
			appendMessage(1, 1, 1, 2, entry(2, 2)),
			appendMessage(1, 2, 1, 2, replication.Entry{Index: 3, Term: 1, Kind: replication.EntryGroupChange}),
			appendMessage(2, 1, 1, 2, entry(2, 2)),
		} {
			Expect(g.Step(0, "n2", m)).To(BeAssignableToTypeOf(rejected))
		}
		Expect(g.Step(0, "n9", appendMessage(1, 2, 1, 2))).To(BeAssignableToTypeOf(rejected))
		Expect(g.Status()).To(Equal(before))
		Expect(g.Step(0, "n3", appendMessage(before.Term, 2, 1, 2))).To(BeAssignableToTypeOf(rejected))
	})

	It("is answered with the ID of the leader when a caller asks another member", func() {
		g := newMember("n1", "n1", "n2", "n3")
		Expect(g.Step(0, "n2", appendMessage(1, 0, 0, 0))).To(Succeed())
		_, err := g.Propose(0, nil)
		Expect(err).To(Equal(&replication.NotLeaderError{Leader: "n2"}))
		_, err = g.RequestRead(0)
		Expect(err).To(Equal(&replication.NotLeaderError{Leader: "n2"}))
		Expect(g.TransferLeadership(0)).To(Equal(&replication.NotLeaderError{Leader: "n2"}))
	})

	It("is rejected in settings and durable state", func() {
		good := replication.Config{Self: "n1", Incarnation: replication.FoundingIncarnation, Founders: []member.ID{"n1", "n2"}, HeartbeatEvery: 1, ElectionTimeout: 3}
		for _, invalidate := range []func(*replication.Config){
			func(c *replication.Config) { c.Self = "" },
			func(c *replication.Config) { c.Incarnation = 0 },
			func(c *replication.Config) { c.Founders = []member.ID{"n1", ""} },
			func(c *replication.Config) { c.MaxVoters = -1 },
			func(c *replication.Config) { c.RemoveAfter = -1 },
			func(c *replication.Config) { c.Founders = []member.ID{"n1", "n1"} },
			func(c *replication.Config) { c.HeartbeatEvery = 0 },
			func(c *replication.Config) { c.ElectionTimeout = 1 },
			func(c *replication.Config) { c.LeaseDuration, c.LeaseMargin = 1, 1 },
			func(c *replication.Config) { c.MaxLogEntries = -1 },
		} {
			config := good
			invalidate(&config)
			_, err := replication.New(config, replication.Restored{}, 0)
			Expect(err).To(BeAssignableToTypeOf(&replication.ConfigError{}))
		}
		hardState := replication.HardState{Term: 1}
		for _, restored := range []replication.Restored{
			{HardState: hardState, Entries: []replication.Entry{entry(2, 1)}},
			{HardState: hardState, Entries: []replication.Entry{entry(1, 2)}},
			{HardState: replication.HardState{Term: 1, Commit: 1}},
			{HardState: hardState, Snapshot: &replication.Snapshot{Index: 1, Term: 1}},
			{HardState: hardState, Snapshot: &replication.Snapshot{Index: 1, Term: 1, Slots: founderSlots("n1", "n1")}},
			{HardState: hardState, Snapshot: &replication.Snapshot{Index: 1, Term: 1, Slots: founderSlots("n1", "")}},
			{HardState: hardState, Snapshot: &replication.Snapshot{Index: 1, Term: 1, Slots: slotsWithLearner()[2:]}},
			{HardState: hardState, Snapshot: &replication.Snapshot{Index: 1, Term: 1, Slots: make([]replication.Slot, 2)}},
			{HardState: hardState, Entries: []replication.Entry{{Index: 1, Term: 1, Kind: replication.EntryGroupChange, Command: []byte("[]")}}},
		} {
			_, err := replication.New(good, restored, 0)
			Expect(err).To(BeAssignableToTypeOf(&replication.RestoredError{}))
		}
	})
})
