package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// strangerIncarnation is the incarnation of the node "stranger", which wants to register.
const strangerIncarnation = member.Incarnation(7)

// register delivers a registration of the node "stranger", with a challenge that it sends
// back, to the solo node, which leads every shard. It returns the replies.
func (n *soloNode) register(challenge uint64) []protocol.Message {
	output := n.machine.Receive(n.now, wire.Envelope{From: "stranger", Control: &protocol.Message{
		Type: protocol.MessageRegister, Request: 1, Incarnation: strangerIncarnation, Revision: challenge,
	}})
	n.perform(output)
	replies := lo.Filter(output.Sends, func(send Send, _ int) bool { return send.To == "stranger" && send.Envelope.Control != nil })
	return lo.Map(replies, func(send Send, _ int) protocol.Message { return *send.Envelope.Control })
}

// isRegistered reports whether a node is registered, so that acknowledgements wait for it.
func (n *soloNode) isRegistered(id string) bool {
	return lo.ContainsBy(n.machine.shards.byID[ConfigurationShard].Nodes(), func(node *controlpb.RegisterNode) bool {
		return node.GetNode() == id
	})
}

var _ = Describe("a registration", func() {
	It("is accepted only after the node has sent back the challenge that it received", func() {
		node := newSoloNode()
		node.run(3 * time.Second)
		replies := node.register(0)
		node.run(time.Second)
		Expect(node.isRegistered("stranger")).To(BeFalse())
		Expect(replies).To(HaveLen(1))
		Expect(replies[0].Accepted).To(BeFalse())
		Expect(node.submit(poolConfiguration()).GetConfirmed()).To(BeTrue())

		node.register(replies[0].Revision + 1)
		node.run(time.Second)
		Expect(node.isRegistered("stranger")).To(BeFalse())

		node.register(replies[0].Revision)
		node.run(time.Second)
		Expect(node.isRegistered("stranger")).To(BeTrue())
	})
})
