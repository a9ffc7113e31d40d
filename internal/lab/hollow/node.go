package hollow

import (
	"context"
	"fmt"
	"runtime/pprof"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication/durable"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot/memdisk"
)

// deployment names hollow deployments on the wire.
const deployment = "hollow"

// node is one hollow node.
type node struct {
	number int
	driver *driver.Driver
	meter  meter
	fleet  *fleet
}

// newMachine builds a control machine. If the node holds state, it gets a disk in
// memory with a log for each shard.
func newMachine(config control.Config, now time.Duration) (*control.Machine, map[uint32]driver.Storage, error) {
	storage := map[uint32]driver.Storage{}
	restored := map[uint32]replication.DurableState{}
	if config.Self.HoldsState {
		disk := memdisk.New()
		for shard := uint32(0); shard <= config.ServiceShards; shard++ {
			log, kept, err := durable.Open(disk, fmt.Sprintf("shard-%03d", shard))
			if err != nil {
				return nil, nil, err
			}
			storage[shard] = log
			restored[shard] = kept
		}
	}
	machine, err := control.New(config, restored, noLoad{}, now)
	return machine, storage, err
}

// newNode builds a node.
func newNode(number int, fleet *fleet, incarnation member.Incarnation) (*node, error) {
	config := fleet.topology.controlConfig(number, incarnation)
	machine, storage, err := newMachine(config, fleet.clock())
	if err != nil {
		return nil, err
	}
	built := &node{number: number, fleet: fleet}
	built.driver = driver.New(machine, driver.Options{
		Deployment: deployment,
		Clock:      fleet.clock,
		Sender:     built,
		Storage:    storage,
		Commander:  built,
		Endpoints:  built,
		Log:        fleet.log.WithFields(logrus.Fields{"node": config.Self.ID}),
	})
	return built, nil
}

// Send implements driver.Sender.
func (n *node) Send(address string, frame []byte) {
	n.meter.sent[wire.MessageKindOf(frame)].add(frame)
	n.fleet.network.send(n.number, address, frame)
}

// receive takes a frame from the network.
func (n *node) receive(frame []byte) {
	n.meter.received[wire.MessageKindOf(frame)].add(frame)
	n.driver.ReceiveFrame(frame)
}

// role is the label of the node's goroutines in a processor profile.
func (n *node) role() string {
	if n.number < n.fleet.settings.Core {
		return "core"
	}
	return "front"
}

// run starts to serve, until the context ends.
func (n *node) run(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() {
		pprof.Do(ctx, pprof.Labels("role", n.role()), func(ctx context.Context) {
			_ = n.driver.Serve(ctx)
		})
	})
}

// ReadEndpoints implements driver.EndpointReader.
func (n *node) ReadEndpoints() {
	go n.driver.EndpointsRead(control.EndpointReading{StartedAt: n.fleet.clock(), Services: n.fleet.topology.endpoints})
}

// RequestReport implements driver.Commander.
func (n *node) RequestReport(request control.ReportRequest) {
	go n.driver.SetReplicaReport(n.fleet.replicas.report(request.Address, n.fleet.clock()))
}

// Command implements driver.Commander.
func (n *node) Command(command control.Command) {
	n.fleet.replicas.load(command)
	go n.driver.CommandDone(command, control.CommandAccepted)
}

// revision is the revision of the configuration that the node serves.
func (n *node) revision() uint64 {
	view := n.driver.View()
	if view == nil {
		return 0
	}
	return view.Revision
}

// serving reports whether the node admits traffic.
func (n *node) serving() bool { return n.driver.Serving() == nil }

// converged reports whether the node serves every replica.
func (n *node) converged() bool {
	return n.serving() && admitsAll(n.driver.View(), n.fleet.settings.Replicas)
}

// admitsAll reports whether a view admits requests to so many replicas.
func admitsAll(view *routing.View, replicas int) bool {
	if view == nil || view.Revision == 0 {
		return false
	}
	admitting := 0
	for _, pool := range view.Pools {
		for _, replica := range pool.Replicas {
			if replica.Admitting {
				admitting++
			}
		}
	}
	return admitting == replicas
}
