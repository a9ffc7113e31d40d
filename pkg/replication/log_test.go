package replication

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A compacted log", func() {
	const commandBytes = 100

	// logOf returns a log with entries 1 to last, all applied.
	logOf := func(last uint64) *replicaLog {
		log := restoreLog(Restored{}, slots{{Voter: Voter{ID: "a", Incarnation: 1}}})
		for range last {
			log.appendNew(1, EntryCommand, make([]byte, commandBytes))
		}
		log.committed, log.applied = last, last
		return log
	}

	// Guards against limiting a compacted log by the number of entries only, whatever their
	// size (issue 37, review/1).
	ginkgo.DescribeTable("keeps the entries that both limits allow",
		func(maxEntries uint64, maxBytes int, wantOffset uint64) {
			log := logOf(20)
			log.compact(&Snapshot{Index: 18, Term: 1}, maxEntries, maxBytes)
			Expect(log.offset).To(Equal(wantOffset))
			Expect(log.lastIndex()).To(BeEquivalentTo(20))
			Expect(log.matches(wantOffset+1, 1)).To(BeTrue())
		},
		ginkgo.Entry("limited by entries, without a limit of bytes", uint64(5), 0, uint64(13)),
		ginkgo.Entry("limited by bytes", uint64(5), 3*commandBytes, uint64(15)),
		ginkgo.Entry("limited by entries", uint64(2), 3*commandBytes, uint64(16)),
		ginkgo.Entry("limited to less than one entry", uint64(5), commandBytes-1, uint64(18)),
		ginkgo.Entry("within both limits", uint64(50), 50*commandBytes, uint64(0)),
	)
})
