package node

import (
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
)

// errAwaitingSnapshot is the reason why a node that has just started is not ready.
var errAwaitingSnapshot = errors.New("the node is still learning from others what back ends keep; it is ready within seconds")

// errDraining is the reason why a stopping node is not ready.
var errDraining = errors.New("the node is draining; use another one")

// health is the health check of the node. Its fields but draining are set before the
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
