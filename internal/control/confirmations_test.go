package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// silentIncarnation is the incarnation of the node "silent", which is registered but sends
// confirmations only when a test makes it.
const silentIncarnation member.Incarnation = 7

// receiveFromPeer delivers a control message of the node "silent".
func (n *soloNode) receiveFromPeer(message protocol.Message) {
	message.Incarnation = silentIncarnation
	n.perform(n.machine.Receive(n.now, wire.Envelope{From: "silent", Shard: message.Shard, Control: &message}))
}

// challengeSentTo returns the newest challenge that was sent to a node, which the node must
// send back with its registration.
func (n *soloNode) challengeSentTo(id member.ID) uint64 {
	var number uint64
	for _, sent := range n.sends {
		control := sent.send.Envelope.Control
		if sent.send.To == id && control != nil && control.Type == protocol.MessageRegisterReply {
			number = control.Revision
		}
	}
	return number
}

// confirmationRequestTimes returns the times at which the node "silent" was asked to confirm.
func (n *soloNode) confirmationRequestTimes() []time.Duration {
	var asked []time.Duration
	for _, sent := range n.sends {
		control := sent.send.Envelope.Control
		if sent.send.To == "silent" && control != nil && control.Type == protocol.MessageConfirmRequest {
			asked = append(asked, sent.at)
		}
	}
	return asked
}

var _ = Describe("a leader that waits for a confirmation", func() {
	var node *soloNode

	BeforeEach(func() {
		node = newSoloNode()
		node.run(3 * time.Second)
		node.receiveFromPeer(protocol.Message{Type: protocol.MessageRegister, Shard: ConfigurationShard, Request: 1})
		node.receiveFromPeer(protocol.Message{Type: protocol.MessageRegister, Shard: ConfigurationShard, Request: 2, Revision: node.challengeSentTo("silent")})
		node.run(time.Second)
	})

	It("requests an overdue confirmation repeatedly, but not before DefaultConfirmEvery has passed", func() {
		submitted := node.now
		Expect(node.submit(poolConfiguration())).To(BeNil())
		asked := node.confirmationRequestTimes()
		Expect(len(asked)).To(BeNumerically(">=", 5))
		Expect(asked[0] - submitted).To(BeNumerically(">=", DefaultConfirmEvery))
		Expect(asked[1] - asked[0]).To(BeNumerically(">=", DefaultConfirmEvery))
	})

	It("acknowledges the change as soon as the node confirms, and then stops requesting", func() {
		Expect(node.submit(poolConfiguration())).To(BeNil())
		revision := node.machine.Configuration().GetRevision()
		node.receiveFromPeer(protocol.Message{
			Type:      protocol.MessageConfirm,
			Revisions: []protocol.ShardRevision{{Shard: ConfigurationShard, Revision: revision}},
		})
		node.run(DefaultTickEvery)
		Expect(node.answers[node.ticket].GetConfirmed()).To(BeTrue())
		node.run(time.Second)
		before := len(node.confirmationRequestTimes())
		node.run(2 * time.Second)
		Expect(node.confirmationRequestTimes()).To(HaveLen(before))
	})

	It("does not count a confirmation by an earlier incarnation of the node", func() {
		Expect(node.submit(poolConfiguration())).To(BeNil())
		earlier := protocol.Message{
			Type:        protocol.MessageConfirm,
			Incarnation: silentIncarnation - 1,
			Revisions:   []protocol.ShardRevision{{Shard: ConfigurationShard, Revision: 100}},
		}
		node.perform(node.machine.Receive(node.now, wire.Envelope{From: "silent", Control: &earlier}))
		node.run(DefaultTickEvery)
		Expect(node.answers[node.ticket]).To(BeNil())
	})
})

var _ = Describe("a node that is asked to confirm", func() {
	It("answers at once with the revisions that traffic uses", func() {
		node := newSoloNode()
		node.run(3 * time.Second)
		Expect(node.submit(poolConfiguration()).GetConfirmed()).To(BeTrue())
		before := len(node.sends)
		node.receiveFromPeer(protocol.Message{Type: protocol.MessageConfirmRequest})
		Expect(node.sends).To(HaveLen(before + 1))
		answer := node.sends[before].send.Envelope.Control
		Expect(answer.Type).To(Equal(protocol.MessageConfirm))
		Expect(answer.Incarnation).To(Equal(node.machine.members.incarnation()))
		Expect(answer.Revisions[0].Revision).To(Equal(node.machine.Configuration().GetRevision()))
	})
})
