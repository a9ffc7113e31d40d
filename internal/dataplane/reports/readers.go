package reports

import (
	"context"
	"sync"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/health"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// readWait is how long a back end may hold a read that has no changes to return (a long
	// poll).
	readWait = time.Second
	// minReadInterval is the least time between two reads of one back end, so that
	// changes are read in batches.
	minReadInterval = 200 * time.Millisecond
	// readBackoff is the backoff after a failed read, and maxReadBackoff its upper bound
	// after further ones.
	readBackoff    = 250 * time.Millisecond
	maxReadBackoff = 2 * time.Second
	// readTimeoutMargin is added to the wait of a read for its time-out.
	readTimeoutMargin = time.Second
)

// Options configure Readers.
type Options struct {
	// Member is this node's identity among the nodes.
	Member member.ID
	// Peers returns the live nodes that serve callers, including this one.
	Peers func() []member.Info
	// Source provides control state.
	Source routing.Source
	// Clock returns the time elapsed on a clock that counts suspended time.
	Clock func() time.Duration
	// Interval is the time between two looks at the newest view and the live nodes.
	Interval time.Duration
	// Reader reads the reports of a back end.
	Reader edges.ReportReader
	// Router has the index that the reports are applied to.
	Router *kvrouter.Router
	// Quarantine is cleared of back ends that are no longer listed.
	Quarantine *health.Quarantine
	// AwaitingSnapshot reports whether a peer's snapshot of the index may still arrive.
	// Nothing is read before.
	AwaitingSnapshot func() bool
	// Publish is called with each page that was read, after it was applied to the index.
	// It is called by many goroutines.
	Publish func(report gossip.Report)
	// AfterFollow is called after each look at the newest view.
	AfterFollow func()
}

// Readers reads the reports of the replicas and stores that are assigned to this node.
// Each back end is read in a goroutine of its own, which ends with Serve.
type Readers struct {
	options Options

	fullReads *fullReadLimiter

	// The fields below belong to the goroutine that runs Serve.

	// lastView is the view of the last call of forgetRemoved.
	lastView      *routing.View
	stabilization stabilizationWait
	// assigned is the last assignment.
	assigned assignment

	mutex sync.Mutex
	// running holds what ends the read of each back end that is read now, by address.
	running map[string]context.CancelFunc
}

// New returns readers that read nothing before Serve.
func New(options Options) *Readers {
	return &Readers{
		options:   options,
		running:   make(map[string]context.CancelFunc),
		fullReads: newFullReadLimiter(),
	}
}

// Serve implements suture.Service: it compares what is read with the newest view and the
// live nodes until ctx ends.
func (r *Readers) Serve(ctx context.Context) error {
	ticker := time.NewTicker(r.options.Interval)
	defer ticker.Stop()
	defer r.stopAll()
	for {
		if view := r.options.Source.View(); view != nil {
			r.Follow(ctx, view)
			r.forgetRemoved(view)
			r.options.AfterFollow()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Follow brings what is read in line with a view and the live nodes: the back ends that are
// assigned to this node are read until ctx ends or they are assigned to another one. Before
// the membership is stable, and while a snapshot may still tell up to which position the
// reports have been read, it does nothing. It is called by Serve alone, once that runs.
func (r *Readers) Follow(ctx context.Context, view *routing.View) {
	stable := r.stabilization.stable(r.options.Clock(), r.options.Peers())
	if !stable || r.options.AwaitingSnapshot() {
		return
	}
	r.reconcile(ctx, r.assignedBackends(view))
}

// String implements fmt.Stringer for the supervisor's messages.
func (r *Readers) String() string {
	return "report readers"
}

// forgetRemoved removes back ends that are no longer listed from the index and the
// quarantine.
func (r *Readers) forgetRemoved(view *routing.View) {
	if view == r.lastView {
		return
	}
	r.lastView = view
	reporting := reportingZones(view)
	r.fullReads.retain(reporting)
	for _, address := range r.options.Router.Addresses() {
		if _, found := reporting[address]; !found {
			r.options.Router.Forget(address)
			r.options.Quarantine.Forget(address)
		}
	}
}

// assignedBackends returns the addresses of the back ends that are assigned to this node.
func (r *Readers) assignedBackends(view *routing.View) map[string]bool {
	peers := r.options.Peers()
	if !r.assigned.validFor(view, peers) {
		r.assigned = assign(r.options.Member, view, peers)
	}
	return r.assigned.backends
}

// reconcile starts and stops goroutines so that exactly the assigned back ends are read.
func (r *Readers) reconcile(ctx context.Context, assigned map[string]bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, stop := range r.running {
		if !assigned[address] {
			stop()
			delete(r.running, address)
		}
	}
	for address := range assigned {
		if _, runs := r.running[address]; runs {
			continue
		}
		readContext, stop := context.WithCancel(ctx)
		r.running[address] = stop
		go r.read(readContext, address)
	}
}

// stopAll ends all reads.
func (r *Readers) stopAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, stop := range r.running {
		stop()
		delete(r.running, address)
	}
}

// read reads one back end until ctx ends.
func (r *Readers) read(ctx context.Context, address string) {
	backoff := readBackoff
	for ctx.Err() == nil {
		wait := minReadInterval
		if err := r.readOnce(ctx, address); err != nil {
			wait = backoff
			backoff = min(2*backoff, maxReadBackoff)
		} else {
			backoff = readBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// readOnce reads a back end once and sends what it has read to the other nodes: everything
// that the back end caches if that is not known and a full read is due, and otherwise, or
// if that read fails, the changes after the present position.
func (r *Readers) readOnce(ctx context.Context, address string) error {
	if !r.options.Router.ChunksComplete(address) && r.fullReads.tryAcquire(r.options.Clock(), address) {
		if r.readFull(ctx, address) == nil {
			return nil
		}
	}
	return r.readPage(ctx, address)
}

// readPage reads the changes after the present position.
func (r *Readers) readPage(ctx context.Context, address string) error {
	incarnation, since, found := r.options.Router.ChunksPosition(address)
	bounded, cancel := context.WithTimeout(ctx, readWait+readTimeoutMargin)
	defer cancel()
	page, err := r.options.Reader.Read(bounded, address, since, readWait)
	if err != nil {
		return err
	}
	report := reportOf(address, since, page)
	if found && page.Incarnation != incarnation {
		// The position belongs to an earlier incarnation of the back end.
		report.Feed.From = 0
	}
	if found && page.Incarnation == incarnation && len(report.Changes) == 0 && !page.Lost {
		return nil
	}
	Apply(r.options.Router, r.options.Clock(), report)
	r.options.Publish(report)
	return nil
}
