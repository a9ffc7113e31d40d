// Package warmup limits the requests that this node sends to back ends that have
// started lately and are still warming up.
//
// A service says how many requests a second a back end takes while it warms up, from
// all nodes together; pkg/slowstart divides that among the nodes. A Limiter owns the
// limits of one node, one for each configured rate, and may be used concurrently.
package warmup

import (
	"sync"
	"time"

	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/slowstart"
)

// Limiter limits the requests of one node to back ends that warm up.
type Limiter struct {
	node string

	mutex  sync.Mutex
	nodes  []string
	limits map[float64]*slowstart.Limiter // by requests per second
}

// New returns the limiter of a node that knows no other nodes.
func New(node member.ID) *Limiter {
	return &Limiter{node: string(node), limits: make(map[float64]*slowstart.Limiter)}
}

// SetNodes replaces the live nodes that serve callers, among which a rate is
// divided.
func (l *Limiter) SetNodes(now time.Duration, peers []member.Info) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes = lo.Map(peers, func(peer member.Info, _ int) string { return string(peer.ID) })
	for _, limit := range l.limits {
		limit.SetNodes(now, l.nodes)
	}
}

// Allowed reports whether one more request may go to a back end in slow start. It
// counts nothing.
func (l *Limiter) Allowed(now time.Duration, limits *ridgeswitchv1.BackendLimits, address string) bool {
	rate := limits.GetColdRequestsPerSecond()
	return rate <= 0 || l.limitFor(now, rate).Allowed(now, address)
}

// TryAcquire counts a request to a back end that is in slow start until the given
// time, and reports whether it may be sent now. A back end that has warmed up is not
// limited.
func (l *Limiter) TryAcquire(now time.Duration, limits *ridgeswitchv1.BackendLimits, address string, until time.Duration) bool {
	rate := limits.GetColdRequestsPerSecond()
	if rate <= 0 || now >= until {
		return true
	}
	return l.limitFor(now, rate).TryAcquire(now, address)
}

// limitFor returns the limit of back ends with a rate.
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
