package health

import (
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
	// webOverdueFactor is the multiple of the latency target after which an attempt on a
	// web service is overdue if it has no output, and counts against its back end.
	webOverdueFactor = 2
	// poolOverdueFactor is the corresponding multiple for replicas of pools. It is higher
	// because a prompt may be queued for long. expectedDelayFactor is the multiple of the
	// expected delay that is added for web services and pools.
	poolOverdueFactor   = 6
	expectedDelayFactor = 3
	// minOverdue is the minimum of the multiple of the latency target; the multiple of the
	// expected delay is added to it.
	minOverdue = 500 * time.Millisecond
)

// Options configure a Tracker.
type Options struct {
	// Outlier configures the outlier detection. New overwrites Node and Changed.
	Outlier outlier.Options
	// Member identifies this node, and Zone is the node's zone.
	Member member.ID
	Zone   string
	// Peers returns the live nodes that serve callers.
	Peers func() []member.Info
	// Log receives a line for each back end that is ejected or readmitted.
	Log *logrus.Entry
}

// Tracker rates back ends by the outcomes of attempts on them, those of this node and those
// that other nodes report.
type Tracker struct {
	*outlier.Detector
	zone  string
	peers func() []member.Info

	mutex sync.Mutex
	// view is the newest view that Follow was called with. The Detector tracks its back
	// ends.
	view *routing.View
	// running contains the attempts without any output so far.
	running map[*Attempt]struct{}
}

// Attempt tracks one attempt and records its outcomes for the health of the back end. One
// attempt may have several outcomes: that it is overdue, that of its first output, and a
// failure after the first output.
type Attempt struct {
	// Address is the back end's address.
	Address string

	tracker *Tracker
	// overdueAt and slowAt are the times, on the node's clock, from which the attempt
	// counts as overdue and its output as slow; 0 means never.
	overdueAt, slowAt time.Duration
	// countedOverdue is set when the attempt has been counted as overdue.
	countedOverdue bool
}

// Expectation contains the expected latencies of an attempt.
type Expectation struct {
	// Target is the latency target of the route; 0 if the route has none.
	Target time.Duration
	// Delay is the expected time to the first output; 0 if it is unknown.
	Delay time.Duration
	// WebService reports whether the back end belongs to a web service.
	WebService bool
}

// New returns a Tracker without back ends.
func New(options Options) *Tracker {
	settings := options.Outlier
	settings.Node = string(options.Member)
	log := options.Log
	settings.Changed = func(address string, ejected bool) {
		log.WithFields(logrus.Fields{"backend": address, "ejected": ejected}).Info("a back end was ejected or readmitted by its outcomes")
	}
	return &Tracker{
		Detector: outlier.New(settings),
		zone:     options.Zone,
		peers:    options.Peers,
		running:  make(map[*Attempt]struct{}),
	}
}

// Follow replaces the tracked back ends by those of a view. It does nothing if the view is
// nil or that of the last call.
func (t *Tracker) Follow(view *routing.View) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if view == nil || view == t.view {
		return
	}
	t.view = view
	pools := make(map[string][]outlier.Member, len(view.Pools)+len(view.WebServices))
	for name, pool := range view.Pools {
		pools[poolKey(name, false)] = members(pool.Replicas)
	}
	for name, service := range view.WebServices {
		pools[poolKey(name, true)] = members(service.Replicas)
	}
	t.SetPools(pools)
}

// poolKey returns the Detector's name for a pool or a web service. The Detector treats both
// as pools.
func poolKey(name string, webService bool) string {
	if webService {
		return "web/" + name
	}
	return "pool/" + name
}

// members converts listed back ends to members for the Detector.
func members(replicas []routing.Replica) []outlier.Member {
	return lo.Map(replicas, func(replica routing.Replica, _ int) outlier.Member {
		return outlier.Member{Address: replica.Address, Instance: replica.Instance}
	})
}

// Begin starts to track an attempt that is about to be sent. The caller must call End on the
// returned Attempt.
func (t *Tracker) Begin(now time.Duration, address string, expected Expectation) *Attempt {
	started := &Attempt{Address: address, tracker: t}
	if expected.Target > 0 {
		factor := time.Duration(poolOverdueFactor)
		// Replicas of pools are not counted as slow, because the router measures their
		// speed itself.
		if expected.WebService {
			factor = webOverdueFactor
			started.slowAt = now + expected.Target
		}
		started.overdueAt = now + max(factor*expected.Target, minOverdue) + expectedDelayFactor*expected.Delay
	}
	t.ProbeSent(now, address)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running[started] = struct{}{}
	return started
}

