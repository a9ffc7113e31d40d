package driver

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
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
		d.receiveTraffic(envelope)
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
