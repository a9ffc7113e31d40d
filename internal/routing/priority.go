package routing

import ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"

// LowestPriority is the priority of the least urgent requests that replicas distinguish. The
// priority of the most urgent tenants, routes and requests is 0.
const LowestPriority = 9

// priorities contains what is needed to rank requests first by the priority of their tenant,
// and then by that of their route.
type priorities struct {
	// mostUrgentTenant is the lowest priority number of any tenant; 0 if no tenant has a
	// priority.
	mostUrgentTenant uint32
	// perTenant is the number of route priorities that are distinguished within each tenant
	// priority.
	perTenant uint32
}

// prioritiesOf computes the priorities from those of a configuration's tenants and routes.
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

// RankPriorities computes the priorities from the view's configuration. It must be called once,
// before the view is published.
func (v *View) RankPriorities() {
	v.priorities = prioritiesOf(v.Configuration)
}

// Priority returns the priority of a tenant's requests on a route, from 0, the most urgent, to
// LowestPriority. The tenant's priority takes precedence over the route's, as far as the range
// allows: priorities beyond LowestPriority are reduced to it. Requests without a valid key
// (tenant nil) and requests of a tenant without a priority rank with the most urgent tenant.
func (v *View) Priority(tenant *Tenant, route *Route) uint32 {
	priority := route.Config.GetPriority()
	if tenant != nil && tenant.Priority != nil {
		priority += (*tenant.Priority - v.priorities.mostUrgentTenant) * v.priorities.perTenant
	}
	return min(priority, LowestPriority)
}
