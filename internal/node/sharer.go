package node

import (
	"context"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/shared"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// shareEvery is how often a node tells the others of its traffic, if there is
// anything to tell.
const shareEvery = 50 * time.Millisecond

// sharer tells the other nodes of this node's traffic, and passes on what they
// tell.
type sharer struct {
	// dataplane is nil on a node that serves no callers, which passes news on.
	dataplane *dataplane.Server
	driver    *control.Driver

	mutex    sync.Mutex
	exchange *shared.Exchange
}

// newSharer returns the sharer of a node. The driver is set before it serves.
func newSharer(id member.ID, zone string, server *dataplane.Server) *sharer {
	return &sharer{dataplane: server, exchange: shared.NewExchange(id, zone)}
}

// Serve implements suture.Service.
func (s *sharer) Serve(ctx context.Context) error {
	ticker := time.NewTicker(shareEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.share()
		}
	}
}

// share sends what is due.
func (s *sharer) share() {
	live := s.driver.LiveNodes()
	var news shared.Update
	var direct []shared.Outbound
	if s.dataplane != nil {
		news = s.dataplane.PendingUpdate()
		direct = s.dataplane.SnapshotMessages(live)
	}
	for _, send := range append(direct, s.flush(news, live)...) {
		s.driver.SendTraffic(send)
	}
}

// flush adds this node's own news to what it passes on, and takes what is due.
func (s *sharer) flush(own shared.Update, live []member.Info) []shared.Outbound {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !own.Empty() {
		s.exchange.Add(own)
	}
	return s.exchange.Flush(live)
}

// TakeBatch implements control.TrafficReceiver.
func (s *sharer) TakeBatch(batch shared.Batch) {
	if batch.Stage.Direct() {
		if s.dataplane != nil {
			s.dataplane.HandleSnapshotBatch(batch)
		}
		return
	}
	s.mutex.Lock()
	fresh := s.exchange.Receive(batch)
	s.mutex.Unlock()
	if s.dataplane == nil {
		return
	}
	for _, news := range fresh {
		s.dataplane.ApplyUpdate(news)
	}
}

// String implements fmt.Stringer for the supervisor's messages.
func (s *sharer) String() string {
	return "traffic sharing"
}
