package node

import (
	"context"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// gossipInterval is how often a node tells the others of its traffic, if there is
// anything to tell.
const gossipInterval = 50 * time.Millisecond

// gossipService tells the other nodes of this node's traffic, and passes on what they
// tell.
type gossipService struct {
	// dataplane is nil on a node that serves no callers, which passes news on.
	dataplane *dataplane.Server
	driver    *driver.Driver

	mutex    sync.Mutex
	exchange *gossip.Exchange
}

// newGossipService returns the sharer of a node. The driver is set before it serves.
func newGossipService(id member.ID, zone string, server *dataplane.Server) *gossipService {
	return &gossipService{dataplane: server, exchange: gossip.NewExchange(id, zone)}
}

// Serve implements suture.Service.
func (s *gossipService) Serve(ctx context.Context) error {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.sendDue()
		}
	}
}

// sendDue sends what is due.
func (s *gossipService) sendDue() {
	live := s.driver.LiveNodes()
	var update gossip.Update
	var direct []gossip.Outbound
	if s.dataplane != nil {
		update = s.dataplane.PendingUpdate()
		direct = s.dataplane.SnapshotMessages(live)
	}
	for _, send := range append(direct, s.flush(update, live)...) {
		s.driver.SendTraffic(send)
	}
}

// flush adds this node's own news to what it passes on, and takes what is due.
func (s *gossipService) flush(local gossip.Update, live []member.Info) []gossip.Outbound {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !local.Empty() {
		s.exchange.Add(local)
	}
	return s.exchange.Flush(live)
}

// TakeBatch implements driver.TrafficReceiver.
func (s *gossipService) TakeBatch(batch gossip.Batch) {
	if batch.Stage.Direct() {
		if s.dataplane != nil {
			s.dataplane.HandleSnapshotBatch(batch)
		}
		return
	}
	s.mutex.Lock()
	updates := s.exchange.Receive(batch)
	s.mutex.Unlock()
	if s.dataplane == nil {
		return
	}
	for _, update := range updates {
		s.dataplane.ApplyUpdate(update)
	}
}

// String implements fmt.Stringer for the supervisor's messages.
func (s *gossipService) String() string {
	return "traffic sharing"
}
