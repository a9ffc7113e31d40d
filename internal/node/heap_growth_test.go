package node

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("The heap growth",
	func(percent, nodes, expected int) {
		Expect(growthFor(percent, nodes)).To(Equal(expected))
	},
	Entry("equals the setting while no live node is known", 40, 0, 40),
	Entry("equals the setting in a small fleet", 40, 80, 40),
	Entry("increases with the number of nodes", 40, 300, 150),
	Entry("adds at most maxExtraGrowth", 40, 1200, 160),
	Entry("adds to other settings too", 100, 120, 120),
)
