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

// evacuationOf returns an order that evacuates a zone, or that restores it.
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

// forward delivers a copy of an order that another node took to the solo node, which leads
// every shard. It returns the answer, or nil if there is none.
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

	// The order is based on revision 2, so that it is rejected as long as revision 1 is in
	// force.
	early := func() *controlpb.Order { return evacuationOf("early", "z1", true, 2) }

	BeforeEach(func() {
		node = newSoloNode()
		node.run(3 * time.Second)
		Expect(node.submit(poolConfiguration()).GetRevision()).To(BeEquivalentTo(1))
		Expect(node.forward("stranger", 41, early()).GetProblem()).NotTo(BeNil())
		Expect(node.submit(evacuationOf("between", "z2", true, 1)).GetRevision()).To(BeEquivalentTo(2))
	})

	It("is not accepted when a late duplicate of the same request arrives", func() {
		refused := node.forward("stranger", 41, early())
		Expect(refused.GetProblem()).NotTo(BeNil())
		Expect(refused.GetRevision()).To(BeEquivalentTo(1), "the first answer must be repeated")
		Expect(node.machine.Configuration().GetRevision()).To(BeEquivalentTo(2))
	})

	It("is accepted when it is submitted again and valid by then", func() {
		Expect(node.forward("stranger", 42, early()).GetRevision()).To(BeEquivalentTo(3))
	})

	It("is accepted from another node under the same request number", func() {
		node.forward("other", 41, early())
		Expect(node.machine.Configuration().GetRevision()).To(BeEquivalentTo(3))
	})

	It("is forgotten once no node can still wait for the answer", func() {
		const retention = 3 // in request time-outs
		node.run(retention * node.machine.config.Times.RequestTimeout)
		Expect(node.forward("stranger", 41, early()).GetRevision()).To(BeEquivalentTo(3), "the order must be evaluated again")
	})
})
