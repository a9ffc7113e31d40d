package reports

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

var _ = Describe("stabilizationWait", func() {
	nodes := func(count int) []member.Info {
		peers := make([]member.Info, count)
		for number := range peers {
			peers[number].ID = member.ID(rune('a' + number))
		}
		return peers
	}
	const start = time.Hour
	at := func(milliseconds int) time.Duration { return start + time.Duration(milliseconds)*time.Millisecond }

	It("reports stable once the live nodes have stayed the same for stableFor", func() {
		var s stabilizationWait
		Expect(s.stable(at(0), nodes(1))).To(BeFalse())
		Expect(s.stable(at(1200), nodes(1))).To(BeFalse(), "a node that knows no other node keeps waiting")
		Expect(s.stable(at(1300), nodes(4))).To(BeFalse())
		Expect(s.stable(at(1900), nodes(12))).To(BeFalse())
		Expect(s.stable(at(2099), nodes(12))).To(BeFalse())
		Expect(s.stable(at(2100), nodes(12))).To(BeTrue())
	})

	It("keeps reporting stable when nodes join and leave later", func() {
		var s stabilizationWait
		s.stable(at(0), nodes(3))
		Expect(s.stable(at(1000), nodes(3))).To(BeTrue())
		Expect(s.stable(at(1001), nodes(1))).To(BeTrue())
	})

	It("reports stable after maxStabilizationWait if there is no other node, or the nodes keep changing", func() {
		var alone, changing stabilizationWait
		for step := range 50 {
			Expect(alone.stable(at(100*step), nodes(1))).To(BeFalse())
			Expect(changing.stable(at(100*step), nodes(2+step%2))).To(BeFalse())
		}
		Expect(alone.stable(at(5000), nodes(1))).To(BeTrue())
		Expect(changing.stable(at(5000), nodes(2))).To(BeTrue())
	})
})
