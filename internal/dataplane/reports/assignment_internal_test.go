package reports

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

var _ = Describe("The reader of a back end", func() {
	peers := []member.Info{{ID: "n1", Zone: "a"}, {ID: "n2", Zone: "a"}, {ID: "n3", Zone: "b"}}

	It("is a node of the back end's zone, or any node if the zone has none, regardless of the order of the nodes", func() {
		inZone := readerFor("10.0.0.1:1", "a", peers)
		Expect(inZone).To(BeElementOf(member.ID("n1"), member.ID("n2")))
		Expect(readerFor("10.0.0.1:1", "a", []member.Info{peers[2], peers[1], peers[0]})).To(Equal(inZone))
		Expect(readerFor("10.0.0.1:1", "c", peers)).To(BeElementOf(member.ID("n1"), member.ID("n2"), member.ID("n3")))
		Expect(readerFor("10.0.0.1:1", "a", nil)).To(BeEmpty())
	})

	It("is reassigned only when the view, the live nodes or a node's zone changes", func() {
		view := &routing.View{}
		assigned := assignment{view: view, peers: peers, backends: map[string]bool{}}
		Expect(assigned.validFor(view, peers)).To(BeTrue())
		Expect(assigned.validFor(&routing.View{}, peers)).To(BeFalse())
		Expect(assigned.validFor(view, peers[:2])).To(BeFalse())
		moved := []member.Info{{ID: "n1", Zone: "b"}, peers[1], peers[2]}
		Expect(assigned.validFor(view, moved)).To(BeFalse())
		Expect((&assignment{}).validFor(nil, nil)).To(BeFalse())
	})
})
