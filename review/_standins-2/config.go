package main

// Names of the installation.
const (
	host        = "kaptaan.example"
	deskService = "order-desk"
	llmService  = "design-llm"
	apiKey      = "key-of-the-club"
	tenant      = "club"
)

// configure writes the operator's configuration.
func (w *world) configure(version int, change func(config map[string]any)) {
	route := func(name, kind, service string, timeoutMS, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "service": service, "timeout_ms": timeoutMS,
			"ttft_target_ms": 500, "max_attempts": attempts, "gap_target_ms": 400, "stream_resume": name == "query", "priority": 1, "session_affinity": service == llmService,
		}
	}
	prices := map[string]any{}
	for i, z := range zones {
		prices[z] = []float64{1, 0.8, 1.25, 0.9}[i]
	}
	c := map[string]any{
		"version": version,
		"routes": []any{
			route("draft", "stream", llmService, 10000, 1), route("query", "stream", llmService, 10000, 2),
			route("confirm", "non_idempotent", deskService, 1000, 1), route("status", "idempotent", deskService, 1000, 2),
		},
		"services": []any{
			map[string]any{
				"name": llmService, "health_path": "/health", "max_conns": 300,
				"engine":    map[string]any{"slots": 48, "kv_capacity": 579713, "kv_bytes": 131072, "link_mbps": 550000, "moves": true},
				"autoscale": map[string]any{"min": 1, "max": 10, "boot_s": 4, "spot_price": 0.22, "zone_prices": prices},
			},
			map[string]any{"name": deskService, "health_path": "/health", "max_conns": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 1e6, "burst": 1e6}},
	}
	if change != nil {
		change(c)
	}
	w.store.Set("config", "main", c)
}
