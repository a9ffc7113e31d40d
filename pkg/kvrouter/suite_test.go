package kvrouter_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

func TestKVRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kvrouter")
}

const (
	model       = "model"
	version     = "v1"
	blockTokens = kvrouter.DefaultBlockTokens
	// baseTime is the time at which most specs begin. Replicas first seen at 0 are no longer
	// in slow start then.
	baseTime = time.Minute
	// firstIncarnation is the incarnation in the first reports of the replicas.
	firstIncarnation = 7
)

// fleet is a router and its replicas, which report chained chunks.
type fleet struct {
	router     *kvrouter.Router
	candidates []kvrouter.Candidate
	sequences  map[string]uint64
	settings   kvrouter.Settings
}

// newFleet returns a router whose replicas were first seen at time 0.
func newFleet(options kvrouter.Options, addresses ...string) *fleet {
	f := &fleet{router: kvrouter.New(options), sequences: map[string]uint64{}, settings: kvrouter.DefaultSettings()}
	for _, address := range addresses {
		f.add(address, "zone", version)
	}
	return f
}

func (f *fleet) add(address, zone, weightVersion string) {
	f.candidates = append(f.candidates, kvrouter.Candidate{Address: address, Zone: zone, WeightVersion: weightVersion})
	f.router.Report(0, address, kvrouter.Report{WeightVersion: weightVersion, Incarnation: firstIncarnation})
}

// prompt returns a prompt of chunks of one block each, whose IDs state the position.
func prompt(blocks int) []prefixindex.Chunk {
	return lo.Times(blocks, func(position int) prefixindex.Chunk {
		return prefixindex.Chunk{ID: fmt.Sprint("chunk ", position), Tokens: blockTokens}
	})
}

func salt(weightVersion string) string { return "domain/" + weightVersion }

func links(chunks []prefixindex.Chunk) []prefixindex.Link {
	return prefixindex.Chain(model, salt(version), chunks)
}

func hashes(links []prefixindex.Link) []prefixindex.ChainHash {
	return lo.Map(links, func(link prefixindex.Link, _ int) prefixindex.ChainHash { return link.Hash })
}

// caches makes a replica report that it caches chunks.
func (f *fleet) caches(address string, cached []prefixindex.Link) {
	f.sequences[address]++
	Expect(f.router.Stored(0, address, firstIncarnation, f.sequences[address], cached)).To(Equal(cachefeed.Accepted))
}

// isBusyWith makes a replica report load. Prefill and decode are in blocks.
func (f *fleet) isBusyWith(now time.Duration, address string, prefill, decode uint64, requests uint32) {
	f.router.Report(now, address, kvrouter.Report{
		ActivePrefillTokens: prefill * blockTokens,
		ActiveDecodeTokens:  decode * blockTokens,
		ActiveRequests:      requests,
		WeightVersion:       version,
		Incarnation:         firstIncarnation,
	})
}

func (f *fleet) request(now time.Duration, chunks []prefixindex.Chunk) kvrouter.Request {
	return kvrouter.Request{Now: now, Model: model, Chunks: chunks, SaltFor: salt, Settings: f.settings}
}

func (f *fleet) choose(now time.Duration, chunks []prefixindex.Chunk) kvrouter.Decision {
	decision, err := f.router.Select(f.request(now, chunks), f.candidates)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return decision
}

// overlap returns the number of tokens of the prompt that the router expects a replica to
// cache.
func (f *fleet) overlap(now time.Duration, address string, chunks []prefixindex.Chunk) uint32 {
	only := lo.Filter(f.candidates, func(candidate kvrouter.Candidate, _ int) bool { return candidate.Address == address })
	decision, err := f.router.Select(f.request(now, chunks), only)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	decision.Reservation.Finish(now, false)
	return decision.OverlapTokens
}
