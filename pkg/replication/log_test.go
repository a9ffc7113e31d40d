package replication

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A compacted log", func() {
	const commandBytes = 100

	// logOf returns a log of entries 1 to last, all applied.
	logOf := func(last uint64) *replicaLog {
		log := restoreLog(Restored{}, slots{{Voter: Voter{ID: "a", Incarnation: 1}}})
		for range last {
			log.appendNew(1, EntryCommand, make([]byte, commandBytes))
		}
		log.committed, log.applied = last, last
		return log
	}

	// Guards against entries that are counted and not measured (issue 37, review/1).
	ginkgo.DescribeTable("keeps what both bounds allow",
		func(maxEntries uint64, maxBytes int, wantOffset uint64) {
			log := logOf(20)
			log.compact(&Snapshot{Index: 18, Term: 1}, maxEntries, maxBytes)
			Expect(log.offset).To(Equal(wantOffset))
			Expect(log.lastIndex()).To(BeEquivalentTo(20))
			Expect(log.matches(wantOffset+1, 1)).To(BeTrue())
		},
		ginkgo.Entry("entries alone", uint64(5), 0, uint64(13)),
		ginkgo.Entry("fewer bytes than entries", uint64(5), 3*commandBytes, uint64(15)),
		ginkgo.Entry("fewer entries than bytes", uint64(2), 3*commandBytes, uint64(16)),
		ginkgo.Entry("no whole entry", uint64(5), commandBytes-1, uint64(18)),
		ginkgo.Entry("all of them", uint64(50), 50*commandBytes, uint64(0)),
	)
})
