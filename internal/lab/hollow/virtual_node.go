package hollow

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// virtualNode is a node on the virtual clock. It does what driver.Driver does,
// without goroutines.
type virtualNode struct {
	number  int
	machine *control.Machine
	storage map[uint32]driver.Storage
	fleet   *virtualFleet
	meter   meter
	view    *routing.View
	// serveUntil is until when the node admits traffic.
	serveUntil time.Duration
	// used is the processor time of the node's inputs, usedTick that of ticks alone, and
	// usedKind that of received messages by kind.
	used     time.Duration
	usedTick time.Duration
	usedKind [wire.KindCount]time.Duration
}

func newVirtualNode(number int, fleet *virtualFleet, incarnation member.Incarnation) (*virtualNode, error) {
	machine, storage, err := newMachine(fleet.topology.controlConfig(number, incarnation), 0)
	return &virtualNode{number: number, machine: machine, storage: storage, fleet: fleet}, err
}

func (n *virtualNode) revision() uint64 {
	if n.view == nil {
		return 0
	}
	return n.view.Revision
}

func (n *virtualNode) serving() bool { return n.view != nil && n.fleet.now < n.serveUntil }

func (n *virtualNode) converged() bool {
	return n.serving() && admitsAll(n.view, n.fleet.settings.Replicas)
}

// start begins the timers of the node.
func (n *virtualNode) start(now time.Duration) {
	n.every(now, control.DefaultTickEvery, n.tick)
}

// every repeats an action from an instant on.
func (n *virtualNode) every(at, period time.Duration, run func(now time.Duration)) {
	n.fleet.queue.Add(at, func(now time.Duration) {
		run(now)
		n.every(now+period, period, run)
	})
}

func (n *virtualNode) tick(now time.Duration) {
	n.usedTick += n.process(now, func() control.Output { return n.machine.Tick(now) })
}

// call gives the machine the result of a call to the platform or to a replica, once the
// call has taken its time.
func (n *virtualNode) call(now time.Duration, input func(now time.Duration) control.Output) {
	n.fleet.queue.Add(now+virtualCallTime, func(now time.Duration) {
		n.process(now, func() control.Output { return input(now) })
	})
}

// receive takes a frame of another node.
func (n *virtualNode) receive(now time.Duration, frame []byte) {
	kind := wire.MessageKindOf(frame)
	n.meter.received[kind].add(frame)
	n.usedKind[kind] += n.process(now, func() control.Output {
		envelope, err := wire.Decode(frame)
		if err != nil {
			n.fleet.badFrames++
			return control.Output{}
		}
		return n.machine.Receive(now, envelope)
	})
}

// process gives an input to the machine, performs its output, and returns the
// processor time of both.
func (n *virtualNode) process(now time.Duration, input func() control.Output) time.Duration {
	before := threadTime()
	n.perform(now, input())
	used := threadTime() - before
	n.used += used
	return used
}

// perform does what driver.Driver does with an output.
func (n *virtualNode) perform(now time.Duration, output control.Output) {
	if output.View != nil {
		n.view = output.View
	}
	n.serveUntil = n.machine.ServeUntil()
	for _, save := range output.Writes {
		n.save(now, save)
	}
	for _, send := range output.Sends {
		n.send(now, send)
	}
	for _, reply := range output.Replies {
		n.fleet.handleReply(now, reply)
	}
	n.performCalls(now, output)
}

// performCalls makes the calls to the platform and to replicas.
func (n *virtualNode) performCalls(now time.Duration, output control.Output) {
	for _, command := range output.Commands {
		n.fleet.replicas.load(command)
		n.call(now, func(now time.Duration) control.Output {
			return n.machine.CommandDone(now, command, control.CommandAccepted)
		})
	}
	for _, request := range output.ReportRequests {
		report := n.fleet.replicas.report(request.Address, now)
		n.call(now, func(now time.Duration) control.Output { return n.machine.SetReplicaReport(now, report) })
	}
	if output.ReadEndpoints {
		reading := control.EndpointReading{StartedAt: now, Services: n.fleet.topology.endpoints}
		n.call(now, func(now time.Duration) control.Output { return n.machine.EndpointsRead(now, reading) })
	}
}

// virtualCallTime is how long a call to the platform or to a replica takes.
const virtualCallTime = 2 * time.Millisecond

// save writes at once, and tells the machine so after virtualDiskTime.
func (n *virtualNode) save(now time.Duration, save control.StorageWrite) {
	if err := write(n.storage[save.Shard], save); err != nil {
		n.fleet.badWrites++
		return
	}
	n.fleet.queue.Add(now+virtualDiskTime, func(now time.Duration) {
		n.process(now, func() control.Output { return n.machine.StorageWritten(now, save.Shard) })
	})
}

// write writes to a shard's log, as the driver does.
func write(storage driver.Storage, save control.StorageWrite) error {
	if save.Checkpoint == nil {
		return storage.Save(save.Ready)
	}
	return storage.Checkpoint(save.Checkpoint.HardState, save.Checkpoint.Snapshot, save.Checkpoint.Entries)
}

// send encodes a message and gives it to the fleet; one for an unknown address is lost.
func (n *virtualNode) send(now time.Duration, send control.Send) {
	target, known := n.fleet.numbers[send.Address]
	if !known {
		return
	}
	send.Envelope.Deployment = deployment
	frame := wire.Encode(send.Envelope)
	kind := wire.MessageKindOf(frame)
	n.meter.sent[kind].add(frame)
	if n.fleet.settings.zoneOf(n.number) != n.fleet.settings.zoneOf(target) {
		n.meter.crossZone[kind].add(frame)
	}
	n.fleet.deliver(now, target, frame)
}

// threadTime returns the processor time of this thread, so that the caller must be
// locked to it.
func threadTime() time.Duration {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &reading) != nil {
		return 0
	}
	return time.Duration(reading.Nano())
}
