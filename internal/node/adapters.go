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

// driverSource implements routing.Source with the driver. The data plane is built before
// the driver and gets a driverSource instead; build sets its driver before the node runs.
type driverSource struct {
	driver *driver.Driver
}

// View implements routing.Source.
func (s *driverSource) View() *routing.View { return s.driver.View() }

// peers returns the live nodes that serve callers.
func (s *driverSource) peers() []member.Info { return s.driver.Peers() }

// Serving implements routing.Source.
func (s *driverSource) Serving() error { return s.driver.Serving() }

// frameReceiver passes received frames to the driver. Frames that arrive before the driver
// is set are dropped; their senders repeat those that matter.
type frameReceiver struct {
	driver atomic.Pointer[driver.Driver]
}

// receive implements transport.Handler.
func (f *frameReceiver) receive(frame []byte) {
	if driver := f.driver.Load(); driver != nil {
		driver.ReceiveFrame(frame)
	}
}

// controlService runs the control driver under the supervisor. The driver must not be
// restarted within the process, because its state in memory must match the state on disk.
// An error from Serve therefore terminates the whole supervisor tree. After a panic,
// however, the supervisor restarts the service (see the findings in docs/ROADMAP.md).
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
