package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// configApplyTime is the bound config_apply_ms of the site, and applyMargin is added to it.
	configApplyTime = 2 * time.Second
	applyMargin     = time.Second
)

// Keys of callers: one that the first configurations hold, and one that none ever holds.
const (
	heldKey  = "i9n73hh2b9wu3fexd9dn"
	otherKey = "zz00zz00zz00zz00zz00"
)

// caseKeys takes away the keys of the only tenant, and then the tenant. Without trouble, the tenant stays,
// without a key.
func caseKeys(out io.Writer, trouble bool) (broken bool, err error) {
	r, err := newRig(out, nil)
	if err != nil {
		return false, err
	}
	defer r.end()
	version := 3
	configure := func(what string, tenants []map[string]any) {
		r.store.Set("config", "main", map[string]any{
			"version": version, "routes": []map[string]any{
				{"name": "order-confirm", "host": "shop.example", "path_prefix": "/o/", "kind": "non_idempotent", "service": "order-desk", "timeout_ms": 1000, "ttft_target_ms": 100, "max_attempts": 1, "priority": 2},
				{"name": "order-status", "host": "shop.example", "path_prefix": "/s/", "kind": "idempotent", "service": "order-desk", "timeout_ms": 1000, "ttft_target_ms": 100, "max_attempts": 2, "priority": 2},
			},
			"services": []map[string]any{{"name": "order-desk", "health_path": "/health", "max_conns": 110}},
			"tenants":  tenants,
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		})
		r.record.printf("the store has acknowledged version %d: %s", version, what)
		version += 2
	}
	tenant := func(keys ...string) []map[string]any {
		return []map[string]any{{"name": "hule930", "api_keys": append([]string{}, keys...), "priority": 2}}
	}
	configure("one tenant with one key", tenant(heldKey))
	var desks []*desk
	for i, zone := range []string{"kalamaria", "pylaia", "evosmos", "thermi"} {
		w := &desk{id: fmt.Sprintf("i-desk%d", i), service: "order-desk", zone: zone, work: 15 * time.Millisecond}
		if err := r.startDesk(w); err != nil {
			return false, err
		}
		desks = append(desks, w)
		if _, err := r.addNode(zone, nil); err != nil {
			return false, err
		}
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var callers []*caller
	for i, n := range r.nodes {
		callers = append(callers, &caller{rig: r, node: n, name: fmt.Sprintf("c%d", i)})
	}
	// ran sends requests with a key through all nodes and returns how many ran.
	ran := func(key string) int {
		count := 0
		for _, c := range callers {
			for _, request := range [][2]string{{http.MethodPost, "/o/1"}, {http.MethodGet, "/s/1"}} {
				o := c.send(request[0], request[1], map[string]string{"Api-Key": key}, "an order", time.Second)
				runs := 0
				for _, w := range desks {
					runs += w.accepted(o.id)
				}
				r.record.printf("%s %s at %s with key %s: status %d, arrived at %d workers", o.id, request[1], o.node.name, key, o.status, runs)
				count += min(runs, 1)
			}
		}
		return count
	}
	if n := ran(heldKey); n != 2*len(callers) {
		return false, fmt.Errorf("%d requests with the key of the tenant ran", n)
	}
	if n := ran(otherKey); n != 0 {
		return true, nil
	}
	configure("the tenant has no key any more", tenant())
	time.Sleep(configApplyTime + applyMargin)
	if trouble {
		configure("no tenant any more", []map[string]any{})
		time.Sleep(configApplyTime + applyMargin)
	}
	withdrawn, never := ran(heldKey), ran(otherKey)
	r.record.printf("requests that ran: %d with the key that was taken away, %d with one that no configuration ever held", withdrawn, never)
	return withdrawn+never > 0, nil
}
