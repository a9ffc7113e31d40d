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
	// readWait is how long a back end may delay the response to a read while it has no
	// changes to return (long polling).
	readWait = time.Second
	// minReadInterval is the pause between two reads of one back end. With it, changes are
	// read in batches.
	minReadInterval = 200 * time.Millisecond
	// readBackoff is the backoff after the first failed read. It doubles with each further
	// failure in a row, up to maxReadBackoff.
	readBackoff    = 250 * time.Millisecond
	maxReadBackoff = 2 * time.Second
	// readTimeoutMargin is added to readWait for the time-out of a read.
	readTimeoutMargin = time.Second
)

// Options configure Readers.
type Options struct {
	// Member identifies this node.
	Member member.ID
	// Peers returns the live nodes that serve callers, including this one.
	Peers func() []member.Info
	// Source provides control state.
	Source routing.Source
	// Clock returns the time elapsed on a clock that counts suspended time.
	Clock func() time.Duration
	// Interval is the time between two checks of the newest view and the live nodes.
	Interval time.Duration
	// Reader reads the reports of a back end.
	Reader edges.ReportReader
	// Router contains the index that the reports are applied to.
	Router *kvrouter.Router
	// Quarantine is the node's quarantine. Back ends that are no longer listed are removed
	// from it.
	Quarantine *health.Quarantine
	// AwaitingSnapshot reports whether a peer's snapshot of the index may still arrive. No
	// reading starts while it returns true.
	AwaitingSnapshot func() bool
	// Publish is called with each page that was applied to the index. It is called by
	// several goroutines concurrently.
	Publish func(report gossip.Report)
	// AfterFollow is called after each check of the newest view.
	AfterFollow func()
}

// Readers reads the reports of the replicas and stores that are assigned to this node.
// Each back end is read in a goroutine of its own, which is stopped when Serve returns.
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
	// running contains, for each back end that is being read, the function that stops its
	// goroutine, by address.
	running map[string]context.CancelFunc
}

// New returns readers that read nothing until Serve is called.
func New(options Options) *Readers {
	return &Readers{
		options:   options,
		running:   make(map[string]context.CancelFunc),
		fullReads: newFullReadLimiter(),
	}
}

// Serve implements suture.Service. Until ctx ends, it periodically adapts the set of back
// ends that are read to the newest view and the live nodes.
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

// Follow adapts the set of back ends that are read to a view and the live nodes: the back
// ends that are assigned to this node are read until ctx ends or they are assigned to
// another one. Follow does nothing until the membership is stable, and while a snapshot may
// still arrive that contains the position up to which the reports have been read. While
// Serve runs, only Serve may call Follow.
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

// forgetRemoved removes back ends that are no longer listed from the index, the quarantine
// and the limiter of full reads.
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

// reconcile starts and stops goroutines so that only the assigned back ends, and all of
// them, are read.
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

// stopAll stops the goroutines of all back ends.
func (r *Readers) stopAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, stop := range r.running {
		stop()
		delete(r.running, address)
	}
}

// read reads the reports of one back end repeatedly until ctx ends.
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

// readOnce reads a back end once, applies the result to the index and publishes it. It reads
// all cached chunks if the index does not contain them completely and the limiter permits a
// full read. Otherwise, or if the full read fails, it reads the changes after the current
// position.
func (r *Readers) readOnce(ctx context.Context, address string) error {
	if !r.options.Router.ChunksComplete(address) && r.fullReads.tryAcquire(r.options.Clock(), address) {
		if r.readFull(ctx, address) == nil {
			return nil
		}
	}
	return r.readPage(ctx, address)
}

// readPage reads the changes after the current position, applies them to the index and
// publishes them.
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
