package kvrouter_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
)

var _ = Describe("Router under concurrent use", func() {
	It("keeps the load consistent and selects only candidates", func() {
		f := newFleet(kvrouter.Options{}, "a", "b", "c", "d")
		var workers sync.WaitGroup
		var failures sync.Map
		for worker := range 4 {
			workers.Go(func() {
				for round := range 300 {
					now := baseTime + time.Duration(round)*time.Millisecond
					decision, err := f.router.Select(f.request(now, prompt(round%20)), f.candidates)
					if err != nil || len(decision.Address) != 1 {
						failures.Store(fmt.Sprint(worker, " ", round), decision.Address)
						continue
					}
					decision.Reservation.FirstToken(now)
					decision.Reservation.Progress(now, 5)
					decision.Reservation.Finish(now, round%3 > 0)
				}
			})
		}
		for _, candidate := range f.candidates {
			workers.Go(func() { f.reportAndForget(candidate.Address) })
		}
		workers.Wait()
		failures.Range(func(key, value any) bool {
			Fail(fmt.Sprint("selection ", key, " returned an error or the unexpected address ", value))
			return false
		})
		for _, candidate := range f.candidates {
			Expect(f.router.Load(baseTime+time.Hour, candidate.Address)).To(BeZero())
		}
	})
})

// reportAndForget records events and reports of a replica, and forgets it in between.
func (f *fleet) reportAndForget(address string) {
	for round := range uint64(200) {
		now := baseTime + time.Duration(round)*time.Millisecond
		f.router.Stored(now, address, firstIncarnation, 2*round+1, links(prompt(10)))
		f.router.Removed(now, address, firstIncarnation, 2*round+2, hashes(links(prompt(10))[5:]))
		f.isBusyWith(now, address, round, round, 1)
		switch round % 50 {
		case 20:
			f.router.Reset(now, address, firstIncarnation+round, 1, links(prompt(3)))
		case 40:
			f.router.Forget(address)
		}
		f.router.ResyncNeeded(now)
		f.router.ObserveLinkBandwidth("zone", "zone", float64(round))
	}
}

// BenchmarkSelect measures selections for prompts of 32 chunks among 18 replicas, on all cores
// at once.
func BenchmarkSelect(b *testing.B) {
	router := kvrouter.New(kvrouter.Options{})
	var candidates []kvrouter.Candidate
	for number := range 18 {
		address := fmt.Sprint("replica-", number)
		candidates = append(candidates, kvrouter.Candidate{Address: address, Zone: fmt.Sprint(number % 4), WeightVersion: version})
		router.Report(0, address, kvrouter.Report{WeightVersion: version, Incarnation: firstIncarnation})
		router.Stored(0, address, firstIncarnation, 1, links(prompt(2*number)))
	}
	chunks := prompt(32)
	settings := kvrouter.DefaultSettings()
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			decision, err := router.Select(kvrouter.Request{
				Now: baseTime, Model: model, Chunks: chunks, SaltFor: salt, Settings: settings,
			}, candidates)
			if err != nil {
				b.Fatal(err)
			}
			decision.Reservation.Finish(baseTime, false)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "selections/s")
}

// BenchmarkSelectByTime measures selections for prompts of three chunks among 140 replicas with
// an engine profile, every third of which caches the prompt.
func BenchmarkSelectByTime(b *testing.B) {
	router := kvrouter.New(kvrouter.Options{})
	var candidates []kvrouter.Candidate
	chunks := longPrompt(3)
	for number := range 140 {
		address := fmt.Sprint("replica-", number)
		candidates = append(candidates, kvrouter.Candidate{Address: address, Zone: fmt.Sprint(number % 4), WeightVersion: version})
		if number%3 == 0 {
			router.ChunksReported(0, address, feedPosition(0, 3), []cachefeed.ChunkChange{cachedChange(1, 0, 1000), cachedChange(2, 1, 1000), cachedChange(3, 2, 1000)})
		}
	}
	engine := kvrouter.EngineProfile{Slots: 64, MemoryTokens: 160_000, BytesPerToken: 20_000, LinkBitsPerSecond: 400e9}
	settings := kvrouter.DefaultEngineSettings()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		decision, err := router.Select(kvrouter.Request{
			Now: baseTime, Model: model, Chunks: chunks, Naming: kvrouter.ByID, SaltFor: salt, Settings: settings, Engine: &engine,
		}, candidates)
		if err != nil {
			b.Fatal(err)
		}
		decision.Reservation.Finish(baseTime, false)
	}
}

// BenchmarkSetRemoteLoad measures recording the loads that 64 routers have on 140 replicas.
func BenchmarkSetRemoteLoad(b *testing.B) {
	router := kvrouter.New(kvrouter.Options{})
	load := replicaload.SharedLoad{Requests: 2, DecodeTokens: 9000}
	load.PrefillTokens[1] = 4000
	b.ReportAllocs()
	for round := range b.N {
		now := baseTime + time.Duration(round)*20*time.Microsecond
		router.SetRemoteLoad(now, fmt.Sprint(round%64), fmt.Sprint("replica-", round/64%140), load)
	}
}
