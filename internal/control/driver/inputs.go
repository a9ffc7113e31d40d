package driver

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// post hands an input to the control goroutine and drops it once the driver has
// stopped.
func (d *Driver) post(input func(now time.Duration) control.Output) {
	select {
	case d.inputs <- input:
	case <-d.done:
	}
}

// ReceiveFrame takes a frame of another node.
func (d *Driver) ReceiveFrame(frame []byte) {
	envelope, err := wire.Decode(frame)
	if err != nil {
		d.options.Log.WithError(err).Warn("dropped a frame that is not of this protocol")
		return
	}
	if envelope.Deployment != d.options.Deployment {
		d.options.Log.WithField("deployment", envelope.Deployment).Warn("dropped a frame of another deployment; check seeds and addresses")
		return
	}
	if envelope.Traffic != nil {
		// Updates about traffic do not go through the control goroutine, as they change
		// no control state.
		if d.options.Traffic != nil {
			d.options.Traffic.TakeBatch(*envelope.Traffic)
		}
		return
	}
	d.post(func(now time.Duration) control.Output { return d.machine.Receive(now, envelope) })
}

// EndpointsRead takes the outcome of a reading of the platform's list.
func (d *Driver) EndpointsRead(reading control.EndpointReading) {
	d.post(func(now time.Duration) control.Output { return d.machine.EndpointsRead(now, reading) })
}

// CommandDone takes the outcome of a command.
func (d *Driver) CommandDone(command control.Command, outcome control.CommandOutcome) {
	d.post(func(now time.Duration) control.Output { return d.machine.CommandDone(now, command, outcome) })
}

// SetReplicaReport takes what a replica reported of itself.
func (d *Driver) SetReplicaReport(report control.ReplicaReport) {
	d.post(func(now time.Duration) control.Output { return d.machine.SetReplicaReport(now, report) })
}

// ReplicaReportFailed reports that a replica gave no report.
func (d *Driver) ReplicaReportFailed(address string) {
	d.post(func(now time.Duration) control.Output { return d.machine.ReplicaReportFailed(now, address) })
}

// SetSeeds replaces the addresses to join through.
func (d *Driver) SetSeeds(seeds []string) {
	d.post(func(now time.Duration) control.Output { return d.machine.SetSeeds(now, seeds) })
}

// TransferLeadership hands the shards that the node leads to other members, while the
// node goes on running.
func (d *Driver) TransferLeadership() {
	d.call(func(now time.Duration) control.Output { return d.machine.TransferLeadership(now) })
}

// CoreNodeAddresses lists the internal addresses of the other live nodes with disks.
func (d *Driver) CoreNodeAddresses() []string {
	var addresses []string
	d.call(func(time.Duration) control.Output {
		addresses = d.machine.CoreNodeAddresses()
		return control.Output{}
	})
	return addresses
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

// Status describes this node's view of the deployment.
func (d *Driver) Status() *ridgeswitchv1.NodeStatus {
	status := &ridgeswitchv1.NodeStatus{}
	d.call(func(time.Duration) control.Output {
		status = d.machine.Status()
		return control.Output{}
	})
	return status
}

// Leave announces that the node stops and hands over what it leads.
func (d *Driver) Leave() {
	d.call(func(now time.Duration) control.Output { return d.machine.Leave(now) })
}

// call runs an input and waits until the machine has handled it. Its output is carried out
// right after that, maybe not before call returns.
func (d *Driver) call(input func(now time.Duration) control.Output) {
	finished := make(chan struct{})
	d.post(func(now time.Duration) control.Output {
		defer close(finished)
		return input(now)
	})
	select {
	case <-finished:
	case <-d.done:
	}
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
