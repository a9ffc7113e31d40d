package dataplane

import (
	"sync"
	"time"

	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/slowstart"
)

// slowStart bounds what this node sends to cold back ends, by the rate that
// their service bears.
type slowStart struct {
	node string

	mutex  sync.Mutex
	nodes  []string
	limits map[float64]*slowstart.Limiter
}

// newSlowStart returns the bounds of a node.
func newSlowStart(node member.ID) *slowStart {
	return &slowStart{node: string(node), limits: make(map[float64]*slowstart.Limiter)}
}

// setNodes takes in which nodes serve callers now.
func (c *slowStart) setNodes(now time.Duration, peers []member.Info) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nodes = lo.Map(peers, func(peer member.Info, _ int) string { return string(peer.ID) })
	for _, limit := range c.limits {
		limit.SetNodes(now, c.nodes)
	}
}

// limitFor returns the bound of back ends that bear a rate.
func (c *slowStart) limitFor(now time.Duration, perSecond float64) *slowstart.Limiter {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	limit, found := c.limits[perSecond]
	if !found {
		limit = slowstart.New(slowstart.Options{Node: c.node, PerSecond: perSecond})
		limit.SetNodes(now, c.nodes)
		c.limits[perSecond] = limit
	}
	return limit
}

// allowed tells whether one more request may go to a cold back end. It counts
// nothing.
func (c *slowStart) allowed(now time.Duration, limits *ridgeswitchv1.BackendLimits, address string) bool {
	rate := limits.GetColdRequestsPerSecond()
	return rate <= 0 || c.limitFor(now, rate).Allowed(now, address)
}

// tryAcquire counts a request to a back end if it is cold, and returns false if none
// may go there now.
func (c *slowStart) tryAcquire(now time.Duration, limits *ridgeswitchv1.BackendLimits, replica routing.Replica) bool {
	rate := limits.GetColdRequestsPerSecond()
	if rate <= 0 || now >= replica.SlowStartUntil {
		return true
	}
	return c.limitFor(now, rate).TryAcquire(now, replica.Address)
}
