package routing

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// anyPath is the path prefix of a route that serves all paths.
const anyPath = ""

// Route maps the requests for a host and path prefix to destinations.
type Route struct {
	// Config is the configured route; read-only.
	Config *ridgeswitchv1.Route
	// Choices contains the destinations with their weights; there is at least one.
	Choices []Choice
	// totalWeight is the sum of the weights.
	totalWeight uint64
}

// Choice is a destination that receives a fraction of a route's requests. The fraction is its
// weight divided by the sum of the route's weights.
type Choice struct {
	Destination Destination
	Weight      uint32
}

// NewRoute returns a route with at least one choice. A single choice receives all requests,
// regardless of its weight.
func NewRoute(config *ridgeswitchv1.Route, choices ...Choice) *Route {
	route := &Route{Config: config, Choices: choices}
	for _, choice := range choices {
		route.totalWeight += uint64(choice.Weight)
	}
	return route
}

// Destination returns the destination for a sample. Callers pass samples that are evenly
// distributed over the range of uint64; each destination has a part of that range in
// proportion to its weight.
func (r *Route) Destination(sample uint64) Destination {
	if r.totalWeight == 0 {
		return r.Choices[0].Destination
	}
	offset, _ := bits.Mul64(sample, r.totalWeight)
	for _, choice := range r.Choices {
		if offset < uint64(choice.Weight) {
			return choice.Destination
		}
		offset -= uint64(choice.Weight)
	}
	return r.Choices[len(r.Choices)-1].Destination
}

// SendsTo reports whether any of the route's requests are sent to a destination.
func (r *Route) SendsTo(destination Destination) bool {
	return slices.ContainsFunc(r.Choices, func(choice Choice) bool {
		return choice.Destination.name() == destination.name() &&
			(choice.Weight > 0 || len(r.Choices) == 1)
	})
}

// Timeout returns the maximum duration of a request; if it is zero, the destination's time-out
// applies.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.Config.GetTimeoutMs()) * time.Millisecond
}

// TargetLatency returns the latency target for the route's responses; zero if it has none.
func (r *Route) TargetLatency() time.Duration {
	return time.Duration(r.Config.GetTargetLatencyMs()) * time.Millisecond
}

// Routes contains the routes of one host, with the longest path prefix first.
type Routes []*Route

// Sort sorts the routes into the order that Match requires. It must be called before the view
// is published.
func (r Routes) Sort() {
	slices.SortStableFunc(r, func(a, b *Route) int {
		return cmp.Compare(len(b.Config.GetPathPrefix()), len(a.Config.GetPathPrefix()))
	})
}

// Match returns the route with the longest path prefix that matches the path, or nil.
func (r Routes) Match(path string) *Route {
	for _, route := range r {
		prefix := route.Config.GetPathPrefix()
		if prefix == anyPath || strings.HasPrefix(path, prefix) {
			return route
		}
	}
	return nil
}

// destinationName identifies a destination across views.
type destinationName struct {
	pool, webService string
}

// name returns the destination's identity, which is the same in all views.
func (d Destination) name() destinationName {
	return destinationName{
		pool:       d.Pool.GetName(),
		webService: d.WebService.GetName(),
	}
}

// GetName returns the pool's name, or "" if p is nil.
func (p *Pool) GetName() string {
	if p == nil {
		return ""
	}
	return p.Config.GetName()
}

// GetName returns the service's name, or "" if w is nil.
func (w *WebService) GetName() string {
	if w == nil {
		return ""
	}
	return w.Config.GetName()
}
