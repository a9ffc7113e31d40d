package hollow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/platform"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// indexStream separates the draws of the index from others of the same seed.
	indexStream = 1
	// chunkTokens is the length of a chunk, and of the output of a request.
	chunkTokens = 256
	// promptChunks is the length of the prompts that are placed.
	promptChunks = 32
	// eventsBetweenChecks is the number of events between two readings of the clock.
	eventsBetweenChecks = 1024
	// placements is the number of requests that are placed.
	placements = 2000
	// decodedEvents is the number of encoded events that are decoded.
	decodedEvents = 100_000
)

// IndexFigures are the memory and the processor time that one node's index takes, on
// one core.
type IndexFigures struct {
	Replicas        int     `json:"replicas"`
	CachedChunks    int     `json:"kept_parts"`
	BytesPerChunk   float64 `json:"heap_bytes_per_part"`
	EventsPerSecond float64 `json:"events_s_one_core"`
	// EncodedEventBytes is the length of the event that reports one stored chunk, with
	// the end of its line, and EventsDecodedPerSecond how many of them one core decodes.
	EncodedEventBytes      int     `json:"event_line_bytes"`
	EventsDecodedPerSecond float64 `json:"event_lines_read_s_one_core"`
	// PlacementMicroseconds is the mean time to place a request over the
	// replicas of one pool.
	PlacementMicroseconds float64 `json:"placement_us"`
	PlacementCandidates   int     `json:"placement_candidates"`
	// EndpointsBytes is the size of the platform's list, which one node for
	// all reads at EndpointReadsPerSecond.
	EndpointsBytes         int     `json:"platform_list_bytes"`
	EndpointReadsPerSecond float64 `json:"platform_lists_s"`
}

// indexFeed feeds the events of all replicas to one router, from one goroutine.
// Each replica keeps a fixed number of chunks: it stores a new one and drops its
// oldest.
type indexFeed struct {
	router   *kvrouter.Router
	settings Settings
	random   *rand.Rand
	// Of each replica, by number: the sequence number of its last event; its cached
	// chunks, as a ring whose oldest one is at next; its address.
	sequences []uint64
	cached    [][]prefixindex.ChainHash
	next      []int
	addresses []string
}

func newIndexFeed(settings Settings) *indexFeed {
	feed := &indexFeed{
		router:    kvrouter.New(kvrouter.Options{}),
		settings:  settings,
		random:    rand.New(rand.NewPCG(settings.Seed, indexStream)),
		sequences: make([]uint64, settings.Replicas),
		cached:    make([][]prefixindex.ChainHash, settings.Replicas),
		next:      make([]int, settings.Replicas),
	}
	for number := range settings.Replicas {
		feed.addresses = append(feed.addresses, replicaAddress(number))
	}
	return feed
}

// fill has each replica report what it keeps.
func (f *indexFeed) fill() {
	for number := range f.cached {
		links := make([]prefixindex.Link, f.settings.ChunksPerReplica)
		for at := range links {
			links[at] = f.newLink()
			f.cached[number] = append(f.cached[number], links[at].Hash)
		}
		f.sequences[number]++
		f.router.Stored(0, f.addresses[number], 1, f.sequences[number], links)
	}
}

func (f *indexFeed) newLink() prefixindex.Link {
	return prefixindex.Link{Hash: prefixindex.ChainHash(f.random.Uint64()), Tokens: chunkTokens}
}

// replaceChunk has one replica store a chunk and remove another: two events.
func (f *indexFeed) replaceChunk() {
	number := f.random.IntN(len(f.cached))
	link := f.newLink()
	at := f.next[number]
	oldest := f.cached[number][at]
	f.cached[number][at] = link.Hash
	f.next[number] = (at + 1) % len(f.cached[number])
	f.sequences[number] += 2
	f.router.Stored(0, f.addresses[number], 1, f.sequences[number]-1, []prefixindex.Link{link})
	f.router.Removed(0, f.addresses[number], 1, f.sequences[number], []prefixindex.ChainHash{oldest})
}

// run feeds for the given time and returns the events a second.
func (f *indexFeed) run(ctx context.Context, length time.Duration) float64 {
	events := 0
	started := time.Now()
	for time.Since(started) < length && ctx.Err() == nil {
		for range eventsBetweenChecks / 2 {
			f.replaceChunk()
		}
		events += eventsBetweenChecks
	}
	return float64(events) / time.Since(started).Seconds()
}

