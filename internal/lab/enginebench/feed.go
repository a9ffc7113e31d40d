package enginebench

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
)

const (
	salt  = "salt"
	model = "model"
	// batchEvery is how often changes of holders are handed on, and reportEvery
	// how often they report load.
	batchEvery  = 100 * time.Millisecond
	reportEvery = 500 * time.Millisecond
	reportAge   = 100 * time.Millisecond
	// shareEvery is how often routers tell each other of their load.
	shareDelay = 3 * time.Millisecond
)

// feedLog numbers the changes of a holder.
type feedLog struct {
	sequence uint64
}

// sendChanges hands the changes of all holders to the routers, each batch late
// and some changes never.
func (s *simulation) sendChanges(now time.Duration) {
	for _, holder := range s.holders {
		changes := holder.memory.takeChanges()
		if len(changes) == 0 {
			continue
		}
		from := holder.feed.sequence
		var batch []kvrouter.PartChange
		for _, change := range changes {
			holder.feed.sequence++
			if s.random.Float64() < s.settings.EventLoss {
				continue
			}
			batch = append(batch, kvrouter.PartChange{
				Sequence: holder.feed.sequence, Salt: salt, Model: model, ID: change.id,
				Tokens: uint32(change.kept), Removed: change.kept == 0,
			})
		}
		position := kvrouter.Feed{Incarnation: 1, From: from, Next: holder.feed.sequence}
		late := 80*time.Millisecond + time.Duration(s.random.ExpFloat64()*float64(50*time.Millisecond))
		address := holder.address
		s.timers.Add(now+late, func(now time.Duration) {
			for _, node := range s.nodes {
				node.changes(now, address, position, batch)
			}
		})
	}
	s.timers.Add(now+batchEvery, s.sendChanges)
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
	s.timers.Add(now+reportEvery, s.sendReports)
}

// share lets the routers tell each other of their load.
func (s *simulation) share(now time.Duration) {
	for from, node := range s.nodes {
		loads := node.loads(now)
		s.timers.Add(now+shareDelay, func(now time.Duration) {
			for to, other := range s.nodes {
				if to != from {
					other.remoteLoads(now, from, loads)
				}
			}
		})
	}
	s.timers.Add(now+s.settings.ShareEvery, s.share)
}
