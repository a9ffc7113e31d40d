package main

// pool returns a service of replicas with weights of a model, as a configuration describes it.
func pool(name, model string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
		"engine": map[string]any{
			"slots": 64, "kvCapacity": 164044, "kvTokenBytes": 18432, "linkMbps": 370000.0, "stride": 5, "maxInFlight": 12,
			"models": []any{map[string]any{"name": model}},
		},
	}
}

// web returns a service without weights.
func web(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
	}
}

// route returns a route with one destination or, if weighted is not nil, several.
func route(name, host, prefix, kind, service string, attempts int, weighted []any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 10000, "targetLatencyMs": 1000, "priority": 1,
		"maxAttempts": attempts, "allowAnonymous": false, "sticky": kind == "streaming", "resumable": false, "targetGapMs": 600,
	}
	if weighted != nil {
		r["weightedServices"] = weighted
	} else {
		r["service"] = service
	}
	return r
}

func weight(service string, weight int) any {
	return map[string]any{"service": service, "weight": weight}
}

// configuration returns a whole configuration.
func configuration(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "sese880", "apiKeys": []string{"ctnfzs989anu6wsjnban"}, "priority": 1, "isolated": false}},
	}
}
