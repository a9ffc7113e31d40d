package bench

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/workload"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// defaultRetryAfter is when to try again if the router does not say.
const defaultRetryAfter = time.Second

// storeAddress is the address of the store.
const storeAddress = "store"

// prefixAware is the policy of the nodes' router.
type prefixAware struct {
	router     *kvrouter.Router
	salts      salts
	candidates []kvrouter.Candidate
	// addresses are those of the replicas by their numbers, and of the store after them;
	// numbers is the inverse.
	addresses []string
	numbers   map[string]int
	routing   kvrouter.Settings
	// store and storeZone are empty in a fleet without a store.
	store     string
	storeZone string
	// random draws when the temperature is above 0.
	random *rand.Rand
}

// temperatureStream separates the draws of a choice by temperature
// from others of the same seed.
const temperatureStream = 0x7e39

func newPrefixAware(settings Settings, salts salts) *prefixAware {
	p := &prefixAware{
		router:  kvrouter.New(settings.Router),
		routing: settings.Routing,
		salts:   salts,
		numbers: map[string]int{},
		random:  rand.New(rand.NewPCG(settings.Seed, temperatureStream)),
	}
	for number := range settings.Replicas {
		address := settings.address(number)
		p.addOwner(address)
		p.candidates = append(p.candidates, kvrouter.Candidate{
			Address:       address,
			Zone:          settings.zone(number),
			WeightVersion: weightVersion,
		})
	}
	if settings.StoreTokens > 0 {
		p.store, p.storeZone = storeAddress, settings.storeZone()
		p.addOwner(storeAddress)
	}
	return p
}

func (p *prefixAware) addOwner(address string) {
	p.numbers[address] = len(p.addresses)
	p.addresses = append(p.addresses, address)
}

func (p *prefixAware) route(now time.Duration, request *workload.Request) (placement, time.Duration) {
	decision, err := p.router.Select(kvrouter.Request{
		Now:          now,
		Model:        model,
		Chunks:       request.Chunks,
		OutputTokens: request.OutputTokens,
		SaltFor:      func(version string) string { return p.salts.of(request.Tenant, version) },
		Settings:     p.routing,
		Store:        p.store,
		StoreZone:    p.storeZone,
		Random:       p.random,
	}, p.candidates)
	if err != nil {
		return placement{}, retryAfter(err)
	}
	placed := placement{
		replica:     p.numbers[decision.Address],
		salt:        decision.CacheSalt,
		reservation: decision.Reservation,
		pull:        decision.Pull,
	}
	if decision.Pull != nil {
		placed.source = p.numbers[decision.Pull.Source]
	}
	return placed, 0
}

func retryAfter(err error) time.Duration {
	var none *kvrouter.NoReplicaError
	if errors.As(err, &none) && none.RetryAfter > 0 {
		return none.RetryAfter
	}
	return defaultRetryAfter
}

func (p *prefixAware) firstToken(now time.Duration, placed *placement) {
	placed.reservation.FirstToken(now)
}

func (p *prefixAware) finished(now time.Duration, placed *placement, completed bool) {
	placed.reservation.Finish(now, completed)
}

func (p *prefixAware) event(now time.Duration, number int, event replica.Event) bool {
	address := p.addresses[number]
	switch event.Kind {
	case replica.EventStored:
		return p.router.Stored(now, address, event.Incarnation, event.Sequence, links(event.Chunks)) == cachefeed.Gap
	case replica.EventRemoved:
		return p.router.Removed(now, address, event.Incarnation, event.Sequence, hashes(event.Chunks)) == cachefeed.Gap
	default:
		return p.router.Reset(now, address, event.Incarnation, event.Sequence, links(event.Chunks)) == cachefeed.Gap
	}
}

func (p *prefixAware) report(now time.Duration, number int, report replica.Report) {
	p.router.Report(now, p.addresses[number], kvrouter.Report{
		ActivePrefillTokens: report.ActivePrefillTokens,
		ActiveDecodeTokens:  report.ActiveDecodeTokens,
		ActiveRequests:      report.ActiveRequests,
		WeightVersion:       report.WeightVersion,
		Incarnation:         report.Incarnation,
		Age:                 time.Duration(report.AgeMS) * time.Millisecond,
		LastSequence:        report.LastSequence,
		Warming:             report.Warming,
	})
}

func (p *prefixAware) resyncNeeded(now time.Duration) []int {
	return lo.Map(p.router.ResyncNeeded(now), func(address string, _ int) int { return p.numbers[address] })
}

func links(chunks []replica.Chunk) []prefixindex.Link {
	return lo.Map(chunks, func(chunk replica.Chunk, _ int) prefixindex.Link {
		return prefixindex.Link{Hash: mustHash(chunk.Hash), Tokens: chunk.Tokens}
	})
}

func hashes(chunks []replica.Chunk) []prefixindex.ChainHash {
	return lo.Map(chunks, func(chunk replica.Chunk, _ int) prefixindex.ChainHash { return mustHash(chunk.Hash) })
}

// mustHash parses a hash that the emulator has formatted.
func mustHash(text string) prefixindex.ChainHash {
	hash, err := emulator.ParseHash(text)
	if err != nil {
		panic(err)
	}
	return hash
}
