package requests

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// testShards implements leaders.Shards for a group of two reachable nodes.
type testShards struct{}

func (testShards) HostedLeader(uint32) (member.ID, bool) { return "", false }
func (testShards) Group(uint32) []member.ID              { return []member.ID{"a", "b"} }
func (testShards) Reachable(member.ID) bool              { return true }

// sentMessage is a message and the node that it was sent to.
type sentMessage struct {
	to      member.ID
	message protocol.Message
}

// sentMessages implements protocol.Transport and records what is sent.
type sentMessages []sentMessage

func (s *sentMessages) Send(to member.ID, message protocol.Message) {
	*s = append(*s, sentMessage{to: to, message: message})
}

// testShard implements Shard for the shard of the configuration.
type testShard struct {
	leads     bool
	confirmed bool
	proposed  int
	// preview is what PreviewChange returns.
	preview *controlpb.Answer
	// behind means that entries of an earlier leader are not applied yet.
	behind bool
}

func (s *testShard) PreviewChange(*controlpb.Order) *controlpb.Answer { return s.preview }
func (s *testShard) Revision() uint64                                 { return 7 }
func (s *testShard) BarrierApplied() bool                             { return !s.behind }
func (s *testShard) Process()                                         {}

func (s *testShard) IsLeader() bool                            { return s.leads }
func (s *testShard) ChangeProposed(member.ID, uint64) bool     { return s.proposed > 0 }
func (s *testShard) ProposeChange(member.ID, protocol.Message) { s.proposed++ }
func (s *testShard) ConfirmedEverywhere(uint64) bool           { return s.confirmed }
func (s *testShard) RequestRead() (uint64, error)              { return 1, nil }

var _ = Describe("Client", func() {
	const retryEvery, timeout = 300 * time.Millisecond, 2 * time.Second

	var (
		sent   sentMessages
		client *Client
	)

	BeforeEach(func() {
		sent = nil
		client = NewClient(ClientConfig{Timeout: timeout, RetryEvery: retryEvery}, &sent,
			protocol.NewNumbering(1), leaders.NewDirectory(testShards{}))
	})

	It("resends a change under the same number to the next member, until it times out as pending", func() {
		client.Submit(0, 7, &controlpb.Order{OrderId: "o"})
		client.Tick(retryEvery - 1)
		Expect(sent).To(HaveLen(1))
		client.Tick(retryEvery)
		Expect(sent).To(HaveLen(2))
		Expect(sent[1].to).To(Equal(member.ID("b")))
		Expect(sent[1].message).To(Equal(sent[0].message))
		Expect(client.TakeReplies()).To(BeEmpty())
		client.Tick(timeout)
		replies := client.TakeReplies()
		Expect(replies).To(HaveLen(1))
		Expect(replies[0].Ticket).To(BeEquivalentTo(7))
		Expect(replies[0].Answer.GetConfirmed()).To(BeFalse())
		Expect(replies[0].Err).NotTo(HaveOccurred())
	})

	It("sends a redirected request to the named leader", func() {
		client.Submit(0, 7, &controlpb.Order{OrderId: "o"})
		client.ReceiveReply(0, "a", protocol.Message{
			Type: protocol.MessageChangeReply, Request: sent[0].message.Request, Leader: "b",
		})
		Expect(sent).To(HaveLen(2))
		Expect(sent[1].to).To(Equal(member.ID("b")))
	})

	It("answers a read from its own copy once that has reached the confirmed revision", func() {
		client.ReadConfiguration(0, 7)
		client.ReceiveReply(0, "a", protocol.Message{
			Type: protocol.MessageReadRevisionReply, Request: sent[0].message.Request, Accepted: true, Revision: 3,
		})
		client.AnswerReads(&ridgeswitchv1.Configuration{Revision: 2})
		Expect(client.TakeReplies()).To(BeEmpty())
		client.AnswerReads(&ridgeswitchv1.Configuration{Revision: 3})
		Expect(client.TakeReplies()).To(HaveLen(1))
	})

	It("returns different errors for a read without a quorum and a read for which its copy is too old", func() {
		client.ReadConfiguration(0, 1)
		client.ReadConfiguration(0, 2)
		client.ReceiveReply(0, "a", protocol.Message{
			Type: protocol.MessageReadRevisionReply, Request: sent[1].message.Request, Accepted: true, Revision: 3,
		})
		client.Tick(timeout)
		replies := client.TakeReplies()
		Expect(replies).To(HaveLen(2))
		Expect(replies[0].Err).To(MatchError(ErrNoQuorum))
		Expect(replies[1].Err).To(MatchError(ErrBehind))
	})

	It("does not answer a cancelled request", func() {
		client.Submit(0, 7, &controlpb.Order{OrderId: "o"})
		client.Cancel(7)
		client.Tick(timeout)
		Expect(client.TakeReplies()).To(BeEmpty())
	})
})

