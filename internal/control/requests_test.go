package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/control/protocol"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// evacuationOf orders that a zone is evacuated, or no longer is.
func evacuationOf(identity, zone string, evacuated bool, base uint64) *controlpb.Order {
	header := &ridgeswitchv1.OrderHeader{OrderId: identity, BaseRevision: base}
	var request proto.Message = &ridgeswitchv1.RestoreZoneRequest{Order: header, Zone: zone}
	if evacuated {
		request = &ridgeswitchv1.EvacuateZoneRequest{Order: header, Zone: zone}
	}
	order, err := dynamic.OrderFromRequest(request)
	Expect(err).NotTo(HaveOccurred())
	return order
}

// forward hands the solo node, which owns every shard, a copy of an order that
// another node took, and returns the answer to it, or nil.
func (n *soloNode) forward(from member.ID, request uint64, order *controlpb.Order) *controlpb.Answer {
	payload, err := proto.Marshal(&controlpb.Command{Command: &controlpb.Command_Order{Order: order}})
	Expect(err).NotTo(HaveOccurred())
	n.sends = nil
	n.perform(n.machine.Receive(n.now, wire.Envelope{From: from, Control: &protocol.Message{
		Type: protocol.MessageChange, Request: request, Payload: payload,
	}}))
	n.run(time.Second)
	for _, sent := range n.sends {
		control := sent.send.Envelope.Control
		if sent.send.To == from && control != nil && control.Type == protocol.MessageChangeReply && control.Request == request {
			answer := &controlpb.Answer{}
			Expect(proto.Unmarshal(control.Payload, answer)).To(Succeed())
			return answer
		}
	}
	return nil
}

var _ = Describe("a rejected change", func() {
	var node *soloNode

	// The zone can be evacuated on revision 2 alone, which is not in force at first.
	early := func() *controlpb.Order { return evacuationOf("early", "z1", true, 2) }

	BeforeEach(func() {
		node = newSoloNode()
		node.run(3 * time.Second)
		Expect(node.submit(poolConfiguration()).GetRevision()).To(BeEquivalentTo(1))
		Expect(node.forward("stranger", 41, early()).GetProblem()).NotTo(BeNil())
		Expect(node.submit(evacuationOf("between", "z2", true, 1)).GetRevision()).To(BeEquivalentTo(2))
	})

	It("is not accepted from a late duplicate of the same request", func() {
		refused := node.forward("stranger", 41, early())
		Expect(refused.GetProblem()).NotTo(BeNil())
		Expect(refused.GetRevision()).To(BeEquivalentTo(1), "the first answer")
		Expect(node.machine.Configuration().GetRevision()).To(BeEquivalentTo(2))
	})

	It("may be accepted when it is submitted again", func() {
		Expect(node.forward("stranger", 42, early()).GetRevision()).To(BeEquivalentTo(3))
	})

	It("may be accepted from another node under the same number", func() {
		node.forward("other", 41, early())
		Expect(node.machine.Configuration().GetRevision()).To(BeEquivalentTo(3))
	})

	It("is forgotten once nobody can wait for it any more", func() {
		const retention = 3 // in time-outs of a request
		node.run(retention * node.machine.config.Times.RequestTimeout)
		Expect(node.forward("stranger", 41, early()).GetRevision()).To(BeEquivalentTo(3), "it is judged anew")
	})
})
