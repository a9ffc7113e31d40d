package hollow

import (
	"context"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// convergenceCheckEvery is the time between two checks whether all nodes serve.
	convergenceCheckEvery = 50 * time.Millisecond
	// firstOrderTimeout bounds one attempt to apply the first configuration.
	firstOrderTimeout = 10 * time.Second
)

// fleet is all hollow nodes of a run.
type fleet struct {
	settings Settings
	clock    func() time.Duration
	network  network
	topology *topology
	replicas *replicas
	log      *logrus.Logger
	nodes    []*node
	// built is set once nodes is complete and may be read by the network.
	built   atomic.Bool
	running sync.WaitGroup
	stopAll context.CancelFunc
}

// newFleet builds all nodes and starts none. connect builds the network, which is to
// hand frames to the function that connect gets.
func newFleet(settings Settings, clock func() time.Duration, connect func(deliver) (network, error)) (*fleet, error) {
	built := &fleet{settings: settings, clock: clock, replicas: newReplicas(), log: quietLog()}
	var err error
	built.network, err = connect(built.receive)
	if err != nil {
		return nil, err
	}
	built.topology = newTopology(settings, built.network.addresses())
	incarnation := member.Incarnation(time.Now().UnixMilli())
	for number := range settings.Nodes {
		added, err := newNode(number, built, incarnation)
		if err != nil {
			built.network.close()
			return nil, errors.Wrapf(err, "build hollow node %d", number)
		}
		built.nodes = append(built.nodes, added)
	}
	built.built.Store(true)
	return built, nil
}

// quietLog keeps the standard output for the result.
func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(logrus.ErrorLevel)
	return log
}

// receive hands a frame to a node that was built. Frames that come before are
// lost, as they are before a process listens.
func (f *fleet) receive(number int, frame []byte) {
	if f.built.Load() {
		f.nodes[number].receive(frame)
	}
}

// startUntil starts the nodes that hold state, applies the configuration before
// the deadline's end, and starts the others. The nodes run until the context
// ends.
func (f *fleet) startUntil(ctx, deadline context.Context) error {
	ctx, f.stopAll = context.WithCancel(ctx)
	f.startNodes(ctx, f.nodes[:f.settings.Core])
	if err := f.applyFirst(deadline); err != nil {
		return err
	}
	f.startNodes(ctx, f.nodes[f.settings.Core:])
	return nil
}

// startNodes starts nodes one after the other, so that their timers are not in
// step and not all ask for the table of members at once.
func (f *fleet) startNodes(ctx context.Context, nodes []*node) {
	pause := time.NewTicker(f.settings.StartEvery)
	defer pause.Stop()
	for _, started := range nodes {
		started.run(ctx, &f.running)
		<-pause.C
	}
}

// applyFirst applies the first configuration, again until a node with state
// takes it.
func (f *fleet) applyFirst(ctx context.Context) error {
	order, err := firstOrder(f.settings)
	if err != nil {
		return errors.Wrap(err, "the hollow configuration cannot be applied")
	}
	for {
		answer, err := f.submit(ctx, f.nodes[0], order, firstOrderTimeout)
		switch {
		case ctx.Err() != nil:
			return errors.Wrap(ctx.Err(), "no leader took the first configuration")
		case err == nil && answer.GetProblem() != nil:
			return errors.Errorf("the first configuration was refused: %s", answer.GetProblem().GetMessage())
		case err == nil && answer.GetRevision() > 0:
			return nil
		}
	}
}

func (f *fleet) submit(ctx context.Context, through *node, order *controlpb.Order, timeout time.Duration) (*controlpb.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return through.driver.Submit(ctx, order)
}

// awaitConvergence waits until every node serves every replica, or the context ends, and
// returns how many do.
func (f *fleet) awaitConvergence(ctx context.Context) int {
	check := time.NewTicker(convergenceCheckEvery)
	defer check.Stop()
	for {
		converged := f.convergedNodes()
		if converged == len(f.nodes) {
			return converged
		}
		select {
		case <-ctx.Done():
			return converged
		case <-check.C:
		}
	}
}

func (f *fleet) convergedNodes() int { return lo.CountBy(f.nodes, (*node).converged) }

// readings reads all meters.
func (f *fleet) readings() []reading {
	all := make([]reading, len(f.nodes))
	for number, node := range f.nodes {
		all[number] = node.meter.read()
	}
	return all
}

// stop ends all nodes and closes the network.
func (f *fleet) stop() {
	if f.stopAll != nil {
		f.stopAll()
	}
	f.running.Wait()
	f.network.close()
}