// measurePlacement returns the mean time to place a request over one pool's replicas.
func (f *indexFeed) measurePlacement() (mean time.Duration, candidates int) {
	pool := f.candidates()
	chunks := make([]prefixindex.Chunk, promptChunks)
	for at := range chunks {
		chunks[at] = prefixindex.Chunk{ID: nodeName(at), Tokens: chunkTokens}
	}
	request := kvrouter.Request{
		Model:        serviceName(0),
		Chunks:       chunks,
		OutputTokens: chunkTokens,
		SaltFor:      func(version string) string { return version },
	}
	started := time.Now()
	for range placements {
		if decision, err := f.router.Select(request, pool); err == nil {
			decision.Reservation.Finish(0, false)
		}
	}
	return time.Since(started) / placements, len(pool)
}

// candidates returns the replicas of the first pool.
func (f *indexFeed) candidates() []kvrouter.Candidate {
	var pool []kvrouter.Candidate
	for number := 0; number < f.settings.Replicas; number += f.settings.pools() {
		pool = append(pool, kvrouter.Candidate{
			Address:       f.addresses[number],
			Zone:          zoneName(f.settings.zoneOf(number)),
			WeightVersion: weightVersion,
		})
	}
	return pool
}

// measureIndex measures what one node's index takes of the events of all
// replicas.
func measureIndex(ctx context.Context, settings Settings) IndexFigures {
	before, _ := memoryInUse()
	feed := newIndexFeed(settings)
	feed.fill()
	events := feed.run(ctx, settings.IndexDuration)
	placement, candidates := feed.measurePlacement()
	endpointsBytes := endpointsBytes(settings)
	eventBytes, decodedPerSecond := measureEventDecoding()
	kept := feed.router.IndexStats().Reported
	// The replicas' own record of their chunks is no part of a node.
	feed.cached = nil
	after, _ := memoryInUse()
	runtime.KeepAlive(feed)
	return IndexFigures{
		Replicas:               settings.Replicas,
		CachedChunks:           kept,
		BytesPerChunk:          (float64(after) - float64(before)) / float64(max(kept, 1)),
		EventsPerSecond:        events,
		EncodedEventBytes:      eventBytes,
		EventsDecodedPerSecond: decodedPerSecond,
		PlacementMicroseconds:  float64(placement) / float64(time.Microsecond),
		PlacementCandidates:    candidates,
		EndpointsBytes:         endpointsBytes,
		EndpointReadsPerSecond: 1 / control.DefaultEndpointReadEvery.Seconds(),
	}
}

// measureEventDecoding decodes an event of a replica as a node does, and returns the
// length of its line and how many one core decodes a second.
func measureEventDecoding() (bytes int, perSecond float64) {
	encoded, err := json.Marshal(replica.Event{
		Kind:        replica.EventStored,
		Incarnation: uint64(time.Now().UnixMilli()),
		Sequence:    decodedEvents,
		Chunks:      []replica.Chunk{{Hash: "8f3c5a1b7d9e2046", Parent: "2046d9e71b5a3c8f", Tokens: chunkTokens}},
	})
	if err != nil {
		return 0, 0
	}
	started := time.Now()
	for range decodedEvents {
		var event replica.Event
		if json.Unmarshal(encoded, &event) != nil {
			return len(encoded), 0
		}
		if _, err := event.Links(); err != nil {
			return len(encoded), 0
		}
	}
	return len(encoded) + 1, decodedEvents / time.Since(started).Seconds()
}

// endpointsBytes returns the size of the platform's list, as it encodes it.
func endpointsBytes(settings Settings) int {
	encoded := platform.Endpoints{}
	for _, service := range platformEndpoints(settings) {
		shown := platform.Service{Name: service.Name}
		for _, endpoint := range service.Endpoints {
			shown.Replicas = append(shown.Replicas, platform.Replica{
				Address: endpoint.Address, Zone: endpoint.Zone, State: platform.StateRunning,
			})
		}
		encoded.Services = append(encoded.Services, shown)
	}
	body, err := json.Marshal(encoded)
	if err != nil {
		return 0
	}
	return len(body)
}
