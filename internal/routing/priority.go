package routing

import ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"

// LowestPriority is the least urgent of the priorities that replicas distinguish. The most
// urgent one is 0, for tenants, routes and requests alike.
const LowestPriority = 9

// priorities ranks requests by their tenant first, and by their route within a
// tenant.
type priorities struct {
	// mostUrgentTenant is the lowest number that any tenant has as its priority; 0 if none
	// has one.
	mostUrgentTenant uint32
	// perTenant is how many priorities the routes distinguish within one of a tenant.
	perTenant uint32
}

// prioritiesOf reads the priorities in use.
func prioritiesOf(configuration *ridgeswitchv1.Configuration) priorities {
	ranked := priorities{perTenant: 1}
	found := false
	for _, tenant := range configuration.GetTenants() {
		if tenant.Priority == nil {
			continue
		}
		if !found || tenant.GetPriority() < ranked.mostUrgentTenant {
			ranked.mostUrgentTenant = tenant.GetPriority()
		}
		found = true
	}
	for _, route := range configuration.GetRoutes() {
		ranked.perTenant = max(ranked.perTenant, route.GetPriority()+1)
	}
	return ranked
}

// RankPriorities reads the priorities of the view's configuration. It is called
// once, before the view is published.
func (v *View) RankPriorities() {
	v.priorities = prioritiesOf(v.Configuration)
}

// Priority returns the priority of a tenant's requests on a route, from 0, the most urgent, to
// LowestPriority. The tenant's priority outranks the route's, as far as the range allows: what
// would be beyond LowestPriority gets LowestPriority. Requests without a key (tenant nil), and
// those of a tenant without a priority, rank with the most urgent tenant.
func (v *View) Priority(tenant *Tenant, route *Route) uint32 {
	priority := route.Config.GetPriority()
	if tenant != nil && tenant.Priority != nil {
		priority += (*tenant.Priority - v.priorities.mostUrgentTenant) * v.priorities.perTenant
	}
	return min(priority, LowestPriority)
}
