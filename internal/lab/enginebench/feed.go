package enginebench

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

const (
	salt  = "salt"
	model = "model"
	// batchInterval is how often changes of holders are handed on, and reportInterval
	// how often they report load.
	batchInterval  = 100 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	reportAge      = 100 * time.Millisecond
	// shareEvery is how often routers tell each other of their load.
	loadExchangeDelay = 3 * time.Millisecond
)

// feedLog numbers the changes of a holder.
type feedLog struct {
	sequence uint64
}

// sendChanges hands the changes of all holders to the routers, each batch late
// and some changes never.
func (s *simulation) sendChanges(now time.Duration) {
	for _, owner := range s.owners {
		changes := owner.memory.takeChanges()
		if len(changes) == 0 {
			continue
		}
		from := owner.feed.sequence
		var batch []kvrouter.ChunkChange
		for _, change := range changes {
			owner.feed.sequence++
			if s.random.Float64() < s.settings.EventLoss {
				continue
			}
			batch = append(batch, kvrouter.ChunkChange{
				Sequence: owner.feed.sequence, Salt: salt, Model: model, ID: change.id,
				Tokens: uint32(change.cached), Removed: change.cached == 0,
			})
		}
		position := kvrouter.FeedPosition{Incarnation: 1, From: from, Next: owner.feed.sequence}
		late := 80*time.Millisecond + time.Duration(s.random.ExpFloat64()*float64(50*time.Millisecond))
		address := owner.address
		s.timers.Add(now+late, func(now time.Duration) {
			for _, node := range s.nodes {
				node.changes(now, address, position, batch)
			}
		})
	}
	s.timers.Add(now+batchInterval, s.sendChanges)
}

// sendReports hands the load of the replicas to the routers.
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

// exchangeLoads lets the routers tell each other of their load.
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
