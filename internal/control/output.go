package control

import (
	"github.com/ridgeswitch/ridgeswitch/internal/control/requests"
	"github.com/ridgeswitch/ridgeswitch/internal/control/shards"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// Send is a message for another node. To is empty if the ID of the receiver is not known, as
// for seeds; Address is empty if its address is not known.
type Send struct {
	To       member.ID
	Address  string
	Envelope wire.Envelope
}

// StorageWrite is a write of a shard to the disk. The driver calls StorageWritten when it is
// durable.
type StorageWrite = shards.Write

// Reply answers an order or a read that an operator sent to this node.
type Reply = requests.Reply

// Output describes what a node has to do after an input.
type Output struct {
	Sends    []Send
	Writes   []StorageWrite
	Replies  []Reply
	Commands []Command
	// Reports lists the replicas to ask for their reports. The driver answers each request
	// by SetReplicaReport or ReplicaReportFailed.
	Reports []ReportRequest
	// ReadEndpoints asks for a reading of the platform's endpoint list. The driver answers
	// by EndpointsRead.
	ReadEndpoints bool
	// View is the new view that traffic is to use, or nil if the view has not changed.
	View *routing.View
}
