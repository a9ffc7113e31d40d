package node

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// driverSource implements routing.Source by the driver, which is built after the data
// plane. The driver is set before the node runs.
type driverSource struct {
	driver *driver.Driver
}

// View implements routing.Source.
func (s *driverSource) View() *routing.View { return s.driver.View() }

// peers returns the live nodes that serve callers.
func (s *driverSource) peers() []member.Info { return s.driver.Peers() }

// Serving implements routing.Source.
func (s *driverSource) Serving() error { return s.driver.Serving() }

// frameReceiver passes frames to the driver. Frames that arrive before it is set are
// dropped; the senders repeat what matters.
type frameReceiver struct {
	driver atomic.Pointer[driver.Driver]
}

// receive implements transport.Handler.
func (f *frameReceiver) receive(frame []byte) {
	if driver := f.driver.Load(); driver != nil {
		driver.ReceiveFrame(frame)
	}
}

// controlService runs the control driver under the supervisor. It must not be restarted
// within the process, since the state in memory and on disk must stay in step. An error
// that Serve returns ends the supervised loops; a panic, however, the supervisor answers
// with a restart (see the findings in docs/ROADMAP.md).
type controlService struct {
	driver *driver.Driver
}

// Serve implements suture.Service.
func (s *controlService) Serve(ctx context.Context) error {
	err := s.driver.Serve(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(suture.ErrTerminateSupervisorTree, err.Error())
}
