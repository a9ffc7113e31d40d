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
	partTokens = 256
	// promptParts is the length of the prompts that are placed.
	promptParts = 32
	// eventsBetweenChecks is how many events pass between two looks at the
	// clock.
	eventsBetweenChecks = 1024
	// placements is how many requests are placed.
	placements = 2000
	// lines is how many lines of events are read.
	lines = 100_000
)

// IndexFigures say what one node's index takes, on one core.
type IndexFigures struct {
	Replicas        int     `json:"replicas"`
	KeptParts       int     `json:"kept_parts"`
	BytesPerPart    float64 `json:"heap_bytes_per_part"`
	EventsPerSecond float64 `json:"events_s_one_core"`
	// EventLineBytes is the length of the line that reports one stored part, and
	// EventLinesPerSecond how many of them one core reads.
	EventLineBytes      int     `json:"event_line_bytes"`
	EventLinesPerSecond float64 `json:"event_lines_read_s_one_core"`
	// PlacementMicroseconds is the mean time to place a request over the
	// replicas of one pool.
	PlacementMicroseconds float64 `json:"placement_us"`
	PlacementCandidates   int     `json:"placement_candidates"`
	// PlatformListBytes is the size of the platform's list, which one node for
	// all reads at ListsPerSecond.
	PlatformListBytes int     `json:"platform_list_bytes"`
	ListsPerSecond    float64 `json:"platform_lists_s"`
}

// indexFeed feeds the events of all replicas to one router, from one goroutine.
// Each replica keeps a fixed number of parts: it stores a new one and drops its
// oldest.
type indexFeed struct {
	router   *kvrouter.Router
	settings Settings
	random   *rand.Rand
	// sequences and kept are by replica; kept is a ring whose start is next.
	sequences []uint64
	kept      [][]prefixindex.ChainHash
	next      []int
	names     []string
}

func newIndexFeed(settings Settings) *indexFeed {
	feed := &indexFeed{
		router:    kvrouter.New(kvrouter.Options{}),
		settings:  settings,
		random:    rand.New(rand.NewPCG(settings.Seed, 1)),
		sequences: make([]uint64, settings.Replicas),
		kept:      make([][]prefixindex.ChainHash, settings.Replicas),
		next:      make([]int, settings.Replicas),
	}
	for number := range settings.Replicas {
		feed.names = append(feed.names, replicaAddress(number))
	}
	return feed
}

// fill has each replica report what it keeps.
func (f *indexFeed) fill() {
	for number := range f.kept {
		links := make([]prefixindex.Link, f.settings.PartsPerReplica)
		for at := range links {
			links[at] = f.newLink()
			f.kept[number] = append(f.kept[number], links[at].Hash)
		}
		f.sequences[number]++
		f.router.Stored(0, f.names[number], 1, f.sequences[number], links)
	}
}

func (f *indexFeed) newLink() prefixindex.Link {
	return prefixindex.Link{Hash: prefixindex.ChainHash(f.random.Uint64()), Tokens: partTokens}
}

// turnOver has one replica store a part and remove another: two events.
func (f *indexFeed) turnOver() {
	number := f.random.IntN(len(f.kept))
	link := f.newLink()
	at := f.next[number]
	oldest := f.kept[number][at]
	f.kept[number][at] = link.Hash
	f.next[number] = (at + 1) % len(f.kept[number])
	f.sequences[number] += 2
	f.router.Stored(0, f.names[number], 1, f.sequences[number]-1, []prefixindex.Link{link})
	f.router.Removed(0, f.names[number], 1, f.sequences[number], []prefixindex.ChainHash{oldest})
}

// run feeds for the given time and returns the events a second.
func (f *indexFeed) run(ctx context.Context, length time.Duration) float64 {
	events := 0
	started := time.Now()
	for time.Since(started) < length && ctx.Err() == nil {
		for range eventsBetweenChecks / 2 {
			f.turnOver()
		}
		events += eventsBetweenChecks
	}
	return float64(events) / time.Since(started).Seconds()
}

// place returns the mean time to place a request over one pool's replicas.
func (f *indexFeed) place() (mean time.Duration, candidates int) {
	pool := f.candidates()
	parts := make([]prefixindex.Chunk, promptParts)
	for at := range parts {
		parts[at] = prefixindex.Chunk{ID: nodeName(at), Tokens: partTokens}
	}
	request := kvrouter.Request{
		Model:        serviceName(0),
		Chunks:       parts,
		OutputTokens: partTokens,
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

func (f *indexFeed) candidates() []kvrouter.Candidate {
	var pool []kvrouter.Candidate
	for number := 0; number < f.settings.Replicas; number += f.settings.pools() {
		pool = append(pool, kvrouter.Candidate{
			Address:       f.names[number],
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
	placement, candidates := feed.place()
	listBytes := platformListBytes(settings)
	lineBytes, linesPerSecond := readLines()
	kept := feed.router.IndexStats().Reported
	// What stands in for the replicas is not the node's.
	feed.kept = nil
	after, _ := memoryInUse()
	runtime.KeepAlive(feed)
	return IndexFigures{
		Replicas:              settings.Replicas,
		KeptParts:             kept,
		BytesPerPart:          (float64(after) - float64(before)) / float64(max(kept, 1)),
		EventsPerSecond:       events,
		EventLineBytes:        lineBytes,
		EventLinesPerSecond:   linesPerSecond,
		PlacementMicroseconds: float64(placement) / float64(time.Microsecond),
		PlacementCandidates:   candidates,
		PlatformListBytes:     listBytes,
		ListsPerSecond:        1 / control.DefaultEndpointReadEvery.Seconds(),
	}
}

// readLines reads lines as a node reads the events of a replica, and returns the
// length of one and how many it reads in a second.
func readLines() (bytes int, perSecond float64) {
	line, err := json.Marshal(replica.Event{
		Kind:        replica.EventStored,
		Incarnation: uint64(time.Now().UnixMilli()),
		Sequence:    lines,
		Parts:       []replica.Part{{Hash: "8f3c5a1b7d9e2046", Parent: "2046d9e71b5a3c8f", Tokens: partTokens}},
	})
	if err != nil {
		return 0, 0
	}
	started := time.Now()
	for range lines {
		var event replica.Event
		if json.Unmarshal(line, &event) != nil {
			return len(line), 0
		}
		if _, err := event.Links(); err != nil {
			return len(line), 0
		}
	}
	return len(line) + 1, lines / time.Since(started).Seconds()
}

// platformListBytes is the size of the platform's answer.
func platformListBytes(settings Settings) int {
	list := platform.List{}
	for _, service := range platformList(settings) {
		shown := platform.Service{Name: service.Name}
		for _, listed := range service.Endpoints {
			shown.Replicas = append(shown.Replicas, platform.Replica{
				Address: listed.Address, Zone: listed.Zone, State: platform.StateRunning,
			})
		}
		list.Services = append(list.Services, shown)
	}
	body, err := json.Marshal(list)
	if err != nil {
		return 0
	}
	return len(body)
}
