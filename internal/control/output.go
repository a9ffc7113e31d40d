package control

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/requests"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Send is a message for another node. Address is used when To is empty, as with
// seeds whose ID is not known.
type Send struct {
	To       member.ID
	Address  string
	Envelope wire.Envelope
}

// StorageWrite is what a shard has to write. The driver calls StorageWritten when it is
// durable.
type StorageWrite = shards.Write

// Reply answers an order, or a read, that this node took.
type Reply = requests.Reply

// Output is what a node has to do after an input.
type Output struct {
	Sends    []Send
	Writes   []StorageWrite
	Replies  []Reply
	Commands []Command
	// Reports are the replicas that are to be asked for their reports. Each is
	// answered by SetReplicaReport or ReplicaReportFailed.
	Reports []ReportRequest
	// ReadEndpoints asks for the platform's list, which is answered by EndpointsRead.
	ReadEndpoints bool
	// View is set when traffic is to use a new view.
	View *routing.View
}
