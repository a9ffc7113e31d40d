package driver

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// post queues an input for the control goroutine. The input is dropped if the driver has
// stopped.
func (d *Driver) post(input func(now time.Duration) control.Output) {
	select {
	case d.inputs <- input:
	case <-d.done:
	}
}

// ReceiveFrame handles a frame from another node.
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
		// Traffic updates bypass the control goroutine, since they change no control state.
		if d.options.Traffic != nil {
			d.options.Traffic.ReceiveBatch(*envelope.Traffic)
		}
		return
	}
	d.post(func(now time.Duration) control.Output { return d.machine.Receive(now, envelope) })
}

// EndpointsRead passes the outcome of a reading of the platform's list to the machine.
func (d *Driver) EndpointsRead(reading control.EndpointReading) {
	d.post(func(now time.Duration) control.Output { return d.machine.EndpointsRead(now, reading) })
}

// CommandDone passes the outcome of a command to the machine.
func (d *Driver) CommandDone(command control.Command, outcome control.CommandOutcome) {
	d.post(func(now time.Duration) control.Output { return d.machine.CommandDone(now, command, outcome) })
}

// SetReplicaReport passes the report of a replica to the machine.
func (d *Driver) SetReplicaReport(report control.ReplicaReport) {
	d.post(func(now time.Duration) control.Output { return d.machine.SetReplicaReport(now, report) })
}

// ReplicaReportFailed tells the machine that the request for a replica's report failed.
func (d *Driver) ReplicaReportFailed(address string) {
	d.post(func(now time.Duration) control.Output { return d.machine.ReplicaReportFailed(now, address) })
}

// SetSeeds replaces the addresses of the seeds, through which the node joins the deployment.
func (d *Driver) SetSeeds(seeds []string) {
	d.post(func(now time.Duration) control.Output { return d.machine.SetSeeds(now, seeds) })
}

// TransferLeadership begins to transfer the leadership of the shards that this node leads
// to other members. The node keeps running.
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

// Weights returns the state of the weights roll-out of a pool. It returns an
// *UnknownPoolError if there is no such pool, and also if the driver has stopped.
func (d *Driver) Weights(pool string) (*ridgeswitchv1.WeightsStatus, error) {
	var status *ridgeswitchv1.WeightsStatus
	d.call(func(time.Duration) control.Output {
		status = d.machine.WeightsStatus(pool)
		return control.Output{}
	})
	if status == nil {
		return nil, &UnknownPoolError{Pool: pool}
	}
	return status, nil
}

// Status returns this node's view of the deployment; it is empty if the driver has stopped.
func (d *Driver) Status() *ridgeswitchv1.NodeStatus {
	status := &ridgeswitchv1.NodeStatus{}
	d.call(func(time.Duration) control.Output {
		status = d.machine.Status()
		return control.Output{}
	})
	return status
}

// Leave announces to the other nodes that this node stops, and begins to transfer the
// leadership of its shards.
func (d *Driver) Leave() {
	d.call(func(now time.Duration) control.Output { return d.machine.Leave(now) })
}

// call posts an input and waits until the machine has handled it or the driver has stopped.
// The output of the input may be carried out after call has returned.
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

// Problem returns the error in the form that operators receive.
func (e *UnknownPoolError) Problem() *ridgeswitchv1.Problem {
	return &ridgeswitchv1.Problem{Kind: string(dynamic.KindNotFound), Message: e.Error(), Field: "pool"}
}
