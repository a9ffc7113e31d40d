package fbtable_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/durable/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/fbtable"
)

func TestFbtable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fbtable")
}

var _ = Describe("The tables", func() {
	It("contain every field of entries and slots", func() {
		entries := fbtable.PackEntries[fb.EntryT]([]replication.Entry{{Index: 3, Term: 2, Kind: replication.EntryRestore, Command: []byte("c")}})
		Expect(entries).To(HaveExactElements(HaveValue(Equal(fb.EntryT{Index: 3, Term: 2, Kind: byte(replication.EntryRestore), Command: []byte("c")}))))
		slots := fbtable.PackSlots[fb.PlaceT]([]replication.Slot{{Voter: replication.Voter{ID: "n1", Incarnation: 7}, Learner: true}})
		Expect(slots).To(HaveExactElements(HaveValue(Equal(fb.PlaceT{Id: "n1", Incarnation: 7, Learner: true}))))
	})

	It("are an empty slice rather than nil when there is nothing to pack", func() {
		Expect(fbtable.PackEntries[fb.EntryT](nil)).To(And(BeEmpty(), Not(BeNil())))
		Expect(fbtable.PackSlots[fb.PlaceT](nil)).To(And(BeEmpty(), Not(BeNil())))
	})
})
