package emulator_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

func smallMachine() emulator.Config {
	config := emulator.LargeMemory()
	config.Warming = 0
	return config
}

func newReplica(config emulator.Config) *emulator.Replica {
	replica, err := emulator.New(config, 0)
	Expect(err).NotTo(HaveOccurred())
	return replica
}

func request(id, tenant, salt string, chunks ...prefixindex.Chunk) emulator.Request {
	return emulator.Request{
		RequestID: id, Attempt: 1, Tenant: tenant, Model: "model", CacheSalt: salt,
		Chunks: chunks, OutputTokens: 10,
	}
}

func part(id string, tokens uint32) prefixindex.Chunk {
	return prefixindex.Chunk{ID: id, Tokens: tokens}
}

// finish runs a replica until nothing changes any more.
func finish(replica *emulator.Replica) time.Duration {
	var now time.Duration
	for {
		next, more := replica.NextChange()
		if !more {
			return now
		}
		now = next
		replica.Advance(now)
	}
}

func mustSubmit(replica *emulator.Replica, now time.Duration, request emulator.Request) emulator.Handle {
	handle, err := replica.Submit(now, request)
	Expect(err).NotTo(HaveOccurred())
	return handle
}

func last(replica *emulator.Replica) *emulator.Execution {
	executions := replica.Executions()
	return executions[len(executions)-1]
}

var _ = Describe("Replica", func() {
	It("does the same for the same inputs", func() {
		run := func() string {
			random := rand.New(rand.NewPCG(5, 5))
			config := smallMachine()
			config.CapacityTokens = 20_000
			replica := newReplica(config)
			now := time.Duration(0)
			for number := range 200 {
				now += time.Duration(random.IntN(300)) * time.Millisecond
				shared := part(fmt.Sprint("dossier-", random.IntN(8)), 2000)
				handle, err := replica.Submit(now, request(fmt.Sprint("r", number), "t", "s", shared, part(fmt.Sprint("q", number), 200)))
				if err == nil && random.IntN(5) == 0 {
					replica.Cancel(now+time.Millisecond, handle)
					now += time.Millisecond
				}
			}
			end := finish(replica)
			text := fmt.Sprint(end, replica.Notices(), replica.Journal().LastSequence(), replica.Snapshot())
			for _, execution := range replica.Executions() {
				text += fmt.Sprintf("%+v\n", *execution)
			}
			return text
		}
		Expect(run()).To(Equal(run()))
	})

	It("computes a longer prompt longer, and a kept one hardly at all", func() {
		replica := newReplica(smallMachine())
		mustSubmit(replica, 0, request("short", "t", "s", part("a", 1000)))
		shortDone := finish(replica)
		short := last(replica).FirstTokenAt
		mustSubmit(replica, shortDone, request("long", "t", "s", part("b", 10_000)))
		longDone := finish(replica)
		long := last(replica).FirstTokenAt - shortDone
		Expect(long).To(BeNumerically(">", 10*short))
		mustSubmit(replica, longDone, request("again", "t", "s", part("b", 10_000)))
		finish(replica)
		Expect(last(replica).FirstTokenAt - longDone).To(BeNumerically("<", time.Millisecond))
		Expect(last(replica).ReusedTokens).To(Equal(uint64(10_000)))
	})

	It("decodes slower in a larger batch", func() {
		perToken := func(batch int) time.Duration {
			replica := newReplica(smallMachine())
			for number := range batch {
				mustSubmit(replica, 0, request(fmt.Sprint(number), "t", "s", part("a", 2000)))
			}
			finish(replica)
			return last(replica).FinishedAt - last(replica).FirstTokenAt
		}
		Expect(perToken(20)).To(BeNumerically(">", perToken(1)+20*time.Millisecond))
	})

	It("refuses more than it can queue, and records the arrival", func() {
		config := smallMachine()
		config.MaxQueued = 2
		replica := newReplica(config)
		for number := range 3 {
			mustSubmit(replica, 0, request(fmt.Sprint(number), "t", "s", part("a", 1000)))
		}
		_, err := replica.Submit(0, request("more", "t", "s", part("a", 1000)))
		Expect(err).To(MatchError(&emulator.RefusedError{Reason: emulator.RefusedBusy}))
		Expect(last(replica).Outcome).To(Equal(emulator.OutcomeRefused))
		Expect(replica.Runs("more")).To(BeZero())
		finish(replica)
		Expect(replica.Runs("more")).To(BeZero())
		Expect(replica.Runs("2")).To(Equal(1))
	})

	It("stops a cancelled attempt and tells whether it had run", func() {
		replica := newReplica(smallMachine())
		running := mustSubmit(replica, 0, request("running", "t", "s", part("a", 5000)))
		waiting := mustSubmit(replica, 0, request("waiting", "t", "s", part("b", 5000)))
		replica.Cancel(time.Millisecond, waiting)
		replica.Cancel(time.Millisecond, running)
		Expect(replica.Executions()[0].Outcome).To(Equal(emulator.OutcomeCancelled))
		Expect(replica.Executions()[1].Outcome).To(Equal(emulator.OutcomeCancelledBeforeStart))
		Expect(replica.Runs("waiting")).To(BeZero())
		_, more := replica.NextChange()
		Expect(more).To(BeFalse())
	})

	It("loses everything in a crash and comes back cold", func() {
		config := smallMachine()
		config.Warming = 5 * time.Second
		config.WarmingRequests = 1
		replica := newReplica(config)
		mustSubmit(replica, 6*time.Second, request("kept", "t", "s", part("a", 100)))
		finish(replica)
		mustSubmit(replica, 9*time.Second, request("lost", "t", "s", part("b", 9000)))
		replica.Crash(10 * time.Second)
		Expect(last(replica).Outcome).To(Equal(emulator.OutcomeCrashed))
		_, err := replica.Submit(11*time.Second, request("down", "t", "s", part("a", 100)))
		Expect(err).To(MatchError(&emulator.RefusedError{Reason: emulator.RefusedDown}))
		back := 10*time.Second + config.Restart
		mustSubmit(replica, back, request("first", "t", "s", part("a", 100)))
		Expect(last(replica).ReusedTokens).To(BeZero())
		_, err = replica.Submit(back, request("second", "t", "s", part("a", 100)))
		Expect(err).To(MatchError(&emulator.RefusedError{Reason: emulator.RefusedWarming}))
		Expect(replica.Journal().Incarnation()).To(Equal(config.Incarnation + 1))
		Expect(replica.Journal().LastSequence()).To(Equal(uint64(1)))
		Expect(replica.Report(back).Warming).To(BeTrue())
	})

	It("waits for pulled parts and keeps who made them", func() {
		source, replica := newReplica(smallMachine()), newReplica(smallMachine())
		chunks := []prefixindex.Chunk{part("a", 3000), part("b", 3000)}
		mustSubmit(source, 0, request("made", "maker", "s", chunks...))
		done := finish(source)
		pulling := request("pulled", "user", "s", chunks...)
		pulling.AwaitPull = true
		handle := mustSubmit(replica, done, pulling)
		_, more := replica.NextChange()
		Expect(more).To(BeFalse())
		replica.PullDone(done, handle, source.Export(done, replica.Missing(handle, 0, 0)))
		finish(replica)
		Expect(last(replica).ReusedTokens).To(Equal(uint64(3000)))
		Expect(last(replica).PrefilledTokens).To(Equal(uint64(3000)))
		Expect(last(replica).Reused[0].Tenant).To(Equal("maker"))
	})

	It("reports what was the report delay ago", func() {
		replica := newReplica(smallMachine())
		mustSubmit(replica, time.Second, request("r", "t", "s", part("a", 5000)))
		Expect(replica.Report(time.Second + 100*time.Millisecond).ActiveRequests).To(BeZero())
		report := replica.Report(time.Second + 200*time.Millisecond)
		Expect(report.ActiveRequests).To(Equal(uint32(1)))
		Expect(report.ActivePrefillTokens).To(Equal(uint64(5000)))
		Expect(report.AgeMS).To(Equal(uint64(200)))
	})
})

