package hollow

import (
	"context"
	"math/rand/v2"
	"net"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/timers"
)

// The network and the disks of nodes on the virtual clock.
const (
	// virtualLatency is the shortest time of a frame on its way, to which up to
	// virtualJitter is added at random.
	virtualLatency = 500 * time.Microsecond
	virtualJitter  = time.Millisecond
	// virtualDiskTime is the time of a write.
	virtualDiskTime = time.Millisecond
	// virtualIncarnation is the incarnation in which all nodes start.
	virtualIncarnation = 1
)

// virtualFleet is all nodes of a run on the virtual clock. One goroutine owns
// it. The same settings give the same run.
type virtualFleet struct {
	settings Settings
	now      time.Duration
	queue    timers.Queue
	// random draws delays, starts and the nodes of changes. The number of nodes selects
	// its stream.
	random   *rand.Rand
	topology *topology
	// numbers are the nodes by address.
	numbers  map[string]int
	replicas *replicas
	nodes    []*virtualNode
	// badFrames counts the frames that could not be decoded, badWrites the writes that
	// failed.
	badFrames uint64
	badWrites uint64
	// tickets are the changes without an answer, finished the others.
	tickets  map[uint64]*change
	finished []change
}

func newVirtualFleet(settings Settings) (*virtualFleet, error) {
	fleet := &virtualFleet{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, uint64(settings.Nodes))),
		numbers:  map[string]int{},
		replicas: newReplicas(),
		tickets:  map[uint64]*change{},
	}
	var addresses []string
	for number := range settings.Nodes {
		address := net.JoinHostPort(settings.hostOf(number), internalPort)
		addresses = append(addresses, address)
		fleet.numbers[address] = number
	}
	fleet.topology = newTopology(settings, addresses)
	for number := range settings.Nodes {
		built, err := newVirtualNode(number, fleet, virtualIncarnation)
		if err != nil {
			return nil, errors.Wrapf(err, "build virtual node %d", number)
		}
		fleet.nodes = append(fleet.nodes, built)
	}
	return fleet, nil
}

// deliver brings a frame to a node.
func (f *virtualFleet) deliver(now time.Duration, target int, frame []byte) {
	delay := virtualLatency + time.Duration(f.random.Int64N(int64(virtualJitter)))
	f.queue.Add(now+delay, func(now time.Duration) { f.nodes[target].receive(now, frame) })
}

// runUntil lets virtual time pass until an instant, the context's end, or until
// done.
func (f *virtualFleet) runUntil(ctx context.Context, end time.Duration, done func() bool) {
	for at, more := f.queue.Next(); more && at <= end && ctx.Err() == nil; at, more = f.queue.Next() {
		f.now = at
		f.queue.RunNext()
		if done() {
			return
		}
	}
	f.now = max(f.now, end)
}

func never() bool { return false }

// start starts the nodes with state, applies the configuration, starts the
// others and waits until all serve. It returns how many do.
func (f *virtualFleet) start(ctx context.Context) (int, error) {
	order, err := firstOrder(f.settings)
	if err != nil {
		return 0, errors.Wrap(err, "the hollow configuration cannot be applied")
	}
	end := f.settings.ConvergenceTimeout
	core := f.settings.Core
	for number, node := range f.nodes[:core] {
		f.queue.Add(time.Duration(number)*f.settings.StartEvery, node.start)
	}
	f.runUntil(ctx, virtualElection, never)
	const firstTicket = 0
	f.nodes[0].process(f.now, func() control.Output { return f.nodes[0].machine.Submit(f.now, firstTicket, order) })
	f.runUntil(ctx, end, func() bool { return f.nodes[0].revision() > 0 })
	for number, node := range f.nodes[core:] {
		f.queue.Add(f.now+time.Duration(number)*f.settings.StartEvery, node.start)
	}
	check := f.now
	f.runUntil(ctx, end, func() bool {
		if f.now < check+convergenceCheckEvery {
			return false
		}
		check = f.now
		return f.convergedNodes() == len(f.nodes)
	})
	return f.convergedNodes(), nil
}

