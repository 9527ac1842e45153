package main

// configuration returns a configuration of the operator with one route, whose service has engines if engine is not nil. The values are
// those of the site bmhc-tentline.
func configuration(service string, route, engine map[string]any) map[string]any {
	route["host"], route["service"], route["priority"], route["public"] = host, service, 1, false
	s := map[string]any{"name": service, "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": false}
	if engine != nil {
		s["connectionLimit"], s["coldStartS"], s["coldPerS"], s["engine"] = 314, 3.0, 26.0, engine
	}
	return map[string]any{
		"version": 7, "routes": []any{route}, "services": []any{s},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "desk", "apiKeys": []string{key}}},
	}
}

// lookupRoute is the route of booking-lookup.
func lookupRoute() map[string]any {
	return map[string]any{"name": "r-lookup", "pathPrefix": "/lookup/", "kind": "safe", "timeoutMs": 1200, "latencyGoalMs": 150, "attempts": 2}
}

// questionRoute is the route of stall-question.
func questionRoute() map[string]any {
	return map[string]any{"name": "r-question", "pathPrefix": "/question/", "kind": "streaming", "timeoutMs": 10000, "latencyGoalMs": 300,
		"attempts": 2, "sticky": true, "resumable": true, "gapTargetMs": 250}
}

// engineOfSite is the engine of the service weaver-model.
func engineOfSite() map[string]any {
	return map[string]any{"slots": 16, "kvCacheTokens": 315000, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
		"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "hopMs": 0.05, "report_lag_ms": 200}
}
