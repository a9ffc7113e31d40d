package duplicates

import (
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDuplicates(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Duplicates Suite")
}

var _ = Describe("Register", func() {
	It("bounds finished requests by number and age, and does not expire running requests", func() {
		register := New(2, time.Minute)
		keys := []Key{{"t", "a"}, {"t", "b"}, {"t", "c"}}
		for _, key := range keys {
			Expect(register.Begin(0, key, false)).To(BeTrue())
			register.Finish(0, key)
		}
		Expect(register.entries).To(HaveLen(2))
		Expect(register.Begin(0, keys[2], false)).To(BeFalse())
		Expect(register.Begin(0, keys[0], false)).To(BeTrue(), "the oldest request was dropped for a newer one")
		Expect(register.Begin(time.Minute, keys[2], false)).To(BeTrue(), "the finished request has expired")
		Expect(register.Begin(time.Minute, keys[0], false)).To(BeFalse(), "a running request does not expire")
	})

	It("accepts a known key again only if all its submissions are idempotent", func() {
		register := New(2, time.Minute)
		key := Key{"t", "a"}
		Expect(register.Begin(0, key, true)).To(BeTrue())
		Expect(register.Begin(0, key, true)).To(BeTrue())
		register.Forget(key)
		Expect(register.Begin(0, key, false)).To(BeFalse(), "an idempotent submission is running")
		register.Finish(0, key)
		Expect(register.Begin(0, key, false)).To(BeFalse(), "an idempotent submission has run")
		Expect(register.Begin(time.Second, key, true)).To(BeTrue())
		register.Finish(time.Second, key)
		Expect(register.Begin(time.Minute, key, false)).To(BeFalse(), "the later submission has not expired")
		Expect(register.Begin(time.Minute+time.Second, key, false)).To(BeTrue(), "both submissions have expired")
		Expect(register.Begin(time.Minute+time.Second, key, true)).To(BeFalse(), "a submission that is not idempotent is running")
		register.Forget(key)
		Expect(register.entries).To(BeEmpty())
	})

	It("grows the ring buffer on demand and keeps its entries in order of age", func() {
		const limit, submitted = 1 << 16, 3 * initialFinished
		register := New(limit, time.Minute)
		Expect(register.finished).To(HaveLen(initialFinished))
		key := func(number int) Key { return Key{Tenant: "t", ID: strconv.Itoa(number)} }
		for number := range submitted {
			at := time.Duration(number) * time.Second / 2
			Expect(register.Begin(at, key(number), false)).To(BeTrue())
			register.Finish(at, key(number))
		}
		// The first requests are older than a minute and were dropped, so the ring has wrapped
		// around.
		newest := time.Duration(submitted-1) * time.Second / 2
		for number := range submitted {
			old := newest-time.Duration(number)*time.Second/2 >= time.Minute
			Expect(register.entries[key(number).digest()].finished == 0).To(Equal(old), "request %d", number)
		}
		Expect(len(register.finished)).To(BeNumerically("<=", 4*initialFinished))
	})

	It("keeps nothing of a long identity", func() {
		var stats runtime.MemStats
		held := func() uint64 {
			runtime.GC()
			runtime.ReadMemStats(&stats)
			return stats.HeapAlloc
		}
		const requests, idBytes = 10_000, 256
		register := New(requests, time.Minute)
		before := held()
		for number := range requests {
			key := Key{Tenant: "t", ID: strconv.Itoa(number) + strings.Repeat("x", idBytes)}
			Expect(register.Begin(0, key, false)).To(BeTrue())
			register.Finish(0, key)
		}
		Expect(held() - before).To(BeNumerically("<", requests*idBytes))
		Expect(register.entries).To(HaveLen(requests))
	})

	It("tells tenants apart whose names and identities are equal when joined", func() {
		register := New(2, time.Minute)
		Expect(register.Begin(0, Key{"ab", "c"}, false)).To(BeTrue())
		Expect(register.Begin(0, Key{"a", "bc"}, false)).To(BeTrue())
	})

	It("never forgets a running request under concurrent use", func() {
		register := New(8, time.Minute)
		var wait sync.WaitGroup
		for worker := range 4 {
			wait.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wait.Done()
				for round := range 200 {
					key := Key{Tenant: strconv.Itoa(worker), ID: strconv.Itoa(round)}
					Expect(register.Begin(0, key, false)).To(BeTrue())
					Expect(register.Begin(0, key, false)).To(BeFalse())
					register.Finish(0, key)
				}
			}()
		}
		wait.Wait()
		Expect(register.entries).To(HaveLen(8))
	})
})
