package hollow

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sampleEvery is the time between two samples of what the nodes serve, and so the
// error of each time of spreading.
const sampleEvery = 5 * time.Millisecond

// observed is a node as the measurement sees it.
type observed interface {
	// revision is the revision of the configuration that the node serves.
	revision() uint64
	// serving reports whether the node admits traffic.
	serving() bool
}

// spread records when nodes first serve a revision.
type spread struct {
	nodes []observed
	// revisions are the newest ones seen at each node.
	revisions []uint64
	// everywhere is when every node first served a revision or a newer one, and
	// complete the newest such revision.
	everywhere map[uint64]time.Duration
	complete   uint64
	// arrivals are when single nodes did.
	arrivals []arrival
	// notServing is the largest number of nodes seen not to admit traffic.
	notServing int
	// late is the longest delay of the sampler itself, which shows how short
	// of processor time the process is.
	late time.Duration
}

// arrival is when a node was first seen to serve a revision, and with it all others
// after the one before.
type arrival struct {
	before, revision uint64
	at               time.Duration
}

func newSpread[Node observed](nodes []Node) *spread {
	watched := &spread{revisions: make([]uint64, len(nodes)), everywhere: map[uint64]time.Duration{}}
	watched.complete = ^uint64(0)
	for number, node := range nodes {
		watched.nodes = append(watched.nodes, node)
		watched.revisions[number] = node.revision()
		watched.complete = min(watched.complete, watched.revisions[number])
	}
	return watched
}

// run samples until the context ends.
func (s *spread) run(ctx context.Context, clock func() time.Duration) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	previous := clock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := clock()
		s.late = max(s.late, now-previous-sampleEvery)
		previous = now
		s.sample(now)
	}
}

// sample records what each node serves now.
func (s *spread) sample(now time.Duration) {
	oldest := ^uint64(0)
	refusing := 0
	for number, node := range s.nodes {
		if !node.serving() {
			refusing++
		}
		revision := node.revision()
		if revision > s.revisions[number] {
			s.arrivals = append(s.arrivals, arrival{before: s.revisions[number], revision: revision, at: now})
			s.revisions[number] = revision
		}
		oldest = min(oldest, revision)
	}
	s.notServing = max(s.notServing, refusing)
	for s.complete < oldest {
		s.complete++
		s.everywhere[s.complete] = now
	}
}

// Distribution is a distribution of times in milliseconds.
type Distribution struct {
	Count  int64   `json:"count"`
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
}

// histogram gathers times from a microsecond to a minute; others count as the nearest
// of the two.
type histogram struct {
	recorded *hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{recorded: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (h histogram) add(value time.Duration) {
	bounded := min(max(value, time.Microsecond), time.Minute)
	// A value within the bounds cannot fail.
	_ = h.recorded.RecordValue(bounded.Microseconds())
}

func (h histogram) distribution() Distribution {
	milliseconds := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	return Distribution{
		Count:  h.recorded.TotalCount(),
		Median: milliseconds(h.recorded.ValueAtQuantile(50)),
		P99:    milliseconds(h.recorded.ValueAtQuantile(99)),
		Max:    milliseconds(h.recorded.Max()),
	}
}

// Spreading says how fast changes of the configuration came into force.
type Spreading struct {
	Submitted int `json:"submitted"`
	// Confirmed changes were acknowledged as in force on every node.
	Confirmed int `json:"confirmed"`
	// Pending changes were answered before every node had confirmed them.
	Pending  int      `json:"pending"`
	Failed   int      `json:"failed"`
	Problems []string `json:"problems,omitempty"`
	// NotEverywhere counts accepted changes that some node lacked at the end.
	NotEverywhere int `json:"not_everywhere"`
	// The times, in milliseconds, from the submission of a change until its
	// acknowledgement, until a node serves it, and until every node does.
	ToAcknowledged Distribution `json:"submit_to_acknowledged_ms"`
	ToEachNode     Distribution `json:"submit_to_held_by_a_node_ms"`
	ToEveryNode    Distribution `json:"submit_to_held_by_every_node_ms"`
	// LateAfterAcknowledged is the time from the acknowledgement until every
	// node was seen to serve the change; 0 when it did before.
	LateAfterAcknowledged Distribution `json:"acknowledged_to_held_by_every_node_ms"`
}

// judge returns how fast changes spread, from what was seen of their revisions.
func (s *spread) judge(made []change) Spreading {
	result := Spreading{Submitted: len(made)}
	acknowledged, everywhere, late := newHistogram(), newHistogram(), newHistogram()
	submitted := map[uint64]time.Duration{}
	for _, change := range made {
		if change.revision == 0 || change.problem != "" {
			result.Failed++
			result.Problems = append(result.Problems, change.problem)
			continue
		}
		submitted[change.revision] = change.submittedAt
		if !change.confirmed {
			result.Pending++
		} else {
			result.Confirmed++
			acknowledged.add(change.repliedAt - change.submittedAt)
		}
		at, reached := s.everywhere[change.revision]
		if !reached {
			result.NotEverywhere++
			continue
		}
		everywhere.add(at - change.submittedAt)
		if change.confirmed {
			late.add(at - change.repliedAt)
		}
	}
	result.ToAcknowledged = acknowledged.distribution()
	result.ToEachNode = s.eachNode(submitted)
	result.ToEveryNode = everywhere.distribution()
	result.LateAfterAcknowledged = late.distribution()
	return result
}

// eachNode returns the distribution, over changes and nodes, of the time from the
// submission until the node served the change.
func (s *spread) eachNode(submitted map[uint64]time.Duration) Distribution {
	times := newHistogram()
	for _, seen := range s.arrivals {
		for revision := seen.before + 1; revision <= seen.revision; revision++ {
			if at, known := submitted[revision]; known {
				times.add(seen.at - at)
			}
		}
	}
	return times.distribution()
}
