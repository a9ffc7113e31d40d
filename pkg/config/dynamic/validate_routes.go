package dynamic

import (
	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// everyPath is the path prefix that matches every path; an empty prefix means the same.
const everyPath = "/"

func (v *validation) route(path string, route *ridgeswitchv1.Route) {
	v.host(path+".host", route.GetHost())
	if route.GetName() != "" {
		v.label(path+".name", route.GetName())
	}
	v.pathPrefix(path+".path_prefix", route.GetPathPrefix())
	v.uniqueRoute(path, route)
	v.destinations(path, route)
	v.handling(path, route)
}

// uniqueRoute adds a fault if an earlier route matches the same host and path prefix.
func (v *validation) uniqueRoute(path string, route *ridgeswitchv1.Route) {
	if route.GetHost() == "" {
		return
	}
	field, prefix := path+".path_prefix", route.GetPathPrefix()
	if prefix == "" {
		field, prefix = path+".host", everyPath
	}
	v.unique(v.names.routes, field, route.GetHost()+prefix)
}

// destinations checks that a route has either one destination or a split.
func (v *validation) destinations(path string, route *ridgeswitchv1.Route) {
	split := route.GetSplit()
	switch target := route.GetDestination().(type) {
	case *ridgeswitchv1.Route_Pool:
		v.reference(v.names.pools, path+".pool", target.Pool)
	case *ridgeswitchv1.Route_WebService:
		v.reference(v.names.webServices, path+".web_service", target.WebService)
	default:
		if len(split) == 0 {
			v.add(KindMissing, path, "has no destination; give pool, web_service or split")
		}
	}
	if len(split) == 0 {
		return
	}
	if route.GetDestination() != nil {
		v.add(KindInvalid, path+".split", "the route has a destination too; give either one destination or a split")
	}
	v.split(path+".split", split)
}

// split checks the weighted destinations of a route.
func (v *validation) split(field string, split []*ridgeswitchv1.WeightedDestination) {
	total := uint64(0)
	checkEach(&v.checker, field, split, MaxSplit, func(path string, destination *ridgeswitchv1.WeightedDestination) {
		total += uint64(destination.GetWeight())
		v.atMost(path+".weight", uint64(destination.GetWeight()), MaxWeight)
		v.splitDestination(path, destination)
	})
	if total == 0 {
		v.add(KindOutOfRange, field, "has weights that add up to 0; give one destination a weight")
	}
}

// splitDestination checks that one of the destinations of a split exists.
func (v *validation) splitDestination(path string, destination *ridgeswitchv1.WeightedDestination) {
	switch target := destination.GetDestination().(type) {
	case *ridgeswitchv1.WeightedDestination_Pool:
		v.reference(v.names.pools, path+".pool", target.Pool)
	case *ridgeswitchv1.WeightedDestination_WebService:
		v.reference(v.names.webServices, path+".web_service", target.WebService)
	default:
		v.add(KindMissing, path, "has no destination; give pool or web_service")
	}
}

// handling checks the fields that determine how the requests of a route are handled: kind,
// time-outs, target times, attempts and priority.
func (v *validation) handling(path string, route *ridgeswitchv1.Route) {
	if _, known := ridgeswitchv1.RequestKind_name[int32(route.GetKind())]; !known {
		v.add(KindInvalid, path+".kind", "is %d; use a kind that the schema names", route.GetKind())
	}
	v.timeoutOrZero(path+".timeout_ms", route.GetTimeoutMs(), MaxRequestTimeout)
	v.timeoutOrZero(path+".target_latency_ms", route.GetTargetLatencyMs(), MaxRequestTimeout)
	v.timeoutOrZero(path+".target_gap_ms", route.GetTargetGapMs(), MaxRequestTimeout)
	v.atMost(path+".max_attempts", uint64(route.GetMaxAttempts()), MaxAttempts)
	v.priority(path+".priority", route.GetPriority())
}

func (v *validation) priority(path string, priority uint32) {
	v.atMost(path, uint64(priority), MaxPriority)
}

// callerLimits checks the limits on the requests of callers; 0 means the default of the
// node.
func (v *validation) callerLimits(path string, limits *ridgeswitchv1.CallerLimits) {
	v.atMost(path+".max_header_bytes", uint64(limits.GetMaxHeaderBytes()), MaxCallerHeaderBytes)
	v.atMost(path+".max_body_bytes", limits.GetMaxBodyBytes(), MaxCallerBodyBytes)
	v.timeoutOrZero(path+".header_timeout_ms", limits.GetHeaderTimeoutMs(), MaxCallerHeaderTimeout)
	v.timeoutOrZero(path+".idle_timeout_ms", limits.GetIdleTimeoutMs(), MaxCallerIdleTimeout)
}
