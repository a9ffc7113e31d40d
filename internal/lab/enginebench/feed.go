package enginebench

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
)

const (
	salt  = "salt"
	model = "model"
	// batchInterval is the time between two batches of an owner's changes, and
	// reportInterval that between two load reports, which are reportAge old on arrival.
	batchInterval  = 100 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	reportAge      = 100 * time.Millisecond
	// minBatchDelay is the shortest delay of a batch, and meanExtraDelay the mean of
	// what is added to it.
	minBatchDelay  = 80 * time.Millisecond
	meanExtraDelay = 50 * time.Millisecond
	// loadExchangeDelay is how long the load of one router takes to the others.
	loadExchangeDelay = 3 * time.Millisecond
)

// sendChanges sends the changes of all owners to the routers. Each batch is late, and
// some changes are lost.
func (s *simulation) sendChanges(now time.Duration) {
	for _, owner := range s.owners {
		changes := owner.memory.takeChanges()
		if len(changes) == 0 {
			continue
		}
		from := owner.sequence
		var batch []cachefeed.ChunkChange
		for _, change := range changes {
			owner.sequence++
			if s.random.Float64() < s.settings.EventLoss {
				continue
			}
			batch = append(batch, cachefeed.ChunkChange{
				Sequence: owner.sequence, Salt: salt, Model: model, ID: change.id,
				Tokens: uint32(change.cached), Removed: change.cached == 0,
			})
		}
		position := cachefeed.Position{Incarnation: 1, From: from, Next: owner.sequence}
		delay := minBatchDelay + time.Duration(s.random.ExpFloat64()*float64(meanExtraDelay))
		address := owner.address
		s.timers.Add(now+delay, func(now time.Duration) {
			for _, node := range s.nodes {
				node.changes(now, address, position, batch)
			}
		})
	}
	s.timers.Add(now+batchInterval, s.sendChanges)
}

// sendReports sends the load of the replicas to the routers.
func (s *simulation) sendReports(now time.Duration) {
	for _, replica := range s.replicas {
		report := kvrouter.Report{
			Waiting:     uint32(len(replica.waiting)),
			Running:     uint32(len(replica.active)),
			MemoryUsed:  uint64(replica.memory.pinned()),
			MemoryTotal: uint64(replica.memory.total),
			Age:         reportAge,
		}
		address := replica.address
		s.timers.Add(now+reportAge, func(now time.Duration) {
			for _, node := range s.nodes {
				node.report(now, address, report)
			}
		})
	}
	s.timers.Add(now+reportInterval, s.sendReports)
}

// exchangeLoads sends the load of each router to the others.
func (s *simulation) exchangeLoads(now time.Duration) {
	for from, node := range s.nodes {
		loads := node.loads(now)
		s.timers.Add(now+loadExchangeDelay, func(now time.Duration) {
			for to, other := range s.nodes {
				if to != from {
					other.remoteLoads(now, from, loads)
				}
			}
		})
	}
	s.timers.Add(now+s.settings.LoadExchangeInterval, s.exchangeLoads)
}
