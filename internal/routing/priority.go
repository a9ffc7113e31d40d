package routing

import ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"

// LowestPriority is the last of the priorities that replicas distinguish.
const LowestPriority = 9

// priorities ranks requests by their tenant first, and by their route within a
// tenant.
type priorities struct {
	// firstTenant is the highest priority that any tenant has.
	firstTenant uint32
	// routeSteps is how many priorities the routes take up.
	routeSteps uint32
}

// prioritiesOf reads the priorities in use.
func prioritiesOf(configuration *ridgeswitchv1.Configuration) priorities {
	ranked := priorities{routeSteps: 1}
	found := false
	for _, tenant := range configuration.GetTenants() {
		if tenant.Priority == nil {
			continue
		}
		if !found || tenant.GetPriority() < ranked.firstTenant {
			ranked.firstTenant = tenant.GetPriority()
		}
		found = true
	}
	for _, route := range configuration.GetRoutes() {
		ranked.routeSteps = max(ranked.routeSteps, route.GetPriority()+1)
	}
	return ranked
}

// RankPriorities reads the priorities of the view's configuration. It is called
// once, before the view is published.
func (v *View) RankPriorities() {
	v.priorities = prioritiesOf(v.Configuration)
}

// Priority returns the priority of a tenant's requests on a route, 0 first and
// LowestPriority last. The tenant's priority outranks the route's.
func (v *View) Priority(tenant *Tenant, route *Route) uint32 {
	priority := route.Config.GetPriority()
	if tenant != nil && tenant.Priority != nil {
		priority += (*tenant.Priority - v.priorities.firstTenant) * v.priorities.routeSteps
	}
	return min(priority, LowestPriority)
}