var _ = Describe("Leader", func() {
	const acknowledgeTimeout = 4 * time.Second

	var (
		sent   sentMessages
		shard  *testShard
		leader *Leader
	)

	newLeader := func(unconfirmedAfter time.Duration) *Leader {
		return NewLeader(LeaderConfig{
			AcknowledgeTimeout:          acknowledgeTimeout,
			AcknowledgeUnconfirmedAfter: unconfirmedAfter,
			RequestTimeout:              time.Second,
		}, &sent, leaders.NewDirectory(testShards{}))
	}
	change := protocol.Message{Type: protocol.MessageChange, Request: 1}
	acknowledged := func() bool {
		Expect(sent).To(HaveLen(1))
		answer := &controlpb.Answer{}
		Expect(proto.Unmarshal(sent[0].message.Payload, answer)).To(Succeed())
		return answer.GetConfirmed()
	}

	BeforeEach(func() {
		sent = nil
		shard = &testShard{leads: true}
		leader = newLeader(0)
	})

	It("redirects a node when it does not lead", func() {
		leader.ReceiveChange(nil, "n", change)
		leader.ReceiveChange(&testShard{}, "n", change)
		Expect(sent).To(HaveLen(2))
		Expect(sent[0].message.Accepted).To(BeFalse())
		Expect(sent[1].message.Accepted).To(BeFalse())
	})

	It("proposes a change once, although it is received again before and after it is applied", func() {
		leader.ReceiveChange(shard, "n", change)
		leader.ReceiveChange(shard, "n", change)
		Expect(shard.proposed).To(Equal(1))
		shard.proposed = 0
		leader.Applied(0, "n", 1, &controlpb.Answer{Revision: 1})
		leader.ReceiveChange(shard, "n", change)
		Expect(shard.proposed).To(BeZero())
		Expect(sent).To(BeEmpty())
	})

	It("acknowledges a change once it is confirmed everywhere", func() {
		leader.Applied(0, "n", 1, &controlpb.Answer{Revision: 1})
		leader.Tick(time.Second, shard)
		Expect(sent).To(BeEmpty())
		shard.confirmed = true
		leader.Tick(time.Second, shard)
		Expect(acknowledged()).To(BeTrue())
	})

	It("answers a change as pending if it is not confirmed in time", func() {
		leader.Applied(0, "n", 1, &controlpb.Answer{Revision: 1})
		leader.Tick(acknowledgeTimeout, shard)
		Expect(acknowledged()).To(BeFalse())
	})

	It("acknowledges a committed change without confirmations where nodes serve while partitioned", func() {
		leader = newLeader(600 * time.Millisecond)
		leader.Applied(0, "n", 1, &controlpb.Answer{Revision: 1})
		shard.leads = false
		leader.Tick(600*time.Millisecond, shard)
		Expect(acknowledged()).To(BeTrue())
	})

	It("begins a repeated read once", func() {
		read := protocol.Message{Type: protocol.MessageReadRevision, Request: 2}
		Expect(leader.ReceiveRead(shard, "n", read)).To(BeTrue())
		Expect(leader.ReceiveRead(shard, "n", read)).To(BeFalse())
	})
})
