package sim

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

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
	// maxLogEntries is small, so that snapshots are made and sent often.
	maxLogEntries = 24
	// slowHeartbeat and slowTick are the periods of nodes that save work while
	// they are idle.
	slowHeartbeat = 250 * time.Millisecond
	slowTick      = 50 * time.Millisecond
)

// surroundings are the parts of a run that every node talks to.
type surroundings struct {
	env          *environment
	machines     *machines
	groups       *shardGroups
	network      *network
	platform     *platform
	backends     *backendCalls
	keys         *keyring
	operators    *operators
	connectivity *connectivity
	checks       *checks
	majorityLoss *majorityLoss
}

// node is one machine of the deployment and the process on it. It does what the
// daemon's driver does: it gives inputs to the control machine and carries out
// the outputs. What belongs to one kind of input and output has a type of its own.
type node struct {
	*surroundings
	index int
	info  member.Info
	seeds []string
	// removed is set once the machine was removed for good, and leaving once it is
	// about to be.
	removed bool
	leaving bool
	// tickEvery is the period at which the control machine is told the time.
	tickEvery time.Duration
	clock     nodeClock
	// storage is nil on nodes without a disk.
	storage *storage

	up bool
	// process numbers the processes on the machine. An input that is meant for an
	// earlier process is dropped.
	process uint64
	frozen  bool
	// backlog are the inputs that wait until the node wakes.
	backlog []func()

	machine *control.Machine
	// view is the one in force for traffic; views are all of this process by
	// revision.
	view  *routing.View
	views map[uint64]*routing.View
	// serveUntil is when the node stops to admit traffic, by its own clock.
	serveUntil time.Duration
	traffic    *traffic
	calls      *operatorCalls
	breaks     *messageBreaks
}

func newNode(around *surroundings, index int, info member.Info) *node {
	n := &node{surroundings: around, index: index, info: info, tickEvery: control.DefaultTickEvery, clock: newNodeClock(around.env)}
	n.traffic = &traffic{node: n}
	n.calls = &operatorCalls{node: n}
	n.breaks = &messageBreaks{node: n}
	if info.HoldsState {
		n.storage = newStorage(n)
	}
	if n.env.settings.FailOpen {
		n.info.ID = member.ID(info.Address)
		if n.env.settings.Seed%2 == 0 {
			n.tickEvery = slowTick
		}
	}
	return n
}

// now returns the time by the node's clock.
func (n *node) now() time.Duration { return n.clock.read() }

// logf adds an entry to the column of this node.
func (n *node) logf(format string, arguments ...any) { n.env.logf(n.index, format, arguments...) }

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
	n.info.Incarnation = n.clock.incarnation()
	machine, err := control.New(n.controlConfig(), restored, n.traffic, n.now())
	if err != nil {
		n.env.violate("restart", "%s cannot start from its disk: %v", n.info.ID, err)
		return
	}
	n.machine = machine
	n.up = true
	n.connectivity.recordDisturbance(n)
	n.traffic.reset()
	n.calls.reset()
	n.breaks.reset()
	n.views = map[uint64]*routing.View{}
	n.logf("start")
	process := n.process
	n.every(process, n.tickEvery, func() { n.post(process, n.machine.Tick) })
	n.traffic.schedule(process)
}

// controlConfig is the configuration that the daemon derives from its settings
// and its data folder.
func (n *node) controlConfig() control.Config {
	times := control.DefaultTimes()
	if n.env.settings.FailOpen {
		times = control.FailOpenTimes(failOpenContact, failOpenAcknowledge)
	}
	times.WeightsDeadline = n.env.settings.weightsDeadline()
	if n.env.broken(BreakNoWeightsDeadline) {
		times.WeightsDeadline = 0
	}
	if n.env.broken(BreakNoCommandGap) {
		times.CommandGap = 0
	}
	config := control.Config{
		Self:            n.info,
		Seeds:           n.seeds,
		Group:           n.machines.group,
		ServiceShards:   n.groups.serviceShards,
		GroupZones:      n.machines.groupZones,
		DiskIncarnation: n.diskIncarnation(),
		Times:           times,
		MaxLogEntries:   maxLogEntries,
		Limits:          n.env.diskLimits(),

		ReplicasFinishFirst: n.env.settings.FinishFirst,
	}
	if n.env.settings.FailOpen {
		n.applyFailOpen(&config)
	}
	return config
}

// applyFailOpen completes the configuration of a control machine in a fail-open
// deployment.
func (n *node) applyFailOpen(config *control.Config) {
	config.Seeded = true
	config.FailOpen = true
	config.Group = nil
	config.GroupZones = nil
	if n.tickEvery == slowTick {
		config.Times.HeartbeatEvery = slowHeartbeat
	}
	if n.storage != nil {
		config.Group = n.storage.founders
		config.Seeds = lo.Uniq(slices.Concat(n.seeds, n.storage.addresses))
	}
}

