package sim

import (
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// Bounds of a simulated machine.
const (
	// maxBacklog bounds the inputs that wait for a frozen node.
	maxBacklog = 4096
	// maxClockRate bounds how much faster or slower than true time the clock of
	// a node runs.
	maxClockRate = 0.005
	// maxUptime is the largest reading of a clock at the start of a run.
	maxUptime = 1000 * time.Second
	// wallEpoch is the wall time in milliseconds at the start of a run.
	wallEpoch = 1_700_000_000_000
)

// node is one machine of the deployment and the process on it. It does what the
// daemon's driver does: it gives inputs to the control machine and carries out
// the outputs.
type node struct {
	world *simulation
	index int
	info  member.Info
	seeds []string
	// removed is set once the machine was removed for good.
	removed bool
	// leaving is set once the machine is about to be removed.
	leaving bool
	// tickEvery is the period at which the control machine is told the time.
	tickEvery time.Duration
	// storage is nil on nodes without a disk.
	storage *storage
	clock   nodeClock

	up bool
	// process numbers the processes on the machine. An input that is meant for an
	// earlier process is dropped.
	process uint64
	frozen  bool
	backlog []func()

	machine    *control.Machine
	view       *routing.View
	serveUntil time.Duration
	inFlight   map[string]int
	tickets    map[uint64]*submission
	// reads are called with the replies to an operator's reads, by ticket.
	reads      map[uint64]func(control.Reply)
	nextTicket uint64
	// appended is the index of the last log entry of each shard that this process
	// has sent.
	appended map[uint32]uint64
	// views are the views of this process by revision.
	views map[uint64]*routing.View
	// staleView is the last view of the former process.
	staleView *routing.View
}

// nodeClock counts the time since the machine was switched on, and has a wall
// clock that may be wrong.
type nodeClock struct {
	base       time.Duration
	rate       float64
	wallOffset time.Duration
	// stoppedFor is how long the clock stood still.
	stoppedFor time.Duration
}

func (n *node) now() time.Duration {
	elapsed := time.Duration(float64(n.world.now) * (1 + n.clock.rate))
	return n.clock.base + elapsed - n.clock.stoppedFor
}

// InFlight implements routing.LoadReader.
func (n *node) InFlight(address string) int {
	if n.world.broken(BreakDrainIgnoresRunning) {
		return 0
	}
	return n.inFlight[address]
}

// start begins a new process from what the disk kept.
func (n *node) start() {
	if n.up || n.removed {
		return
	}
	restored, ok := n.openStorage()
	if !ok {
		return
	}
	n.process++
	n.correctSeeds()
	n.info.Incarnation = n.incarnation()
	machine, err := control.New(n.controlConfig(), restored, n, n.now())
	if err != nil {
		n.world.violate("restart", "%s cannot start from its disk: %v", n.info.ID, err)
		return
	}
	n.machine = machine
	n.up = true
	n.world.connectivity.recordDisturbance(n)
	n.inFlight = map[string]int{}
	n.tickets = map[uint64]*submission{}
	n.reads = map[uint64]func(control.Reply){}
	n.views = map[uint64]*routing.View{}
	n.appended = map[uint32]uint64{}
	n.logf("start")
	n.scheduleAll()
}

// controlConfig is the configuration that the daemon derives from its settings
// and its data folder.
func (n *node) controlConfig() control.Config {
	times := control.DefaultTimes()
	times.WeightsDeadline = n.world.weightsDeadline()
	if n.world.broken(BreakNoCommandGap) {
		times.CommandGap = 0
	}
	config := control.Config{
		Self:            n.info,
		Seeds:           n.seeds,
		Group:           n.world.group,
		ServiceShards:   n.world.serviceShards,
		GroupZones:      n.world.groupZones,
		DiskIncarnation: n.diskIncarnation(),
		Times:           times,
		MaxLogEntries:   maxLogEntries,

		ReplicasFinishFirst: n.world.settings.FinishFirst,
	}
	if n.world.settings.FailOpen {
		n.applyFailOpen(&config)
	}
	return config
}

// maxLogEntries is small, so that snapshots are made and sent often.
const maxLogEntries = 24

// openStorage reads the disk, and reports whether the node can start from it.
func (n *node) openStorage() (restored map[uint32]replication.Restored, ok bool) {
	if n.storage == nil {
		return nil, true
	}
	restored, err := n.storage.open(n.world.serviceShards)
	if errors.Is(err, twoslot.ErrDiskFull) {
		// A torn log cannot be repaired while the disk is full. Whoever runs the
		// node starts it again.
		n.world.after(saveRetryEvery, n.start)
		return nil, false
	}
	if err != nil {
		n.world.violate("restart", "%s cannot read its disk: %v", n.info.ID, err)
		return nil, false
	}
	return restored, true
}

// correctSeeds has the operator write new seeds into the settings once no machine
// listens at any of the old ones.
func (n *node) correctSeeds() {
	if n.world.settings.FailOpen {
		n.seeds = n.world.seeds
		return
	}
	for _, seed := range n.seeds {
		if n.world.nodeAt(seed) != nil {
			return
		}
	}
	n.seeds = n.world.chooseSeeds(n, n.world.random)
}

// diskIncarnation returns the incarnation of the node's disk, or 0 without one.
func (n *node) diskIncarnation() uint64 {
	switch {
	case n.storage == nil:
		return 0
	case n.world.broken(BreakEmptyDiskVotes):
		return replication.FoundingIncarnation
	}
	return n.storage.incarnation
}

// incarnation returns the wall clock's time in milliseconds, as the daemon does.
func (n *node) incarnation() member.Incarnation {
	wall := n.world.now + n.clock.wallOffset
	return member.Incarnation(wallEpoch + wall.Milliseconds())
}

// scheduleAll schedules what a process does by itself: its ticks and its traffic.
func (n *node) scheduleAll() {
	process := n.process
	n.every(process, n.tickEvery, func() { n.post(process, n.machine.Tick) })
	n.scheduleTraffic(process)
}

// every repeats an action of one process, beginning at a random instant of the
// first period.
func (n *node) every(process uint64, period time.Duration, action func()) {
	var repeat func()
	repeat = func() {
		if n.process != process || !n.up {
			return
		}
		n.world.after(period, repeat)
		if !n.frozen {
			action()
		}
	}
	n.world.after(n.world.upTo(period), repeat)
}

// stop ends the process as a crash does.
func (n *node) stop() {
	if !n.up {
		return
	}
	n.logf("stop")
	n.world.connectivity.recordDisturbance(n)
	n.saveAddresses()
	n.up = false
	n.frozen = false
	n.process++
	n.backlog = nil
	n.staleView = n.view
	n.view = nil
	n.serveUntil = 0
	if n.storage != nil {
		n.storage.crash(n.world)
	}
	for _, open := range n.tickets {
		open.abandoned = true
	}
	n.tickets = nil
}

// freeze suspends the process for a time without ending it.
func (n *node) freeze(length time.Duration) {
	if !n.up || n.frozen {
		return
	}
	n.logf("frozen")
	n.world.connectivity.recordDisturbance(n)
	n.frozen = true
	process := n.process
	n.world.after(length, func() {
		if n.process == process {
			n.wake(length)
		}
	})
}

// wake resumes the process. Traffic may run before control does, as after a real
// suspension.
func (n *node) wake(length time.Duration) {
	n.frozen = false
	n.logf("wakes")
	n.world.connectivity.recordDisturbance(n)
	if n.world.broken(BreakLeaseIgnoresSuspend) {
		n.clock.stoppedFor += length
	}
	for range admissionsOnWake {
		n.admit()
	}
	backlog := n.backlog
	n.backlog = nil
	for _, action := range backlog {
		action()
	}
}

// receive takes a frame for one process.
func (n *node) receive(process uint64, frame []byte) {
	envelope, err := wire.Decode(frame)
	if err != nil {
		n.world.violate("frame", "%s got a frame that it cannot decode: %v", n.info.ID, err)
		return
	}
	n.post(process, func(now time.Duration) control.Output {
		n.applyBreak(&envelope)
		return n.machine.Receive(now, envelope)
	})
}

// post gives an input to the control machine, or keeps it while the node is
// frozen.
func (n *node) post(process uint64, input func(now time.Duration) control.Output) {
	if n.process != process || !n.up {
		return
	}
	n.whenAwake(func() { n.perform(input(n.now())) })
}

// whenAwake runs an action of the present process now, or once the node wakes.
func (n *node) whenAwake(action func()) {
	switch {
	case !n.frozen:
		action()
	case len(n.backlog) < maxBacklog:
		n.backlog = append(n.backlog, action)
	}
}

// perform carries out an output in the same order as the daemon's driver.
func (n *node) perform(output control.Output) {
	if output.View != nil {
		n.publish(output.View)
	}
	n.setServeUntil(n.machine.ServeUntil())
	for _, save := range output.Writes {
		n.save(save)
	}
	for _, send := range output.Sends {
		n.world.network.send(n, send)
	}
	for _, reply := range output.Replies {
		n.deliverReply(reply)
	}
	for _, command := range output.Commands {
		n.command(command)
	}
	for _, request := range output.Reports {
		n.requestReport(request)
	}
	if output.ReadEndpoints {
		n.readEndpoints()
	}
}

// publish puts a view in force for traffic.
func (n *node) publish(view *routing.View) {
	if n.view == nil || n.view.Revision != view.Revision {
		n.logf("r%d", view.Revision)
	}
	n.view = view
	n.views[view.Revision] = view
	n.world.checks.viewPublished(n, view)
}

func (n *node) setServeUntil(until time.Duration) {
	now := n.now()
	if serving := until > now; serving != (n.serveUntil > now) {
		if serving {
			n.logf("serving")
			n.staleView = nil
		} else {
			n.logf("fenced")
		}
	}
	n.serveUntil = until
}

// serving reports whether the node admits traffic now.
func (n *node) serving() bool {
	return n.up && !n.frozen && n.view != nil && n.now() < n.serveUntil
}
