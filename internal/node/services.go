package node

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// errAwaitingSnapshot is the reason why a node that has just started is not ready.
var errAwaitingSnapshot = errors.New("the node is still learning from others what back ends keep; it is ready within seconds")

// errDraining is the reason why a stopping node is not ready.
var errDraining = errors.New("the node is draining; use another one")

// driverSource gives the data plane the view of control, which is built after it.
type driverSource struct {
	driver *driver.Driver
}

// View implements routing.Source.
func (s *driverSource) View() *routing.View { return s.driver.View() }

// view is the node's view, or nil while it has none.
func (n *Node) view() *routing.View {
	if n.driver == nil {
		return nil
	}
	return n.driver.View()
}

// peers returns the live nodes that serve callers.
func (s *driverSource) peers() []member.Info { return s.driver.Peers() }

// Serving implements routing.Source.
func (s *driverSource) Serving() error { return s.driver.Serving() }

// frameReceiver passes frames to the driver. Frames that arrive before it is set are
// dropped; the senders repeat what matters.
type frameReceiver struct {
	driver atomic.Pointer[driver.Driver]
}

func (f *frameReceiver) receive(frame []byte) {
	if driver := f.driver.Load(); driver != nil {
		driver.ReceiveFrame(frame)
	}
}

// health is the health check of the node.
type health struct {
	driver *driver.Driver
	// dataplane is what serves callers, or nil.
	dataplane *dataplane.Server
	draining  atomic.Bool
}

// Ready implements operator.Health.
func (h *health) Ready() error {
	if h.draining.Load() {
		return errDraining
	}
	if err := h.driver.Ready(); err != nil {
		return err
	}
	if h.dataplane != nil && h.dataplane.AwaitingSnapshot() {
		return errAwaitingSnapshot
	}
	return nil
}

// Live implements operator.Health.
func (h *health) Live() error { return h.driver.Live() }

// controlService runs the control driver. The driver keeps its state in memory
// and on disk in step, so that it is not restarted within the process: when it
// fails the node ends and comes back from its disk.
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
