package routing

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// anyPath is the prefix of a route that serves every path.
const anyPath = ""

// Route binds the requests of a host below a path prefix to destinations.
type Route struct {
	// Config is the configured route; read only.
	Config *ridgeswitchv1.Route
	// Choices are the destinations with their weights; there is at least one.
	Choices []Choice
	// totalWeight is the sum of the weights.
	totalWeight uint64
}

// Choice is a destination that gets a fraction of a route's requests: its weight, divided by
// the sum of the route's weights.
type Choice struct {
	Destination Destination
	Weight      uint32
}

// NewRoute returns a route. A single choice gets everything, whatever its
// weight.
func NewRoute(config *ridgeswitchv1.Route, choices ...Choice) *Route {
	route := &Route{Config: config, Choices: choices}
	for _, choice := range choices {
		route.totalWeight += uint64(choice.Weight)
	}
	return route
}

// Destination returns the destination of a sample. Samples are evenly distributed over all
// of uint64; each destination has a part of that range in proportion to its weight.
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

// SendsTo reports whether any of the route's requests go to a destination.
func (r *Route) SendsTo(destination Destination) bool {
	return slices.ContainsFunc(r.Choices, func(choice Choice) bool {
		return choice.Destination.name() == destination.name() &&
			(choice.Weight > 0 || len(r.Choices) == 1)
	})
}

// Timeout is the longest time for one request; zero leaves it to the
// destination.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.Config.GetTimeoutMs()) * time.Millisecond
}

// TargetLatency is the latency that the route aims at for its responses; zero if it
// has no target.
func (r *Route) TargetLatency() time.Duration {
	return time.Duration(r.Config.GetTargetLatencyMs()) * time.Millisecond
}

// Routes are the routes of one host, the longest prefix first.
type Routes []*Route

// Sort brings the routes into the order that Match needs. It is called before the view is
// published.
func (r Routes) Sort() {
	slices.SortStableFunc(r, func(a, b *Route) int {
		return cmp.Compare(len(b.Config.GetPathPrefix()), len(a.Config.GetPathPrefix()))
	})
}

// Match returns the route with the longest prefix that begins the path, or nil.
func (r Routes) Match(path string) *Route {
	for _, route := range r {
		prefix := route.Config.GetPathPrefix()
		if prefix == anyPath || strings.HasPrefix(path, prefix) {
			return route
		}
	}
	return nil
}

// destinationName identifies a destination in all views.
type destinationName struct {
	pool, webService string
}

// name returns the destination's identity, which outlasts the view.
func (d Destination) name() destinationName {
	return destinationName{
		pool:       d.Pool.GetName(),
		webService: d.WebService.GetName(),
	}
}

// GetName returns the pool's name, or "" of no pool.
func (p *Pool) GetName() string {
	if p == nil {
		return ""
	}
	return p.Config.GetName()
}

// GetName returns the service's name, or "" of no service.
func (w *WebService) GetName() string {
	if w == nil {
		return ""
	}
	return w.Config.GetName()
}
