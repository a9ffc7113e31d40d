package emulator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
)

// carry sends a thousand events, one each millisecond.
func carry(plan emulator.FeedPlan, seed uint64, kind protocol.EventKind) []emulator.Delivery {
	feed := emulator.NewFeed(plan, seed)
	var deliveries []emulator.Delivery
	for sequence := range uint64(1000) {
		event := protocol.Event{Kind: kind, Sequence: sequence + 1}
		deliveries = append(deliveries, feed.Carry(time.Duration(sequence)*time.Millisecond, event)...)
	}
	return deliveries
}

func reordered(deliveries []emulator.Delivery) int {
	count := 0
	for position := 1; position < len(deliveries); position++ {
		if deliveries[position].At < deliveries[position-1].At {
			count++
		}
	}
	return count
}

var _ = Describe("Feed", func() {
	bad := emulator.FeedPlan{
		Delay: 10 * time.Millisecond, Jitter: 5 * time.Millisecond, LossRatio: 0.1,
		DuplicateRatio: 0.1, ReorderRatio: 0.1, ReorderBy: 50 * time.Millisecond,
	}

	It("delivers everything at once under the zero plan", func() {
		deliveries := carry(emulator.FeedPlan{}, 1, protocol.EventStored)
		Expect(deliveries).To(HaveLen(1000))
		Expect(deliveries[999].At).To(Equal(999 * time.Millisecond))
		Expect(reordered(deliveries)).To(BeZero())
	})

	It("depends on the seed alone", func() {
		Expect(carry(bad, 4, protocol.EventStored)).To(Equal(carry(bad, 4, protocol.EventStored)))
		Expect(carry(bad, 4, protocol.EventStored)).NotTo(Equal(carry(bad, 5, protocol.EventStored)))
	})

	It("delays without reordering", func() {
		plan := emulator.FeedPlan{Delay: 10 * time.Millisecond, Jitter: 20 * time.Millisecond}
		deliveries := carry(plan, 2, protocol.EventStored)
		Expect(reordered(deliveries)).To(BeZero())
		Expect(deliveries[0].At).To(BeNumerically(">=", plan.Delay))
	})

	It("loses, doubles and reorders about as many as it should", func() {
		Expect(len(carry(emulator.FeedPlan{LossRatio: 0.1}, 3, protocol.EventStored))).To(BeNumerically("~", 900, 40))
		Expect(len(carry(emulator.FeedPlan{DuplicateRatio: 0.1}, 3, protocol.EventStored))).To(BeNumerically("~", 1100, 40))
		shuffled := carry(emulator.FeedPlan{ReorderRatio: 0.1, ReorderBy: 50 * time.Millisecond}, 3, protocol.EventStored)
		Expect(reordered(shuffled)).To(BeNumerically("~", 90, 40))
	})

	It("never loses a reset", func() {
		Expect(carry(emulator.FeedPlan{LossRatio: 1}, 1, protocol.EventReset)).To(HaveLen(1000))
	})
})

var _ = Describe("Journal", func() {
	It("gives what follows a number, or says that it is gone", func() {
		journal := emulator.NewJournal(7, 4)
		for number := range 20 {
			journal.Stored([]emulator.CachedChunk{{Hash: 1, Tokens: uint32(number + 1)}})
		}
		events, kept := journal.After(19)
		Expect(kept).To(BeTrue())
		Expect(events).To(HaveLen(2))
		Expect(events[0].Sequence).To(Equal(uint64(20)))
		_, kept = journal.After(1)
		Expect(kept).To(BeFalse())
		_, kept = journal.After(22)
		Expect(kept).To(BeFalse())
		Expect(journal.Snapshot(nil).Sequence).To(Equal(journal.LastSequence()))
	})
})
