package confirmation

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/membership"
)

// testShard is shard 1, led by this node.
type testShard struct {
	registered []*controlpb.RegisterNode
}

func (s *testShard) ID() uint32                       { return 1 }
func (s *testShard) IsLeader() bool                   { return true }
func (s *testShard) Term() uint64                     { return 4 }
func (s *testShard) Revision() uint64                 { return 9 }
func (s *testShard) Nodes() []*controlpb.RegisterNode { return s.registered }

// testMembers has live nodes in incarnation 2. All registered incarnations have ended, or
// none; all former incarnations are quiesced, or none.
type testMembers struct {
	live     []member.ID
	ended    bool
	quiesced bool
}

func (m *testMembers) Records() []membership.Record {
	return lo.Map(m.live, func(id member.ID, _ int) membership.Record {
		return membership.Record{Info: member.Info{ID: id, Incarnation: 2}, State: membership.StateAlive}
	})
}

func (m *testMembers) Alive(id member.ID) bool                             { return lo.Contains(m.live, id) }
func (m *testMembers) IncarnationEnded(member.ID, member.Incarnation) bool { return m.ended }
func (m *testMembers) FormerIncarnationQuiesced(member.ID) bool            { return m.quiesced }

// sentTo records the nodes that confirmations were requested from.
type sentTo []member.ID

func (s *sentTo) Send(to member.ID, message protocol.Message) {
	Expect(message.Type).To(Equal(protocol.MessageConfirmRequest))
	*s = append(*s, to)
}

func confirms(incarnation member.Incarnation, revision, drained uint64) protocol.Message {
	return protocol.Message{
		Type: protocol.MessageConfirm, Incarnation: incarnation,
		Revisions: []protocol.ShardRevision{{Shard: 1, Revision: revision, Drained: drained}},
	}
}

var _ = Describe("Table", func() {
	const every = 250 * time.Millisecond

	var (
		members *testMembers
		shard   *testShard
		sent    sentTo
	)

	newTable := func(failOpen bool) *Table {
		return NewTable(TableConfig{RequestEvery: every, FailOpen: failOpen}, members, &sent)
	}

	BeforeEach(func() {
		members = &testMembers{quiesced: true}
		shard = &testShard{registered: []*controlpb.RegisterNode{{Node: "a", Incarnation: 2}, {Node: "b", Incarnation: 2}}}
		sent = nil
	})

	It("waits for each registered node in its registered incarnation", func() {
		table := newTable(false)
		table.Receive("a", confirms(2, 9, 9))
		table.Receive("b", confirms(1, 9, 9))
		Expect(table.ConfirmedEverywhere(0, shard, 9)).To(BeFalse(), "b confirmed in an earlier incarnation")
		table.Receive("b", confirms(2, 9, 8))
		Expect(table.ConfirmedEverywhere(0, shard, 9)).To(BeTrue())
		Expect(table.DrainedEverywhere(0, shard, 9)).To(BeFalse())
	})

	It("does not wait for an incarnation that has certainly ended", func() {
		table := newTable(false)
		table.Receive("a", confirms(2, 9, 9))
		members.ended = true
		Expect(table.ConfirmedEverywhere(0, shard, 9)).To(BeTrue())
		members.quiesced = false
		Expect(table.DrainedEverywhere(0, shard, 9)).To(BeFalse(), "a request of a former incarnation may not have arrived")
	})

	It("ignores lower revisions and earlier incarnations of a node", func() {
		table := newTable(false)
		shard.registered = shard.registered[:1]
		table.Receive("a", confirms(2, 9, 9))
		table.Receive("a", confirms(2, 8, 8))
		table.Receive("a", confirms(1, 1, 1))
		Expect(table.DrainedEverywhere(0, shard, 9)).To(BeTrue())
	})

	It("asks the nodes that have not confirmed in time, once for each wait", func() {
		table := newTable(false)
		table.Receive("a", confirms(2, 9, 9))
		Expect(table.ConfirmedEverywhere(time.Second, shard, 9)).To(BeFalse())
		table.RequestOverdue(time.Second+every-1, shard)
		Expect(sent).To(BeEmpty())
		table.RequestOverdue(time.Second+every, shard)
		table.RequestOverdue(time.Second+2*every, shard)
		Expect(sent).To(Equal(sentTo{"b"}))
	})

	It("waits only for the live nodes where nodes go on serving while partitioned", func() {
		members.live = []member.ID{"c"}
		table := newTable(true)
		Expect(table.ConfirmedEverywhere(time.Second, shard, 9)).To(BeFalse())
		table.RequestOverdue(time.Second+every, shard)
		Expect(sent).To(Equal(sentTo{"c"}))
		table.Receive("c", confirms(2, 9, 9))
		Expect(table.ConfirmedEverywhere(time.Second, shard, 9)).To(BeTrue())
	})
})
