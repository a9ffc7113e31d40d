package node

import (
	"context"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
)

// shareEvery is how often a node tells the others of its traffic, if there is
// anything to tell.
const shareEvery = 100 * time.Millisecond

// shareService tells the other nodes of this node's traffic.
type shareService struct {
	dataplane *dataplane.Server
	driver    *control.Driver
}

// Serve implements suture.Service.
func (s *shareService) Serve(ctx context.Context) error {
	ticker := time.NewTicker(shareEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if message := s.dataplane.Share(); message != nil {
				s.driver.ShareTraffic(message)
			}
		}
	}
}

// String implements fmt.Stringer for the supervisor's messages.
func (s *shareService) String() string {
	return "traffic sharing"
}
