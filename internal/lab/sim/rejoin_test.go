package sim

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A node that is cut off while all others are restarted in turn", func() {
	It("finds them again through its seeds", func() {
		// It hears that each of the others has left in good order, and nothing of their
		// return. They begin anew and do not know of it.
		summary := Campaign{First: 800282, Last: 800282, Virtual: DefaultVirtual, Jobs: 1, FinishFirst: true}.Run()
		Expect(summary.Failures).To(BeEmpty())
	})
})
