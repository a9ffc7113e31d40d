package dataplane

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/kvevents"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// readWait is how long one read waits for changes.
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

// reportReaders reads the reports of the replicas and stores that are assigned to this
// node. Exactly one of the nodes reads a back end, and sends what it reads to the others.
// Each back end is read in a goroutine of its own, which ends with Serve.
type reportReaders struct {
	server *Server
	reader ReportReader

	// lastView is the view of the last call of forgetRemoved. It belongs to Serve.
	lastView *routing.View
	// stabilization belongs to Serve as well.
	stabilization stabilizationWait
	fullReads     *fullReadLimiter
	// assigned is the last assignment. It belongs to Serve.
	assigned assignment

	mutex   sync.Mutex
	running map[string]context.CancelFunc
}

// newReportReaders returns readers that read nothing before Serve.
func newReportReaders(server *Server) *reportReaders {
	return &reportReaders{
		server:    server,
		reader:    server.options.Edges.Reports,
		running:   make(map[string]context.CancelFunc),
		fullReads: newFullReadLimiter(),
	}
}

// Serve implements suture.Service: it compares what is read with the newest view and the
// live nodes until ctx ends.
func (r *reportReaders) Serve(ctx context.Context) error {
	ticker := time.NewTicker(r.server.options.ViewInterval)
	defer ticker.Stop()
	defer r.stopAll()
	for {
		if view := r.server.options.Source.View(); view != nil {
			r.follow(ctx, view)
			r.forgetRemoved(view)
			r.server.updateStartupGate()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// follow reads the assigned back ends, once the membership is stable and a snapshot tells
// up to which position their reports have been read.
func (r *reportReaders) follow(ctx context.Context, view *routing.View) {
	stable := r.stabilization.stable(r.server.options.Clock(), r.server.options.Peers())
	if !stable || r.server.AwaitingSnapshot() {
		return
	}
	r.reconcile(ctx, r.owned(view))
}

// String implements fmt.Stringer for the supervisor's messages.
func (r *reportReaders) String() string {
	return "report readers"
}

// forgetRemoved removes back ends that are no longer listed from the index and the
// quarantine.
func (r *reportReaders) forgetRemoved(view *routing.View) {
	if view == r.lastView {
		return
	}
	r.lastView = view
	reporting := reportingBackends(view)
	r.fullReads.retain(reporting)
	for _, address := range r.server.router.Addresses() {
		if _, found := reporting[address]; !found {
			r.server.router.Forget(address)
			r.server.quarantine.Forget(address)
		}
	}
}

// assignment is the set of back ends that a node reads under a view and a membership.
type assignment struct {
	view  *routing.View
	peers []member.Info
	owned map[string]bool
}

// validFor reports whether the assignment was made for a view and a membership.
func (a *assignment) validFor(view *routing.View, peers []member.Info) bool {
	same := func(one, other member.Info) bool { return one.ID == other.ID && one.Zone == other.Zone }
	return a.owned != nil && a.view == view && slices.EqualFunc(a.peers, peers, same)
}

// owned returns the addresses that are assigned to this node.
func (r *reportReaders) owned(view *routing.View) map[string]bool {
	peers := r.server.options.Peers()
	if !r.assigned.validFor(view, peers) {
		r.assigned = assignment{view: view, peers: slices.Clone(peers), owned: r.assign(view, peers)}
	}
	return r.assigned.owned
}

// assign computes the addresses that are assigned to this node.
func (r *reportReaders) assign(view *routing.View, peers []member.Info) map[string]bool {
	owned := make(map[string]bool)
	for address, zone := range reportingBackends(view) {
		if readerFor(address, zone, peers) == r.server.options.Member {
			owned[address] = true
		}
	}
	return owned
}

// reportingBackends returns the zones of all back ends that report cached chunks, by
// address.
func reportingBackends(view *routing.View) map[string]string {
	zones := make(map[string]string)
	for _, pool := range view.Pools {
		for _, replica := range pool.Replicas {
			zones[replica.Address] = replica.Zone
		}
		if address := pool.Store.GetAddress(); address != "" {
			zones[address] = pool.Store.GetZone()
		}
	}
	return zones
}

// readerFor returns the node that reads a back end: the one with the highest rendezvous
// weight among the nodes in its zone, or among all if the zone has none.
func readerFor(address, zone string, peers []member.Info) member.ID {
	inZone, found := heaviest(address, peers, func(peer member.Info) bool { return peer.Zone == zone })
	if found {
		return inZone
	}
	anywhere, _ := heaviest(address, peers, func(member.Info) bool { return true })
	return anywhere
}

// heaviest returns the node with the highest weight for a back end, among those admitted.
func heaviest(address string, peers []member.Info, admitted func(member.Info) bool) (best member.ID, found bool) {
	highest := uint64(0)
	for _, peer := range peers {
		if !admitted(peer) {
			continue
		}
		weight := readerWeight(address, peer.ID)
		if !found || cmp.Or(cmp.Compare(weight, highest), cmp.Compare(peer.ID, best)) > 0 {
			best, highest, found = peer.ID, weight, true
		}
	}
	return best, found
}

// readerWeight is the rendezvous weight of a node for a back end.
func readerWeight(address string, id member.ID) uint64 {
	return xxhash.Sum64String(address + "\x00" + string(id))
}

// reconcile starts and stops goroutines so that exactly the owned back ends are read.
func (r *reportReaders) reconcile(ctx context.Context, owned map[string]bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, stop := range r.running {
		if !owned[address] {
			stop()
			delete(r.running, address)
		}
	}
	for address := range owned {
		if _, runs := r.running[address]; runs {
			continue
		}
		reading, stop := context.WithCancel(ctx)
		r.running[address] = stop
		go r.read(reading, address)
	}
}

func (r *reportReaders) stopAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, stop := range r.running {
		stop()
		delete(r.running, address)
	}
}

// read reads one back end until ctx ends.
func (r *reportReaders) read(ctx context.Context, address string) {
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
func (r *reportReaders) readOnce(ctx context.Context, address string) error {
	if !r.server.router.ChunksComplete(address) && r.fullReads.tryAcquire(r.server.options.Clock(), address) {
		if r.readFull(ctx, address) == nil {
			return nil
		}
	}
	return r.readPage(ctx, address)
}

// readPage reads the changes after the present position.
func (r *reportReaders) readPage(ctx context.Context, address string) error {
	epoch, since, found := r.server.router.ChunksPosition(address)
	bounded, cancel := context.WithTimeout(ctx, readWait+readTimeoutMargin)
	defer cancel()
	page, err := r.reader.Read(bounded, address, since, readWait)
	if err != nil {
		return err
	}
	report := gossipReport(address, since, page)
	if found && page.Incarnation != epoch {
		// The position belongs to an earlier incarnation of the back end.
		report.Feed.From = 0
	}
	if found && page.Incarnation == epoch && len(report.Changes) == 0 && !page.Lost {
		return nil
	}
	r.server.applyReport(r.server.options.Clock(), report)
	r.server.updates.addReport(report)
	return nil
}

// gossipReport converts a page to what is sent to other nodes.
func gossipReport(address string, since uint64, page ReportPage) gossip.Report {
	return gossip.Report{
		Address: address,
		Feed:    kvevents.Position{Incarnation: page.Incarnation, From: since, Next: page.Next, Lost: page.Lost},
		Changes: lo.Map(page.Changes, func(change ChunkChange, _ int) gossip.Change {
			return gossip.Change{
				Sequence: change.Sequence,
				Name:     prefixindex.HashByID(change.Model, change.CacheSalt, change.ID),
				Tokens:   change.Tokens,
				Removed:  change.Removed,
			}
		}),
	}
}