// virtualElection is enough for the nodes with state to have a leader.
const virtualElection = 5 * time.Second

func (f *virtualFleet) convergedNodes() int { return lo.CountBy(f.nodes, (*virtualNode).converged) }

// changeAt submits a change at an instant, through a node drawn at random.
func (f *virtualFleet) changeAt(at time.Duration, number int) {
	f.queue.Add(at, func(now time.Duration) {
		order, err := changeOrder(f.settings, number)
		if err != nil {
			f.finished = append(f.finished, change{submittedAt: now, repliedAt: now, problem: err.Error()})
			return
		}
		ticket := uint64(number) + 1
		f.tickets[ticket] = &change{submittedAt: now}
		through := f.nodes[f.random.IntN(len(f.nodes))]
		through.process(now, func() control.Output { return through.machine.Submit(now, ticket, order) })
	})
}

// handleReply records the answer to a change.
func (f *virtualFleet) handleReply(now time.Duration, reply control.Reply) {
	made, known := f.tickets[reply.Ticket]
	if !known {
		return
	}
	delete(f.tickets, reply.Ticket)
	made.repliedAt = now
	made.revision = reply.Answer.GetRevision()
	made.confirmed = reply.Answer.GetConfirmed()
	made.problem = reply.Answer.GetProblem().GetMessage()
	if reply.Err != nil {
		made.problem = reply.Err.Error()
	}
	f.finished = append(f.finished, *made)
}

// watch samples what the nodes serve, until an instant.
func (f *virtualFleet) watch(watched *spread, until time.Duration) {
	f.queue.Add(f.now+sampleEvery, func(now time.Duration) {
		watched.sample(now)
		if now < until {
			f.watch(watched, until)
		}
	})
}

func (f *virtualFleet) readings() []reading {
	all := make([]reading, len(f.nodes))
	for number, node := range f.nodes {
		all[number] = node.meter.read()
	}
	return all
}

// measureVirtualFleet runs the nodes on the virtual clock and measures them.
func measureVirtualFleet(ctx context.Context, settings Settings, result *Result) error {
	// The processor time of inputs is read from this thread.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	usage := newUsageMeter(settings.Nodes)
	fleet, err := newVirtualFleet(settings)
	if err != nil {
		return err
	}
	result.ConvergedNodes, err = fleet.start(ctx)
	if err != nil {
		return err
	}
	result.ConvergenceMS = float64(fleet.now.Milliseconds())
	if ctx.Err() != nil {
		return nil
	}
	result.measureVirtual(ctx, fleet, usage)
	return nil
}

// measureVirtual watches the nodes for the time of the settings.
func (r *Result) measureVirtual(ctx context.Context, fleet *virtualFleet, usage *usageMeter) {
	settings := fleet.settings
	end := fleet.now + settings.Duration
	watched := newSpread(fleet.nodes)
	fleet.watch(watched, end+trailTime)
	if settings.ChangeEvery > 0 {
		for number := 0; fleet.now+time.Duration(number+1)*settings.ChangeEvery < end; number++ {
			fleet.changeAt(fleet.now+time.Duration(number+1)*settings.ChangeEvery, number)
		}
	}
	before := fleet.readings()
	usedBefore := fleet.processorTimes()
	usage.begin()
	fleet.runUntil(ctx, end, never)
	r.Usage = usage.processor(settings.Duration)
	r.Roles = fleet.processorTimes().since(usedBefore, settings)
	after := fleet.readings()
	fleet.runUntil(ctx, end+trailTime+changeTimeout, func() bool { return len(fleet.tickets) == 0 && fleet.now > end+trailTime })
	r.Usage = usage.memory(r.Usage)
	runtime.KeepAlive(fleet)
	r.FramesDropped = fleet.badFrames
	r.conclude(settings, settings.Duration, before, after)
	for _, unanswered := range fleet.tickets {
		unanswered.problem = "not answered"
		fleet.finished = append(fleet.finished, *unanswered)
	}
	r.judge(watched, fleet.finished)
}
