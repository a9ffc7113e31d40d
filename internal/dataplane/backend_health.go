package dataplane

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
)

const (
	// webOverdueFactor is how many times the latency aimed at an attempt on a web
	// service may go without any output before it counts against its back end.
	webOverdueFactor = 2
	// poolOverdueFactor is the same for the replicas of pools, where a prompt
	// waits long in busy times, and expectedDelayFactor how many times the delay that
	// was expected of it may go beyond that.
	poolOverdueFactor   = 6
	expectedDelayFactor = 3
	// minOverdue bounds that time from below.
	minOverdue = 500 * time.Millisecond
)

// backendHealth judges back ends by the outcomes of attempts on them, its own and those
// that other nodes tell.
type backendHealth struct {
	*outlier.Detector
	zone  string
	peers func() []member.Info

	mutex sync.Mutex
	// view is the one whose back ends are known.
	view *routing.View
	// running holds the attempts that have brought no output yet.
	running map[*attemptHealth]struct{}
}

// attemptHealth is an attempt as far as the health of its back end goes. Of its
// outcomes up to the first output one counts.
type attemptHealth struct {
	health  *backendHealth
	address string
	// overdueAt and slowAt are when the attempt counts as overdue, and its output
	// as slow; 0 means never.
	overdueAt, slowAt time.Duration
	// counted tells that it has counted as overdue.
	counted bool
}

// newBackendHealth returns a judge that knows no back end.
func newBackendHealth(options Options) *backendHealth {
	settings := options.Outlier
	settings.Node = string(options.Member)
	log := options.Log
	settings.Changed = func(address string, ejected bool) {
		log.WithFields(logrus.Fields{"backend": address, "ejected": ejected}).Info("a back end has left or joined the choice by its outcomes")
	}
	return &backendHealth{
		Detector: outlier.New(settings),
		zone:     options.Zone,
		peers:    options.Peers,
		running:  make(map[*attemptHealth]struct{}),
	}
}

// follow makes the back ends of a view known.
func (h *backendHealth) follow(view *routing.View) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if view == nil || view == h.view {
		return
	}
	h.view = view
	pools := make(map[string][]outlier.Member, len(view.Pools)+len(view.WebServices))
	for name, pool := range view.Pools {
		pools[destinationName{name: name}.key()] = healthMembers(pool.Replicas)
	}
	for name, service := range view.WebServices {
		pools[destinationName{name: name, webService: true}.key()] = healthMembers(service.Replicas)
	}
	h.SetPools(pools)
}

// healthMembers names the incarnations of listed back ends.
func healthMembers(replicas []routing.Replica) []outlier.Member {
	return lo.Map(replicas, func(replica routing.Replica, _ int) outlier.Member {
		return outlier.Member{Address: replica.Address, Instance: replica.Instance}
	})
}

// begin enters an attempt that is about to be sent, and the delay that is expected
// of it.
func (h *backendHealth) begin(now time.Duration, w *work, address string, expected time.Duration) *attemptHealth {
	started := &attemptHealth{health: h, address: address}
	if target := time.Duration(w.route.Config.GetTargetLatencyMs()) * time.Millisecond; target > 0 {
		factor := time.Duration(poolOverdueFactor)
		// The router learns by itself how fast replicas are.
		if w.destination.WebService != nil {
			factor = webOverdueFactor
			started.slowAt = now + target
		}
		started.overdueAt = now + max(factor*target, minOverdue) + expectedDelayFactor*expected
	}
	h.ProbeSent(now, address)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.running[started] = struct{}{}
	return started
}

// countOverdue counts the attempts that have become overdue.
func (h *backendHealth) countOverdue(now time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for running := range h.running {
		if running.overdueAt > 0 && now >= running.overdueAt && !running.counted {
			running.counted = true
			h.Observe(now, running.address, outlier.Overdue)
		}
	}
}

// end enters that the attempt has brought output, or can bring none any more, and
// returns whether it has counted as overdue. It may be called more than once.
func (a *attemptHealth) end() (counted bool) {
	a.health.mutex.Lock()
	defer a.health.mutex.Unlock()
	delete(a.health.running, a)
	return a.counted
}

// responded enters the first output of a stream, or a whole answer.
func (a *attemptHealth) responded(now time.Duration, status int) {
	overdue := a.end()
	switch {
	case status == http.StatusGatewayTimeout:
		// The deadline may have been too short.
		a.health.RecordResponse(a.address)
	case status >= http.StatusInternalServerError && status != http.StatusNotImplemented:
		a.health.Observe(now, a.address, outlier.Errored)
	case overdue || a.slowAt > 0 && now >= a.slowAt:
		a.health.Observe(now, a.address, outlier.Slow)
	default:
		a.health.Observe(now, a.address, outlier.Succeeded)
	}
}

// failed enters how the attempt ended without an answer, or in the middle of one.
func (a *attemptHealth) failed(now time.Duration, outcome outlier.Outcome) {
	a.end()
	a.health.Observe(now, a.address, outcome)
}

// describe fills in what is known of the health of a destination's back ends.
func (h *backendHealth) describe(now time.Duration, into *DestinationStats) {
	stats := h.Stats(now, destinationName{name: into.Name, webService: into.WebService}.key())
	into.Ejected, into.Suspected, into.Ejections = stats.Ejected, stats.Suspected, stats.Ejections
	for outcome, count := range stats.Outcomes {
		into.Outcomes = append(into.Outcomes, OutcomeCount{Name: outcome.String(), Count: count})
	}
	slices.SortFunc(into.Outcomes, func(a, b OutcomeCount) int { return cmp.Compare(a.Name, b.Name) })
}

// applyOutcomes takes in what another node tells of back ends.
func (h *backendHealth) applyOutcomes(now time.Duration, update gossip.Update) {
	if len(update.Outcomes) == 0 {
		return
	}
	sender, _ := lo.Find(h.peers(), func(peer member.Info) bool { return peer.ID == update.Node })
	for _, report := range update.Outcomes {
		h.ApplyReport(now, string(update.Node), sender.Zone == h.zone, report)
	}
}

// selectionResult is how a selection ended.
type selectionResult int

const (
	// foundOne means that there is a back end.
	foundOne selectionResult = iota
	// foundBusy means that those which are not excluded take no more.
	foundBusy
	// foundNone means that there is none which is not excluded.
	foundNone
)

// chooseHealthy tries a selection without back ends that fail. If the others take no
// more, it goes on with those that fail in part, and if there are no others, with
// all.
func chooseHealthy(h *backendHealth, now time.Duration, w *work, try func(exclude func(address string) bool) selectionResult) {
	// A probe that fails is not made good by a retry.
	probe := w.tracker.Sent() == 0
	unfit := false
	tryUpTo := func(worst outlier.Verdict) selectionResult {
		return try(func(address string) bool {
			if w.hasTried(address) {
				return true
			}
			verdict := h.Verdict(now, address, probe)
			unfit = unfit || verdict != outlier.Healthy
			return verdict > worst
		})
	}
	if tryUpTo(outlier.Healthy) == foundOne || !unfit {
		return
	}
	if tryUpTo(outlier.Ejected) == foundNone {
		tryUpTo(outlier.Suspected)
	}
}
