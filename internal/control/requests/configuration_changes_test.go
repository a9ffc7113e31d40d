package requests

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

var _ = Describe("A change that carries a whole configuration", func() {
	const maxCommandBytes, requestTimeout = 1000, time.Second

	var (
		sent   sentMessages
		shard  *testShard
		leader *Leader
	)

	documentOfBytes := func(request uint64, bytes int) protocol.Message {
		order := &controlpb.Order{OrderId: "o", Change: &controlpb.Order_ApplyDocument{
			ApplyDocument: &controlpb.ApplyDocument{Source: &ridgeswitchv1.Source{Document: make([]byte, bytes)}},
		}}
		payload, err := proto.Marshal(&controlpb.Command{Command: &controlpb.Command_Order{Order: order}})
		Expect(err).NotTo(HaveOccurred())
		return protocol.Message{Type: protocol.MessageChange, Request: request, Payload: payload}
	}
	answer := func(position int) *controlpb.Answer {
		decoded := &controlpb.Answer{}
		Expect(proto.Unmarshal(sent[position].message.Payload, decoded)).To(Succeed())
		return decoded
	}
	// finishRead passes the outcome of a read to the leader.
	finishRead := func(ready replication.Ready) {
		state := shardstate.NewConfiguration(&controlpb.ConfigurationState{})
		Expect(leader.FinishReads(state, ready)).To(Succeed())
		leader.Advance(shard)
	}
	confirmRead := func() { finishRead(replication.Ready{Reads: []replication.Read{{ID: 1}}}) }

	BeforeEach(func() {
		sent = nil
		shard = &testShard{leads: true}
		leader = NewLeader(LeaderConfig{
			AcknowledgeTimeout: 4 * time.Second, RequestTimeout: requestTimeout, MaxCommandBytes: maxCommandBytes,
		}, &sent, leaders.NewDirectory(testShards{}))
	})

	// Guards against refused documents filling the log (issue 37, review/1).
	It("is refused without an entry in the log, once the leadership is confirmed", func() {
		shard.preview = &controlpb.Answer{Problem: &ridgeswitchv1.Problem{Kind: string(dynamic.KindBaseRevisionStale)}}
		leader.ReceiveChange(shard, "n", documentOfBytes(1, 10))
		leader.ReceiveChange(shard, "n", documentOfBytes(1, 10))
		Expect(sent).To(BeEmpty())
		confirmRead()
		Expect(sent).To(HaveLen(1))
		Expect(answer(0).GetProblem().GetKind()).To(BeEquivalentTo(dynamic.KindBaseRevisionStale))
		Expect(shard.proposed).To(BeZero())
		By("refusing a late copy too, although the change would be accepted now")
		shard.preview = nil
		leader.ReceiveChange(shard, "n", documentOfBytes(1, 10))
		Expect(sent).To(HaveLen(2))
		Expect(shard.proposed).To(BeZero())
	})

	It("is evaluated again if the state has changed while the leadership was confirmed", func() {
		shard.preview = &controlpb.Answer{Problem: &ridgeswitchv1.Problem{}}
		leader.ReceiveChange(shard, "n", documentOfBytes(1, 10))
		shard.preview = nil
		confirmRead()
		Expect(shard.proposed).To(Equal(1))
		Expect(sent).To(BeEmpty())
	})

	It("is answered as a resend without an entry in the log", func() {
		shard.preview, shard.confirmed = &controlpb.Answer{Revision: 7}, true
		leader.ReceiveChange(shard, "n", documentOfBytes(1, 10))
		confirmRead()
		leader.Tick(0, shard)
		Expect(answer(0).GetConfirmed()).To(BeTrue())
		Expect(shard.proposed).To(BeZero())
	})

	It("waits for the one before it, and for the entries of earlier leaders", func() {
		shard.behind = true
		leader.ReceiveChange(shard, "n", documentOfBytes(1, 10))
		leader.ReceiveChange(shard, "n", documentOfBytes(2, 10))
		Expect(shard.proposed).To(BeZero())
		shard.behind = false
		leader.Tick(0, shard)
		Expect(shard.proposed).To(Equal(1))
		leader.Tick(0, shard)
		Expect(shard.proposed).To(Equal(1))
		shard.proposed = 0 // The first change is applied.
		leader.Tick(0, shard)
		Expect(shard.proposed).To(Equal(1))
	})

	It("is kept when only the read failed, and redirected when the leadership is lost", func() {
		shard.preview = &controlpb.Answer{Problem: &ridgeswitchv1.Problem{}}
		leader.ReceiveChange(shard, "n", documentOfBytes(1, 10))
		finishRead(replication.Ready{ReadsFailed: []uint64{1}})
		Expect(sent).To(BeEmpty())
		shard.leads = false
		leader.Tick(0, shard)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].message.Accepted).To(BeFalse())
	})

	It("is refused if it exceeds the size limit of commands", func() {
		leader.ReceiveChange(shard, "n", documentOfBytes(1, maxCommandBytes))
		confirmRead()
		Expect(shard.proposed).To(BeZero())
		Expect(answer(0).GetProblem().GetKind()).To(BeEquivalentTo(dynamic.KindOversize))
		Expect(answer(0).GetProblem().GetMessage()).To(ContainSubstring("room for 1000"))
		Expect(answer(0).GetProblem().GetRevision()).To(Equal(shard.Revision()))
	})

	It("is queued within bounds, and dropped when its sender has given up", func() {
		shard.behind = true
		for request := range uint64(100) {
			leader.ReceiveChange(shard, "n", documentOfBytes(1+request, maxCommandBytes/2))
		}
		Expect(len(leader.changes.waiting)).To(BeNumerically("<=", 2*queuedBytesFactor))
		leader.Tick(requestTimeout, shard)
		Expect(leader.changes.waiting).To(BeEmpty())
		for request := range uint64(100) {
			leader.ReceiveChange(shard, "n", documentOfBytes(1+request, 1))
		}
		Expect(leader.changes.waiting).To(HaveLen(maxQueuedChanges))
	})

	// Guards against resending a large document while its reply is under way (issue 37).
	It("is resent after pauses that double", func() {
		const retryEvery = 300 * time.Millisecond
		client := NewClient(ClientConfig{Timeout: time.Minute, RetryEvery: retryEvery}, &sent,
			protocol.NewNumbering(1), leaders.NewDirectory(testShards{}))
		client.Submit(0, 1, &controlpb.Order{OrderId: strings.Repeat("o", largePayloadBytes)})
		var sentAt []time.Duration
		for now := time.Duration(0); now < 10*retryEvery; now += retryEvery {
			before := len(sent)
			client.Tick(now)
			if len(sent) > before {
				sentAt = append(sentAt, now/retryEvery)
			}
		}
		Expect(sentAt).To(Equal([]time.Duration{1, 3, 7}))
		Expect(sent[1].to).To(Equal(member.ID("b")))
	})
})
