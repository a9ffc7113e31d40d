package rollout

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("versions", func() {
	DescribeTable("are compared as numbers where they are", func(running, named string, reached bool) {
		Expect(VersionReached(running, named)).To(Equal(reached))
	},
		Entry("equal labels", "w1", "w1", true),
		Entry("other labels", "w2", "w1", false),
		Entry("newer", "10", "9", true),
		Entry("older", "9", "10", false),
		Entry("unknown", "", "1", false),
		Entry("none named", "7", "", true),
		Entry("unknown, none named", "", "", false),
	)
})