// openStorage reads the disk, and reports whether the node can start from it.
func (n *node) openStorage() (restored map[uint32]replication.DurableState, ok bool) {
	if n.storage == nil {
		return nil, true
	}
	restored, err := n.storage.open(n.groups.serviceShards)
	if errors.Is(err, twoslot.ErrDiskFull) {
		// A torn log cannot be repaired while the disk is full. Whoever runs the
		// node starts it again.
		n.env.after(saveRetryEvery, n.start)
		return nil, false
	}
	if err != nil {
		n.env.violate("restart", "%s cannot read its disk: %v", n.info.ID, err)
		return nil, false
	}
	return restored, true
}

// correctSeeds has the operator write new seeds into the settings once no machine
// listens at any of the old ones.
func (n *node) correctSeeds() {
	if n.env.settings.FailOpen {
		n.seeds = n.machines.seeds
		return
	}
	for _, seed := range n.seeds {
		if n.machines.listeningAt(seed) != nil {
			return
		}
	}
	n.seeds = n.machines.chooseSeeds(n, n.env.random)
}

// diskIncarnation returns the incarnation of the node's disk, or 0 without one.
func (n *node) diskIncarnation() uint64 {
	switch {
	case n.storage == nil:
		return 0
	case n.env.broken(BreakEmptyDiskVotes):
		return replication.FoundingIncarnation
	}
	return n.storage.incarnation
}

// every repeats an action of one process, beginning at a random instant of the
// first period.
func (n *node) every(process uint64, period time.Duration, action func()) {
	var repeat func()
	repeat = func() {
		if n.process != process || !n.up {
			return
		}
		n.env.after(period, repeat)
		if !n.frozen {
			action()
		}
	}
	n.env.after(n.env.upTo(period), repeat)
}

// stop ends the process as a crash does.
func (n *node) stop() {
	if !n.up {
		return
	}
	n.logf("stop")
	n.connectivity.recordDisturbance(n)
	n.saveAddresses()
	n.up = false
	n.frozen = false
	n.process++
	n.backlog = nil
	n.traffic.staleView = n.view
	if n.env.broken(BreakOldDiskServed) {
		n.traffic.staleView = n.traffic.previousView
	}
	n.view = nil
	n.serveUntil = 0
	if n.storage != nil {
		n.storage.crash()
	}
	n.calls.abandon()
	n.checks.processEnded(n.machines.nodes)
}

// saveAddresses keeps in the data folder where other core nodes listen.
func (n *node) saveAddresses() {
	if n.storage == nil || !n.env.settings.FailOpen {
		return
	}
	if known := n.machine.CoreNodeAddresses(); len(known) > 0 {
		n.storage.addresses = known
	}
}

// restartAfter stops the node and starts it again after a time.
func (n *node) restartAfter(down time.Duration) {
	n.stop()
	n.env.after(down, n.start)
}

// freeze suspends the process for a time without ending it.
func (n *node) freeze(length time.Duration) {
	if !n.up || n.frozen {
		return
	}
	n.logf("frozen")
	n.connectivity.recordDisturbance(n)
	n.frozen = true
	process := n.process
	n.env.after(length, func() {
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
	n.connectivity.recordDisturbance(n)
	if n.env.broken(BreakLeaseIgnoresSuspend) {
		n.clock.stoppedFor += length
	}
	for range admissionsOnWake {
		n.traffic.admit()
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
		n.env.violate("frame", "%s got a frame that it cannot decode: %v", n.info.ID, err)
		return
	}
	n.post(process, func(now time.Duration) control.Output {
		n.breaks.apply(&envelope)
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
		n.storage.save(save)
	}
	for _, send := range output.Sends {
		n.network.send(n, send)
	}
	for _, reply := range output.Replies {
		n.calls.deliverReply(reply)
	}
	for _, command := range output.Commands {
		n.backends.command(n, command)
	}
	for _, request := range output.ReportRequests {
		n.backends.requestReport(n, request)
	}
	if output.ReadEndpoints {
		n.backends.readEndpoints(n)
	}
}

// publish puts a view in force for traffic.
func (n *node) publish(view *routing.View) {
	if n.view == nil || n.view.Revision != view.Revision {
		n.logf("r%d", view.Revision)
		n.traffic.previousView = n.view
	}
	n.view = view
	n.views[view.Revision] = view
	n.checks.viewPublished(n, view)
}

func (n *node) setServeUntil(until time.Duration) {
	now := n.now()
	if serving := until > now; serving != (n.serveUntil > now) {
		if serving {
			n.logf("serving")
			n.traffic.staleView = nil
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