// CountOverdue records the attempts that have become overdue as failures of their back ends.
func (t *Tracker) CountOverdue(now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for running := range t.running {
		if running.overdueAt > 0 && now >= running.overdueAt && !running.countedOverdue {
			running.countedOverdue = true
			t.Observe(now, running.Address, outlier.Overdue)
		}
	}
}

// End records that the attempt has had its first output or can have none any more, and
// reports whether the attempt was counted as overdue. It may be called more than once.
func (a *Attempt) End() (overdue bool) {
	a.tracker.mutex.Lock()
	defer a.tracker.mutex.Unlock()
	delete(a.tracker.running, a)
	return a.countedOverdue
}

// Responded records the first output of a stream, or a complete response.
func (a *Attempt) Responded(now time.Duration, status int) {
	overdue := a.End()
	switch {
	case status == http.StatusGatewayTimeout:
		// The caller's deadline may have been too short, so this status counts neither
		// for nor against the back end. It does show that the back end is alive.
		a.tracker.RecordResponse(a.Address)
	case status >= http.StatusInternalServerError && status != http.StatusNotImplemented:
		a.tracker.Observe(now, a.Address, outlier.Errored)
	case overdue || a.slowAt > 0 && now >= a.slowAt:
		a.tracker.Observe(now, a.Address, outlier.Slow)
	default:
		a.tracker.Observe(now, a.Address, outlier.Succeeded)
	}
}

// Failed records the outcome of an attempt that ended without a response or during one.
func (a *Attempt) Failed(now time.Duration, outcome outlier.Outcome) {
	a.End()
	a.tracker.Observe(now, a.Address, outcome)
}

// DestinationStats returns the statistics of the back ends of a pool or a web
// service.
func (t *Tracker) DestinationStats(now time.Duration, name string, webService bool) outlier.PoolStats {
	return t.Stats(now, poolKey(name, webService))
}

// ApplyOutcomes records the outcomes that another node reports.
func (t *Tracker) ApplyOutcomes(now time.Duration, update gossip.Update) {
	if len(update.Outcomes) == 0 {
		return
	}
	sender, _ := lo.Find(t.peers(), func(peer member.Info) bool { return peer.ID == update.Node })
	for _, report := range update.Outcomes {
		t.ApplyReport(now, string(update.Node), sender.Zone == t.zone, report)
	}
}

// SelectionResult is the result of a selection among back ends.
type SelectionResult int

const (
	// Found means that a back end was selected.
	Found SelectionResult = iota
	// AllBusy means that all back ends that are not excluded are at capacity.
	AllBusy
	// NoneLeft means that all back ends are excluded.
	NoneLeft
)

// TryHealthiestFirst calls try, which selects among the back ends that are not excluded, up
// to three times and stops at Found. The first call excludes all unhealthy back ends. If the
// healthy ones are at capacity or none is left, the second call also permits ejected back
// ends. If none is left then, the third call also permits suspected ones. The result of the
// last call of try applies. tried contains the back ends of earlier attempts of the request,
// which are always excluded.
//
// probe permits a probe of an ejected back end. It must be false for retries: a probe is
// likely to fail, and would use up one of the few retries that the retry budget permits.
func (t *Tracker) TryHealthiestFirst(now time.Duration, tried []string, probe bool, try func(exclude func(address string) bool) SelectionResult) {
	unhealthy := false
	tryUpTo := func(worst outlier.Verdict) SelectionResult {
		return try(func(address string) bool {
			if slices.Contains(tried, address) {
				return true
			}
			verdict := t.Verdict(now, address, probe)
			unhealthy = unhealthy || verdict != outlier.Healthy
			return verdict > worst
		})
	}
	if tryUpTo(outlier.Healthy) == Found || !unhealthy {
		return
	}
	if tryUpTo(outlier.Ejected) == NoneLeft {
		tryUpTo(outlier.Suspected)
	}
}
