package dataplane

import (
	"sync"
	"time"

	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/coldshare"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// coldBounds bounds what this node sends to cold back ends, by the rate that
// their service bears.
type coldBounds struct {
	node string

	mutex sync.Mutex
	nodes []string
	rates map[float64]*coldshare.Limiter
}

// newColdBounds returns the bounds of a node.
func newColdBounds(node member.ID) *coldBounds {
	return &coldBounds{node: string(node), rates: make(map[float64]*coldshare.Limiter)}
}

// setNodes takes in which nodes serve callers now.
func (c *coldBounds) setNodes(now time.Duration, peers []member.Info) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nodes = lo.Map(peers, func(peer member.Info, _ int) string { return string(peer.ID) })
	for _, bound := range c.rates {
		bound.SetNodes(now, c.nodes)
	}
}

// of returns the bound of back ends that bear a rate.
func (c *coldBounds) of(now time.Duration, perSecond float64) *coldshare.Limiter {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	bound, known := c.rates[perSecond]
	if !known {
		bound = coldshare.New(coldshare.Options{Node: c.node, PerSecond: perSecond})
		bound.SetNodes(now, c.nodes)
		c.rates[perSecond] = bound
	}
	return bound
}

// allowed tells whether one more request may go to a cold back end. It counts
// nothing.
func (c *coldBounds) allowed(now time.Duration, limits *ridgeswitchv1.BackendLimits, address string) bool {
	rate := limits.GetColdRequestsPerSecond()
	return rate <= 0 || c.of(now, rate).Allowed(now, address)
}

// take counts a request to a back end if it is cold, and returns false if none
// may go there now.
func (c *coldBounds) take(now time.Duration, limits *ridgeswitchv1.BackendLimits, listed routing.Replica) bool {
	rate := limits.GetColdRequestsPerSecond()
	if rate <= 0 || now >= listed.ColdUntil {
		return true
	}
	return c.of(now, rate).TryAcquire(now, listed.Address)
}