var _ = Describe("weights", func() {
	command := func(version string, epoch uint64) protocol.WeightsCommand {
		return protocol.WeightsCommand{WeightVersion: version, Epoch: epoch, Leader: "node"}
	}
	shared := part("a", 1000)

	It("takes time to load, and refuses requests meanwhile", func() {
		replica := newReplica(smallMachine())
		Expect(replica.Command(0, command("v2", 3))).To(Equal(emulator.CommandLoading))
		_, err := replica.Submit(time.Second, request("r", "t", "s", shared))
		Expect(err).To(MatchError(&emulator.RefusedError{Reason: emulator.RefusedLoading}))
		Expect(replica.WeightVersion()).To(BeEmpty())
		Expect(replica.Command(2*time.Second, command("v2", 3))).To(Equal(emulator.CommandLoaded))
		Expect(replica.WeightVersion()).To(Equal("v2"))
	})

	It("refuses an epoch below the highest seen", func() {
		replica := newReplica(smallMachine())
		Expect(replica.Command(0, command("v2", 3))).To(Equal(emulator.CommandLoading))
		_, err := replica.Command(time.Second, command("v3", 2))
		Expect(err).To(MatchError(&emulator.StaleEpochError{Epoch: 2, Highest: 3}))
		replica.Advance(3 * time.Second)
		Expect(replica.WeightVersion()).To(Equal("v2"))
	})

	It("shows a reuse across weights when the salt does not change with them", func() {
		mixed := func(saltAfter string) []emulator.ReusedChunk {
			replica := newReplica(smallMachine())
			mustSubmit(replica, 0, request("before", "t", "salt-v1", shared))
			loading := finish(replica)
			Expect(replica.Command(loading, command("v2", 1))).To(Equal(emulator.CommandLoading))
			loaded := finish(replica)
			mustSubmit(replica, loaded, request("after", "t", saltAfter, shared))
			return last(replica).MixedReuse(func(string) bool { return false })
		}
		Expect(mixed("salt-v2")).To(BeEmpty())
		Expect(mixed("salt-v1")).To(HaveLen(1))
		Expect(mixed("salt-v1")[0].WeightVersion).To(Equal("v1"))
	})

	It("shows a reuse across a wall when the salts are the same", func() {
		replica := newReplica(smallMachine())
		mustSubmit(replica, 0, request("one", "walled", "s", shared))
		done := finish(replica)
		mustSubmit(replica, done, request("two", "other", "s", shared))
		Expect(last(replica).MixedReuse(func(tenant string) bool { return tenant == "walled" })).To(HaveLen(1))
		Expect(last(replica).MixedReuse(func(string) bool { return false })).To(BeEmpty())
	})
})
