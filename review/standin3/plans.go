package main

// streamsRoute is a route for streams that may be taken up.
func streamsRoute() map[string]any {
	return map[string]any{"name": "streams", "host": "engines.example", "pathPrefix": "/streams/", "kind": "stream", "timeoutMs": takeupDeadline.Milliseconds(),
		"sloMs": 300, "priority": 0, "service": "engines", "maxAttempts": 2, "public": false, "sticky": false, "resumable": true, "gapAimMs": 300}
}

// plan returns a configuration with some routes.
func plan(routes ...map[string]any) map[string]any {
	return map[string]any{"version": 1, "routes": routes,
		"services": []any{map[string]any{"name": "engines", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "tenant", "apiKeys": []string{"key"}, "priority": 1, "ratePerS": 100, "burst": 100}}}
}
