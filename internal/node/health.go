package node

import (
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
)

// errAwaitingSnapshot is returned by Ready while a node that has just started waits for the
// snapshot of what back ends keep.
var errAwaitingSnapshot = errors.New("the node is still learning from others what back ends keep; it is ready within seconds")

// errDraining is returned by Ready while the node is stopping.
var errDraining = errors.New("the node is draining; use another one")

// health is the health check of the node. All fields except draining are set before the
// node runs.
type health struct {
	driver *driver.Driver
	// dataplane is nil on a node that serves no callers.
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
