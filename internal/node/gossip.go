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

// gossipInterval is how often a node sends an update about its traffic to the other nodes,
// if it has one.
const gossipInterval = 50 * time.Millisecond

// gossipService distributes updates about traffic: it sends the updates of this node and
// relays the updates of other nodes. The supervisor runs Serve; the control driver calls
// ReceiveBatch.
type gossipService struct {
	// dataplane is nil on a node that serves no callers, which only relays updates.
	dataplane *dataplane.Server
	driver    *driver.Driver

	// mutex guards the relayer, which Serve and ReceiveBatch use.
	mutex   sync.Mutex
	relayer *gossip.Relayer
}

// newGossipService returns the gossip service of a node. Its driver must be set before
// Serve is called.
func newGossipService(id member.ID, zone string, server *dataplane.Server) *gossipService {
	return &gossipService{dataplane: server, relayer: gossip.NewRelayer(id, zone)}
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

// sendDue sends the update of this node, the updates that it relays, and the snapshot
// messages that are due.
func (s *gossipService) sendDue() {
	live := s.driver.LiveNodes()
	var update gossip.Update
	var direct []gossip.Outbound
	if s.dataplane != nil {
		update = s.dataplane.TakeUpdate()
		direct = s.dataplane.SnapshotMessages(live)
	}
	for _, send := range append(direct, s.flush(update, live)...) {
		s.driver.SendTraffic(send)
	}
}

// flush adds the update of this node to those that it relays, and returns the messages
// that are due.
func (s *gossipService) flush(local gossip.Update, live []member.Info) []gossip.Outbound {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !local.Empty() {
		s.relayer.Add(local)
	}
	return s.relayer.Flush(live)
}

// ReceiveBatch implements driver.TrafficReceiver. A batch is either a snapshot message or a
// list of updates to apply and relay.
func (s *gossipService) ReceiveBatch(batch gossip.Batch) {
	if batch.Stage.Direct() {
		if s.dataplane != nil {
			s.dataplane.HandleSnapshotBatch(batch)
		}
		return
	}
	s.mutex.Lock()
	updates := s.relayer.Receive(batch)
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
	return "gossip"
}
