package sim

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A node that is cut off while all others are restarted in turn", func() {
	It("finds them again through its seeds", func() {
		// It hears that each of the others has left in good order, and nothing of their
		// return. They begin again and do not know of it.
		summary := Campaign{First: 800282, Last: 800282, Virtual: DefaultVirtual, Jobs: 1, FinishFirst: true}.Run()
		Expect(summary.Failures).To(BeEmpty())
	})
})

var _ = Describe("A node that left and starts again as the last of its seeds is lost", func() {
	It("is found by those that knew it", func() {
		// It asks one seed at a time, and the only one that lives loses its machine 6 ms later.
		// Nobody probes a member that has left.
		summary := Campaign{First: 7410233, Last: 7410233, Virtual: DefaultVirtual, Jobs: 1, FinishFirst: true}.Run()
		Expect(summary.Failures).To(BeEmpty())
	})
})

var _ = Describe("A replica that was moved by a leader which had to wait before it could command", func() {
	It("is back in service as soon as it has loaded", func() {
		// The wait was learnt as the time that a load takes, so that the next replica was asked
		// three seconds late whether it had loaded: the last one of its pool.
		summary := Campaign{First: 7310022, Last: 7310022, Virtual: DefaultVirtual, Jobs: 1, FinishFirst: true}.Run()
		Expect(summary.Failures).To(BeEmpty())
	})
})

var _ = Describe("Nodes with disks that all lose power at once", func() {
	DescribeTable("have what was acknowledged in force as soon as they are in touch again",
		func(seed uint64) {
			summary := Campaign{
				First: seed, Last: seed, Virtual: DefaultVirtual, Jobs: 1, FinishFirst: true, FailOpen: true,
			}.Run()
			Expect(summary.Failures).To(BeEmpty())
		},
		// Two disks are lost with the power. The first voter in the agreed order that is left
		// lacks the last entry, and asked for promises in vain until the turn of the fifth.
		Entry("also if the next voter in the agreed order lacks the last entry", uint64(7200011)),
		// The nodes with disks began again with nobody but each other in their tables, and no
		// other node chose one of them for a probe for three seconds.
		Entry("also if they know nobody but each other", uint64(7200014)),
	)
})
