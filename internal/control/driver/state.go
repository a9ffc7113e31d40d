package driver

import (
	"time"

	"github.com/pkg/errors"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// ErrNotServing is returned for traffic while the node may be partitioned, or has
// not learnt yet what is in force.
var ErrNotServing = errors.New("the node is not serving: it may be cut off or has not learnt the current configuration; use another node")

// ErrNotPrepared is returned while a node does not know the back ends yet.
var ErrNotPrepared = errors.New("the node has not learnt all back ends yet; use another node")

// stalledAfter is how long the control goroutine may be busy before the node
// counts as stuck.
const stalledAfter = 5 * time.Second

// Configuration returns the configuration in force on this node, or nil before
// the first view. It may be older than the newest one; see ReadConfiguration.
func (d *Driver) Configuration() *ridgeswitchv1.Configuration {
	view := d.view.Load()
	if view == nil {
		return nil
	}
	return view.Configuration
}

// Weights describes the roll-out of a pool. It fails with an *UnknownPoolError when there
// is no such pool, and also when the driver has stopped.
func (d *Driver) Weights(pool string) (*ridgeswitchv1.WeightsStatus, error) {
	var status *ridgeswitchv1.WeightsStatus
	d.call(func(time.Duration) control.Output {
		status = d.machine.Weights(pool)
		return control.Output{}
	})
	if status == nil {
		return nil, &UnknownPoolError{Pool: pool}
	}
	return status, nil
}

// UnknownPoolError reports that no pool has the given name.
type UnknownPoolError struct {
	Pool string
}

// Error implements error.
func (e *UnknownPoolError) Error() string {
	return "no pool is named " + e.Pool + "; list the pools with `ridgeswitch get`"
}

// Problem is the error as operators get it.
func (e *UnknownPoolError) Problem() *ridgeswitchv1.Problem {
	return &ridgeswitchv1.Problem{Kind: string(dynamic.KindNotFound), Message: e.Error(), Field: "pool"}
}

// Status describes this node's view of the deployment.
func (d *Driver) Status() *ridgeswitchv1.NodeStatus {
	status := &ridgeswitchv1.NodeStatus{}
	d.call(func(time.Duration) control.Output {
		status = d.machine.Status()
		return control.Output{}
	})
	return status
}

// View returns the newest view, or nil before the first one.
func (d *Driver) View() *routing.View { return d.view.Load() }

// Live returns an error when the control goroutine has handled no input for stalledAfter.
func (d *Driver) Live() error {
	if idle := d.options.Clock() - time.Duration(d.lastRun.Load()); idle > stalledAfter {
		return errors.Errorf("control has not run for %s; restart the node", idle)
	}
	return nil
}

// Ready returns nil while new connections may be sent to the node.
func (d *Driver) Ready() error {
	if err := d.Serving(); err != nil {
		return err
	}
	if !d.prepared.Load() {
		return ErrNotPrepared
	}
	return nil
}

// Serving returns nil while the node may admit traffic.
func (d *Driver) Serving() error {
	if d.view.Load() == nil || d.options.Clock() >= time.Duration(d.serveUntil.Load()) {
		return ErrNotServing
	}
	return nil
}
