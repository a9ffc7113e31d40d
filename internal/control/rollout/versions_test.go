package rollout

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("versions", func() {
	DescribeTable("reach the named version if they are equal to it or a greater number", func(running, named string, reached bool) {
		Expect(VersionReached(running, named)).To(Equal(reached))
	},
		Entry("a label reaches the same label", "w1", "w1", true),
		Entry("a label that is not a number does not reach another label", "w2", "w1", false),
		Entry("a greater number reaches a smaller one, even one that is greater as text", "10", "9", true),
		Entry("a smaller number does not reach a greater one, even one that is smaller as text", "9", "10", false),
		Entry("an unknown version does not reach a named version", "", "1", false),
		Entry("any known version suffices if no version is named", "7", "", true),
		Entry("an unknown version does not suffice even if no version is named", "", "", false),
	)
})
