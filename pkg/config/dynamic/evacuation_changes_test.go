package dynamic_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// conditionalEvacuation returns the command that begins or ends the evacuation of a zone if
// that evacuation has not changed since a revision.
func conditionalEvacuation(id, zone string, evacuated bool, unchangedSince uint64) *controlpb.Command {
	order, err := dynamic.ConditionalEvacuationOrder(id, zone, evacuated, unchangedSince)
	Expect(err).NotTo(HaveOccurred())
	return &controlpb.Command{Command: &controlpb.Command_Order{Order: order}}
}

var _ = Describe("A conditional evacuation", func() {
	var machine *dynamic.Machine

	BeforeEach(func() {
		machine = dynamic.NewMachine(nil)
		Expect(outcome(machine.Apply(documentCommand(documentConfiguration(), source(3, 0, "first"))))).To(Equal("1"))
	})

	evacuated := func() []string {
		var zones []string
		for _, evacuation := range machine.Configuration().GetEvacuations() {
			zones = append(zones, evacuation.GetZone())
		}
		return zones
	}

	// Guards against a late copy of an order that undoes an order which was accepted after
	// the original (review/3).
	It("is refused if the evacuation of the zone has changed, under any identity and after a restart", func() {
		Expect(outcome(machine.Apply(conditionalEvacuation("1", "a", true, 1)))).To(Equal("2"))
		Expect(outcome(machine.Apply(conditionalEvacuation("2", "a", false, 2)))).To(Equal("3"))
		Expect(outcome(machine.Apply(conditionalEvacuation("3", "a", true, 3)))).To(Equal("4"))
		for range 2 {
			Expect(outcome(machine.Apply(conditionalEvacuation("late-end", "a", false, 2)))).To(Equal("evacuation_changed 4"))
			Expect(outcome(machine.Apply(conditionalEvacuation("late-begin", "a", true, 1)))).To(Equal("evacuation_changed 4"))
			Expect(evacuated()).To(Equal([]string{"a"}))
			snapshot, err := machine.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			machine, err = dynamic.RestoreMachine(snapshot)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(outcome(machine.Apply(conditionalEvacuation("4", "a", false, 4)))).To(Equal("5"))
		Expect(evacuated()).To(BeEmpty())
	})

	It("is refused after any kind of order that begins or ends the evacuation of the zone", func() {
		whole := documentConfiguration()
		Expect(outcome(machine.Apply(evacuationCommand("by-order", true)))).To(Equal("2"))
		Expect(outcome(machine.Apply(conditionalEvacuation("1", "a", false, 1)))).To(Equal("evacuation_changed 2"))
		Expect(outcome(machine.Apply(applyCommand("whole", 2, whole)))).To(Equal("3"))
		Expect(evacuated()).To(BeEmpty())
		Expect(outcome(machine.Apply(conditionalEvacuation("2", "a", true, 2)))).To(Equal("evacuation_changed 3"))
	})

	It("is accepted after other changes, and changes nothing if it is already in force", func() {
		Expect(outcome(machine.Apply(conditionalEvacuation("b", "b", true, 1)))).To(Equal("2"))
		Expect(outcome(machine.Apply(documentCommand(documentConfiguration(), source(9, 3, "second"))))).To(Equal("3"))
		Expect(outcome(machine.Apply(conditionalEvacuation("a", "a", true, 1)))).To(Equal("4"))
		Expect(outcome(machine.Apply(conditionalEvacuation("again", "a", true, 4)))).To(Equal("4"))
		Expect(outcome(machine.Apply(conditionalEvacuation("after-it", "a", false, 4)))).To(Equal("5"))
	})

	It("is refused on a revision that was never in force", func() {
		Expect(outcome(machine.Apply(conditionalEvacuation("1", "a", true, 2)))).To(Equal("evacuation_changed 1"))
	})

	It("is refused for a zone that is no longer stored, if its evacuation may have changed", func() {
		for number := range dynamic.MaxEvacuationChanges + 1 {
			zone, revision := fmt.Sprint("zone-", number), machine.Revision()
			machine.Apply(conditionalEvacuation("begin-"+zone, zone, true, revision))
			machine.Apply(conditionalEvacuation("end-"+zone, zone, false, revision+1))
		}
		Expect(machine.State().GetEvacuationChanges()).To(HaveLen(dynamic.MaxEvacuationChanges))
		oldest := machine.State().GetEvacuationChanges()[0].GetRevision()
		Expect(outcome(machine.Apply(conditionalEvacuation("late", "zone-0", true, oldest-1)))).To(HavePrefix("evacuation_changed"))
		Expect(outcome(machine.Apply(conditionalEvacuation("now", "zone-0", true, oldest)))).NotTo(ContainSubstring("changed"))
	})
})
