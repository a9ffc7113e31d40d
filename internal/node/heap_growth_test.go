package node

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("The growth of the heap among many nodes",
	func(percent, nodes, expected int) {
		Expect(growthFor(percent, nodes)).To(Equal(expected))
	},
	Entry("is the setting while none is known", 40, 0, 40),
	Entry("is the setting in a small fleet", 40, 80, 40),
	Entry("grows with the fleet", 40, 300, 150),
	Entry("is bounded", 40, 1200, 160),
	Entry("adds to any setting", 100, 120, 120),
)
