package timers_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/timers"
)

func TestTimers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Timers")
}

var _ = Describe("A queue of timers", func() {
	var queue timers.Queue
	var ran []string
	var at []time.Duration

	note := func(name string) func(time.Duration) {
		return func(now time.Duration) {
			ran = append(ran, name)
			at = append(at, now)
		}
	}

	BeforeEach(func() {
		queue, ran, at = timers.Queue{}, nil, nil
		queue.Add(2, note("second"))
		queue.Add(1, note("first"))
		queue.Add(2, note("third"))
		queue.Add(5, note("late"))
	})

	It("runs what is due by time, and by the order of adding when times are equal", func() {
		next, found := queue.Next()
		Expect([]any{next, found}).To(Equal([]any{time.Duration(1), true}))
		queue.RunDue(3)
		Expect(ran).To(Equal([]string{"first", "second", "third"}))
		Expect(at).To(Equal([]time.Duration{3, 3, 3}))
	})

	It("runs everything up to a time at its own, also what is added meanwhile", func() {
		queue.Add(3, func(now time.Duration) { queue.Add(now+1, note("added")) })
		queue.Run(4)
		Expect(ran).To(Equal([]string{"first", "second", "third", "added"}))
		Expect(at).To(Equal([]time.Duration{1, 2, 2, 4}))
		queue.Run(5)
		_, found := queue.Next()
		Expect(found).To(BeFalse())
	})
})
