package hollow

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startOf measures a start of so many nodes in six zones.
func startOf(nodes int) *StartFigures {
	settings := small()
	settings.Nodes, settings.Core, settings.Zones = nodes, 9, 6
	figures, err := MeasureStart(context.Background(), settings)
	Expect(err).NotTo(HaveOccurred())
	return figures
}

var _ = Describe("A start of all nodes at once", func() {
	It("comes to one table soon, and costs each node little more than a few tables", func() {
		// A row of a table takes about 100 bytes with its monitors. A node gets each row
		// when it joins and again with its monitors; all else must not be larger.
		const rowBytes, tables = 100, 5
		for _, nodes := range []int{30, 100, 200} {
			figures := startOf(nodes)
			Expect(figures.Agreed).To(BeTrue())
			Expect(figures.FramesRefused).To(BeZero())
			Expect(figures.AgreedSeconds).To(BeNumerically("<", 3.0))
			perNode := figures.Megabytes * bytesPerMegabyte / float64(nodes)
			const otherBytes = 30_000
			Expect(perNode).To(BeNumerically("<", float64(tables*rowBytes*nodes+otherBytes)), "%d nodes", nodes)
		}
	})

	It("is no agreement when nobody runs", func() {
		settings := small()
		settings.Virtual, settings.SimultaneousStart = true, true
		fleet, err := newVirtualFleet(settings)
		Expect(err).NotTo(HaveOccurred())
		figures := &StartFigures{}
		figures.awaitAgreement(context.Background(), fleet)
		Expect(figures.Agreed).To(BeFalse())
	})
})
