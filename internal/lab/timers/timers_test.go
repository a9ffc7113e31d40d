package timers_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
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

	It("runs all actions up to a time, each with its own time, including those added meanwhile", func() {
		queue.Add(3, func(now time.Duration) { queue.Add(now+1, note("added")) })
		queue.Run(4)
		Expect(ran).To(Equal([]string{"first", "second", "third", "added"}))
		Expect(at).To(Equal([]time.Duration{1, 2, 2, 4}))
		queue.Run(5)
		_, found := queue.Next()
		Expect(found).To(BeFalse())
	})

	It("runs one action at a time, by time and then by the order of adding", func() {
		queue, ran, at = timers.Queue{}, nil, nil
		for _, planned := range []struct {
			at   time.Duration
			name string
		}{{2, "c"}, {1, "a"}, {2, "d"}, {1, "b"}} {
			queue.Add(planned.at, note(planned.name))
		}
		for range 4 {
			queue.RunNext()
		}
		Expect(ran).To(Equal([]string{"a", "b", "c", "d"}))
		Expect(at).To(Equal([]time.Duration{1, 1, 2, 2}))
	})
})

var _ = Describe("Ordered values", func() {
	It("come out by time, and by the order of adding when times are equal", func() {
		random := rand.New(rand.NewPCG(1, 2))
		var ordered timers.Ordered[int]
		type added struct {
			at     time.Duration
			number int
		}
		var expected, taken []added
		pop := func() {
			next, found := ordered.Next()
			Expect(found).To(BeTrue())
			at, number := ordered.Pop()
			Expect(at).To(Equal(next))
			taken = append(taken, added{at, number})
		}
		for number := range 500 {
			at := time.Duration(random.IntN(40))
			ordered.Add(at, number)
			expected = append(expected, added{at, number})
		}
		slices.SortStableFunc(expected, func(a, b added) int { return cmp.Compare(a.at, b.at) })
		for range 500 {
			pop()
		}
		Expect(taken).To(Equal(expected))
		_, found := ordered.Next()
		Expect(found).To(BeFalse())
	})

	It("come out by time when values are added between pops", func() {
		random := rand.New(rand.NewPCG(3, 4))
		var ordered timers.Ordered[int]
		now := time.Duration(0)
		ordered.Add(0, 0)
		for number := range 1000 {
			at, _ := ordered.Pop()
			Expect(at).To(BeNumerically(">=", now))
			now = at
			for range 1 + random.IntN(2) {
				ordered.Add(now+time.Duration(random.IntN(10)), number)
			}
		}
	})
})
