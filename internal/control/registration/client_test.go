package registration

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control/leaders"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shardstate"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// testShards implements leaders.Shards for a group of two reachable nodes. The client's node
// hosts no copy of the shard.
type testShards struct{}

func (testShards) HostedLeader(uint32) (member.ID, bool) { return "", false }
func (testShards) Group(uint32) []member.ID              { return []member.ID{"a", "b"} }
func (testShards) Reachable(member.ID) bool              { return true }

// sentMessages implements protocol.Transport and records messages and their receivers.
type sentMessages []struct {
	to      member.ID
	message protocol.Message
}

func (s *sentMessages) Send(to member.ID, message protocol.Message) {
	*s = append(*s, struct {
		to      member.ID
		message protocol.Message
	}{to, message})
}

var _ = Describe("Client", func() {
	const retryEvery = 300 * time.Millisecond

	var (
		sent   sentMessages
		client *Client
	)

	BeforeEach(func() {
		sent = nil
		client = NewClient([]uint32{0}, retryEvery, &sent, protocol.NewNumbering(5),
			leaders.NewDirectory(testShards{}), shardstate.NewReceived())
		client.Tick(0, 5)
		Expect(sent).To(HaveLen(1))
	})

	reply := func(message protocol.Message) Result {
		message.Type = protocol.MessageRegisterReply
		return client.ReceiveReply(0, "a", message, 5)
	}

	It("asks the next member of the group after retryEvery, and no earlier", func() {
		client.Tick(retryEvery-1, 5)
		Expect(sent).To(HaveLen(1))
		client.Tick(retryEvery, 5)
		Expect(sent).To(HaveLen(2))
		Expect(sent[1].to).To(Equal(member.ID("b")))
	})

	It("answers a repeated challenge once", func() {
		challenge := protocol.Message{Request: sent[0].message.Request, Leader: "a", Revision: 77}
		Expect(reply(challenge)).To(Equal(Result{}))
		Expect(reply(challenge)).To(Equal(Result{}))
		Expect(sent).To(HaveLen(2))
		Expect(sent[1].message.Revision).To(BeEquivalentTo(77))
	})

	It("is registered once a leader has committed the registration of its incarnation", func() {
		Expect(client.Registered(0, 5)).To(BeFalse())
		accepted := protocol.Message{Accepted: true, Incarnation: 5, Term: 3}
		Expect(reply(accepted)).To(Equal(Result{Term: 3, Changed: true}))
		Expect(client.Registered(0, 5)).To(BeTrue())
		Expect(client.Registered(0, 6)).To(BeFalse(), "another incarnation needs a registration of its own")
		Expect(reply(accepted)).To(Equal(Result{Term: 3}), "the same reply changes nothing")
	})

	It("is not registered before it has received the revision that the leader requires", func() {
		Expect(reply(protocol.Message{Accepted: true, Incarnation: 5, Term: 3, Revision: 1}).Changed).To(BeTrue())
		Expect(client.Registered(0, 5)).To(BeFalse())
		client.Tick(requiredRevisionTimeout, 5)
		Expect(sent).To(HaveLen(2), "the client asks again")
	})

	It("reports that the node is registered in a later incarnation", func() {
		Expect(reply(protocol.Message{Incarnation: 8})).To(Equal(Result{LaterIncarnation: 8}))
	})
})
