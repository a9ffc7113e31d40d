// Package warmup limits the rate of requests that this node sends to back ends that have
// started recently and are in slow start.
//
// The configuration of a pool or web service sets how many requests per second a back end in
// slow start receives from all nodes together; pkg/slowstart divides this rate among the
// nodes. A Limiter owns the limits of one node, one for each configured rate, and is safe for
// concurrent use.
package warmup

import (
	"sync"
	"time"

	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/slowstart"
)

// Limiter limits the requests of one node to back ends in slow start.
type Limiter struct {
	node string

	mutex sync.Mutex
	nodes []string
	// limits contains a limiter for each configured rate, by requests per second.
	limits map[float64]*slowstart.Limiter
}

// New returns the limiter of the named node, without any live nodes.
func New(node member.ID) *Limiter {
	return &Limiter{node: string(node), limits: make(map[float64]*slowstart.Limiter)}
}

// SetNodes replaces the live nodes that serve callers. Each rate is divided among them.
func (l *Limiter) SetNodes(now time.Duration, peers []member.Info) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes = lo.Map(peers, func(peer member.Info, _ int) string { return string(peer.ID) })
	for _, limit := range l.limits {
		limit.SetNodes(now, l.nodes)
	}
}

// Allowed reports whether one more request may be sent to a back end in slow start. It does
// not count the request.
func (l *Limiter) Allowed(now time.Duration, limits *ridgeswitchv1.BackendLimits, address string) bool {
	rate := limits.GetColdRequestsPerSecond()
	return rate <= 0 || l.limitFor(now, rate).Allowed(now, address)
}

// TryAcquire reports whether a request may be sent now to a back end that is in slow start
// until the given time, and if so, counts it. After that time the back end is not limited.
func (l *Limiter) TryAcquire(now time.Duration, limits *ridgeswitchv1.BackendLimits, address string, until time.Duration) bool {
	rate := limits.GetColdRequestsPerSecond()
	if rate <= 0 || now >= until {
		return true
	}
	return l.limitFor(now, rate).TryAcquire(now, address)
}

// limitFor returns the limiter for a configured rate.
func (l *Limiter) limitFor(now time.Duration, perSecond float64) *slowstart.Limiter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limit, found := l.limits[perSecond]
	if !found {
		limit = slowstart.New(slowstart.Options{Node: l.node, PerSecond: perSecond})
		limit.SetNodes(now, l.nodes)
		l.limits[perSecond] = limit
	}
	return limit
}
