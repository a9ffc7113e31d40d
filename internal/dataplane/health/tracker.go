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
	// webOverdueFactor is the multiple of the latency target after which an attempt on
	// a web service without any output counts against its back end.
	webOverdueFactor = 2
	// poolOverdueFactor is the same for the replicas of pools, where a prompt may be
	// queued for long, and expectedDelayFactor the multiple of the expected delay that
	// is added to it.
	poolOverdueFactor   = 6
	expectedDelayFactor = 3
	// minOverdue is the least time after which an attempt is overdue.
	minOverdue = 500 * time.Millisecond
)

// Options configure a Tracker.
type Options struct {
	// Outlier configures the detection of outliers. Its Node and Changed are set by
	// New.
	Outlier outlier.Options
	// Member is this node, and Zone the zone it is in.
	Member member.ID
	Zone   string
	// Peers returns the live nodes that serve callers.
	Peers func() []member.Info
	// Log gets a line for each back end that is ejected or readmitted.
	Log *logrus.Entry
}

// Tracker judges back ends by the outcomes of attempts on them: those of this node and
// those that other nodes report.
type Tracker struct {
	*outlier.Detector
	zone  string
	peers func() []member.Info

	mutex sync.Mutex
	// view is the newest view that Follow was called with. The Detector has its back ends.
	view *routing.View
	// running holds the attempts without any output so far.
	running map[*Attempt]struct{}
}

// Attempt observes one attempt for the health of its back end. It may count more than once:
// when it becomes overdue, by its first output, and by a failure after that.
type Attempt struct {
	// Address is that of the back end.
	Address string

	tracker *Tracker
	// overdueAt and slowAt are the times, on the node's clock, from which the attempt
	// counts as overdue and its output as slow; 0 means never.
	overdueAt, slowAt time.Duration
	// counted reports whether it has counted as overdue.
	counted bool
}

// Expectation is what is expected of an attempt.
type Expectation struct {
	// Target is the latency target of the route; 0 if it has none.
	Target time.Duration
	// Delay is the expected time to the first output; 0 if it is not known.
	Delay time.Duration
	// WebService reports whether the back end belongs to a web service.
	WebService bool
}

// New returns a Tracker that knows no back end.
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

// Follow makes the back ends of a view known. It does nothing for nil or the view of
// the last call.
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

// poolKey identifies a pool or a web service to the Detector, which calls both pools.
func poolKey(name string, webService bool) string {
	if webService {
		return "web/" + name
	}
	return "pool/" + name
}

// members returns the incarnations of listed back ends.
func members(replicas []routing.Replica) []outlier.Member {
	return lo.Map(replicas, func(replica routing.Replica, _ int) outlier.Member {
		return outlier.Member{Address: replica.Address, Instance: replica.Instance}
	})
}

// Begin observes an attempt that is about to be sent. The caller must call End on it.
func (t *Tracker) Begin(now time.Duration, address string, expected Expectation) *Attempt {
	started := &Attempt{Address: address, tracker: t}
	if expected.Target > 0 {
		factor := time.Duration(poolOverdueFactor)
		// Replicas are not counted as slow: the router learns by itself how fast they
		// are.
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

// CountOverdue counts the attempts that have become overdue against their back ends.
func (t *Tracker) CountOverdue(now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for running := range t.running {
		if running.overdueAt > 0 && now >= running.overdueAt && !running.counted {
			running.counted = true
			t.Observe(now, running.Address, outlier.Overdue)
		}
	}
}

// End records that the attempt has output, or can have none any more, and reports
// whether it has counted as overdue. It may be called more than once.
func (a *Attempt) End() (overdue bool) {
	a.tracker.mutex.Lock()
	defer a.tracker.mutex.Unlock()
	delete(a.tracker.running, a)
	return a.counted
}

// Responded records the first output of a stream, or a complete response.
func (a *Attempt) Responded(now time.Duration, status int) {
	overdue := a.End()
	switch {
	case status == http.StatusGatewayTimeout:
		// The caller's deadline may have been too short, so that this counts neither for
		// nor against the back end; but it is alive.
		a.tracker.RecordResponse(a.Address)
	case status >= http.StatusInternalServerError && status != http.StatusNotImplemented:
		a.tracker.Observe(now, a.Address, outlier.Errored)
	case overdue || a.slowAt > 0 && now >= a.slowAt:
		a.tracker.Observe(now, a.Address, outlier.Slow)
	default:
		a.tracker.Observe(now, a.Address, outlier.Succeeded)
	}
}

// Failed records how the attempt ended without a response, or in the middle of one.
func (a *Attempt) Failed(now time.Duration, outcome outlier.Outcome) {
	a.End()
	a.tracker.Observe(now, a.Address, outcome)
}

// DestinationStats returns the statistics of the back ends of a pool or a web
// service.
func (t *Tracker) DestinationStats(now time.Duration, name string, webService bool) outlier.PoolStats {
	return t.Stats(now, poolKey(name, webService))
}

// ApplyOutcomes counts the outcomes that another node reports.
func (t *Tracker) ApplyOutcomes(now time.Duration, update gossip.Update) {
	if len(update.Outcomes) == 0 {
		return
	}
	sender, _ := lo.Find(t.peers(), func(peer member.Info) bool { return peer.ID == update.Node })
	for _, report := range update.Outcomes {
		t.ApplyReport(now, string(update.Node), sender.Zone == t.zone, report)
	}
}

// SelectionResult is how a selection among back ends ended.
type SelectionResult int

const (
	// Found means that a back end was selected.
	Found SelectionResult = iota
	// AllBusy means that all back ends which are not excluded are at capacity.
	AllBusy
	// NoneLeft means that all back ends are excluded.
	NoneLeft
)

// TryHealthiestFirst calls try, which selects a back end that is not excluded, until it finds
// one: first without unhealthy back ends; if the healthy ones are at capacity or none is left,
// also with ejected ones; and if none is left still, also with suspected ones. Tried are the
// back ends of earlier attempts of the request, which are always excluded. What the last call
// of try has selected counts.
//
// Probe permits a probe of an ejected back end. It must be false for retries: a probe is
// likely to fail, and would take one of the few that the retry budget permits.
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
